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
		r.Match = Match{}
		body, err := do(t, p, r)
		require.NoError(t, err)
		require.Equal(t, target, body)
	}
}

// countRequests answers each request with the number of requests that its connection has
// carried.
func countRequests(_ int, c net.Conn, in *bufio.Reader) {
	for n := 1; ; n++ {
		target, _, ok := readRequest(in)
		if !ok {
			return
		}
		reply(c, target, fmt.Sprint(n))
	}
}

// Guards against a late response to an unidentified exchange that waits on a kept
// connection: such an exchange takes none, and leaves its own to nobody.
func TestUnidentifiedExchangeHasItsOwnConnection(t *testing.T) {
	s := serve(t, countRequests)
	p := s.pool()
	unidentified := request("/b")
	unidentified.Match = EchoedID("X-Id", "") // an empty id identifies nothing
	for _, step := range []struct {
		request *Request
		count   string
	}{{request("/a"), "1"}, {unidentified, "1"}, {request("/c"), "2"}, {unidentified, "1"}, {request("/d"), "3"}} {
		body, err := do(t, p, step.request)
		require.NoError(t, err)
		require.Equal(t, step.count, body, step.request.Target)
	}
	require.Equal(t, 3, s.connections())
}

// An upstream that guarantees one response to each request keeps its connections.
func TestInOrderPoolKeepsConnections(t *testing.T) {
	s := serve(t, countRequests)
	p := NewInOrderPool(s.listener.Addr().String(), Options{})
	for n := range 5 {
		r := request("/a")
		r.Match = Match{}
		body, err := do(t, p, r)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(n+1), body)
	}
	require.Equal(t, 1, s.connections())
}
