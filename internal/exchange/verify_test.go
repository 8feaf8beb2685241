package exchange

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a path that passes for a good one because something on it accepts connections and
// then resets them.
func TestVerifyRejectsConnectionsThatAreReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	resets := true
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if resets {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				resets = false
			}
		}
	}()
	p := NewPool(l.Addr().String(), Options{})
	defer p.Close()
	var notSent *NotSentError
	err = p.Verify(t.Context(), 50*time.Millisecond)
	require.ErrorAs(t, err, &notSent, "the reset may come while connecting, or after that")
	require.Empty(t, p.idle)
	require.NoError(t, p.Verify(t.Context(), 50*time.Millisecond))
	require.Len(t, p.idle, 1, "it is kept for later exchanges")
}
