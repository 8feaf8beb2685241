package bodylimit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against room that is lost, or held by nobody, as shares grow, shrink and end.
func TestSharesReturnTheirRoom(t *testing.T) {
	l := New(1 << 20)
	a, b := l.Share(), l.Share()
	require.NoError(t, a.Hold(1<<20+FreeBytes))
	require.ErrorIs(t, b.Hold(FreeBytes+1), ErrExceeded)
	require.NoError(t, b.Hold(FreeBytes), "small bodies need no room")
	require.False(t, b.Holds())
	require.NoError(t, a.Hold(1<<19+FreeBytes))
	require.NoError(t, b.Hold(1<<19+FreeBytes))
	require.ErrorIs(t, a.Hold(1<<20), ErrExceeded)
	a.Release()
	a.Release()
	require.NoError(t, b.Hold(1<<20+FreeBytes))
	b.Release()
	require.NoError(t, a.Hold(1<<20+FreeBytes), "all of it is free again")
	require.NoError(t, new(Limit).Share().Hold(0))
	require.NoError(t, new(Share).Hold(1<<30), "no limit")
}
