package exchange

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

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

// Guards against a late second response that is taken for that to another exchange of the
// same request: its prefill for its run, its run for its prefill, or an earlier attempt's
// refusal for a later attempt.
func TestExchangesWithTheSameID(t *testing.T) {
	for _, targets := range [][]string{{"/prefill", "/run"}, {"/run", "/prefill"}, {"/refused", "/retry"}} {
		t.Run(targets[0]+" before "+targets[1], func(t *testing.T) {
			s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
				last := ""
				for {
					target, _, ok := readRequest(in)
					if !ok {
						return
					}
					if last != "" {
						reply(c, "same", last)
					}
					reply(c, "same", target)
					last = target
				}
			})
			p := s.pool()
			for _, target := range targets {
				r := request(target)
				r.Match = EchoedID("X-Id", "same")
				body, err := do(t, p, r)
				require.NoError(t, err)
				require.Equal(t, target, body)
			}
		})
	}
}

// Only connections that have carried an id are avoided: the others in the pool, and those
// for other ids, are still used.
func TestOtherConnectionsAreUsed(t *testing.T) {
	first, second := make(chan struct{}), make(chan struct{})
	s := serve(t, func(n int, c net.Conn, in *bufio.Reader) {
		if n == 0 {
			<-first
		} else {
			<-second
		}
		countRequests(n, c, in)
	})
	p := s.pool()
	done := make(chan error, 1)
	go func() {
		_, err := do(t, p, request("/b"))
		done <- err
	}()
	require.Eventually(t, func() bool { return s.connections() == 1 }, wait, time.Millisecond)
	close(second)
	_, err := do(t, p, request("/a"))
	require.NoError(t, err)
	close(first)
	require.NoError(t, <-done)
	for _, step := range []struct{ target, count string }{{"/a", "2"}, {"/c", "3"}, {"/a", "1"}} {
		body, err := do(t, p, request(step.target))
		require.NoError(t, err)
		require.Equal(t, step.count, body, step.target)
	}
	require.Equal(t, 3, s.connections())
}

// A connection is replaced before it would have to forget an id that it has carried.
func TestConnectionForgetsNoID(t *testing.T) {
	s := serve(t, countRequests)
	p := s.pool()
	for n := range maxCarriedIDs + 1 {
		body, err := do(t, p, request(fmt.Sprintf("/%d", n)))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(n%maxCarriedIDs+1), body)
	}
	require.Equal(t, 2, s.connections())
}
