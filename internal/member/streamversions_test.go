package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a daemon that is cut off for so long that it has forgotten the others, and takes its
// old list for complete.
func TestOldListIsNotTrusted(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	require.True(t, knowsVersions(0, no))
	require.False(t, knowsVersions(maxListAge, no))
	require.True(t, knowsVersions(maxListAge, yes))
	require.False(t, knowsVersions(forgetPeerAfter, yes))
	require.False(t, knowsVersions(time.Hour, yes), "a list that was never read")
}
