package exchange

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// stutter answers each request of a connection after it has sent the response to the one
// before once more. A response's body is its request's target.
func stutter(_ int, c net.Conn, in *bufio.Reader) {
	last := ""
	for {
		target, _, ok := readRequest(in)
		if !ok {
			return
		}
		if last != "" {
			reply(c, last, last)
		}
		reply(c, target, target)
		last = target
	}
}

// Guards against a response that is taken by its place on a connection: nothing in the
// responses identifies them, and one arrives twice, the second time late.
func TestUnidentifiedExchanges(t *testing.T) {
	s := serve(t, stutter)
	p := s.pool()
	for i := range 5 {
		target := fmt.Sprintf("/%d", i)
		r := request(target)
		r.IDHeader, r.ID = "", ""
		body, err := do(t, p, r)
		require.NoError(t, err)
		require.Equal(t, target, body)
	}
}
