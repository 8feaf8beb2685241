package relay

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that is taken for whole as the word that it isn't can't be read.
func TestUnreadableReturnIsNoEnd(t *testing.T) {
	h := http.Header{}
	_, returned := returnedIn(h)
	require.False(t, returned)
	h.Set(returnedHeader, encodeHeader(returnedCall{Reason: "leaving", Sound: true}))
	r, returned := returnedIn(h)
	require.True(t, returned && r.Sound)
	h.Set(returnedHeader, encodeHeader("of another form"))
	r, returned = returnedIn(h)
	require.True(t, returned)
	require.False(t, r.Sound)
}
