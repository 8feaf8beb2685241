package exchange

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo answers each request on a connection.
func echo(_ int, c net.Conn, in *bufio.Reader) {
	for {
		target, _, ok := readRequest(in)
		if !ok {
			return
		}
		reply(c, target, "ok")
	}
}

var errHeld = errors.New("held back")

// Guards against a request that is sent although it was no longer wanted once its connection
// was ready, and against the loss of that connection.
func TestRequestThatIsNotAdmittedIsNotSent(t *testing.T) {
	s := serve(t, echo)
	p := s.pool()
	held := request("/held")
	held.Admit = func() error { return errHeld }
	for range 2 {
		_, err := do(t, p, held)
		var notSent *NotSentError
		require.ErrorAs(t, err, &notSent)
		require.ErrorIs(t, err, errHeld)
		require.Len(t, p.idle, 1)
	}
	admitted := request("/b")
	asked := 0
	admitted.Admit = func() error { asked++; return nil }
	body, err := do(t, p, admitted)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Equal(t, 1, asked)
	require.Equal(t, 1, s.connections())
}

// Requests that aren't admitted must not make a connection look as if it had been used: the
// upstream closes it by the time since the last request that it got.
func TestRequestThatIsNotAdmittedKeepsIdleTime(t *testing.T) {
	s := serve(t, echo)
	p := s.pool()
	_, err := do(t, p, request("/a"))
	require.NoError(t, err)
	before := time.Now().Add(-time.Second)
	p.idle[0].idleSince = before
	held := request("/held")
	held.Admit = func() error { return errHeld }
	_, err = do(t, p, held)
	require.Error(t, err)
	require.Equal(t, before, p.idle[0].idleSince)
}

// The headers of responses that are discarded are observed like all others.
func TestDiscardedResponsesAreObserved(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		first, _, _ := readRequest(in)
		reply(c, first, "first")
		second, _, _ := readRequest(in)
		reply(c, first, "first again")
		reply(c, second, "second")
		readRequest(in)
	})
	var seen []string
	var known []bool
	observe := func(r ObservedResponse) {
		require.Equal(t, http.StatusOK, r.Status)
		seen = append(seen, r.Header.Get("X-Id"))
		known = append(known, !r.SentAt.IsZero())
	}
	p := NewPool(s.listener.Addr().String(), Options{OnResponse: observe})
	for _, target := range []string{"/a", "/b"} {
		_, err := do(t, p, request(target))
		require.NoError(t, err)
	}
	require.Equal(t, []string{"/a", "/a", "/b"}, seen)
	require.Equal(t, []bool{true, false, true}, known, "a late copy has no known request")
}

// The response on a new connection that belongs to no request is observed too.
func TestMismatchedResponseIsObserved(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readRequest(in)
		reply(c, "another", "body")
		readRequest(in)
	})
	observed := 0
	p := NewPool(s.listener.Addr().String(), Options{OnResponse: func(ObservedResponse) { observed++ }})
	_, err := do(t, p, request("/a"))
	require.ErrorIs(t, err, ErrMismatchedResponse)
	require.Equal(t, 1, observed)
}

// Guards against a connection that is put back in a bad state when its request isn't admitted:
// it may be new and have bytes on it that belong to no request, or its pool may be closed.
func TestConnectionOfRequestThatIsNotAdmitted(t *testing.T) {
	t.Run("bytes before any request", func(t *testing.T) {
		s := serve(t, func(n int, c net.Conn, in *bufio.Reader) {
			if n == 0 {
				reply(c, "/b", "unasked")
			}
			echo(n, c, in)
		})
		p := s.pool()
		held := request("/held")
		held.Admit = func() error { return errHeld }
		_, err := do(t, p, held)
		require.ErrorIs(t, err, errHeld)
		require.Eventually(t, func() bool { return !p.idle[0].healthy() }, wait, time.Millisecond)
		body, err := do(t, p, request("/b"))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		require.Equal(t, 2, s.connections())
	})
	t.Run("late response to the request before", func(t *testing.T) {
		s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
			last := ""
			for {
				target, _, ok := readRequest(in)
				if !ok {
					return
				}
				if last != "" {
					reply(c, last, "late")
				}
				reply(c, target, "own of "+target)
				last = target
			}
		})
		p := s.pool()
		for _, target := range []string{"/a", "/b", "/c"} {
			body, err := do(t, p, request(target))
			require.NoError(t, err)
			require.Equal(t, "own of "+target, body)
			held := request("/held")
			held.Admit = func() error { return errHeld }
			_, err = do(t, p, held)
			require.ErrorIs(t, err, errHeld)
		}
		require.Equal(t, 1, s.connections())
	})
	t.Run("closed pool", func(t *testing.T) {
		gone := make(chan struct{})
		s := serve(t, func(_ int, _ net.Conn, in *bufio.Reader) {
			_, _ = in.ReadByte()
			close(gone)
		})
		p := s.pool()
		held := request("/held")
		held.Admit = func() error { p.Close(); return errHeld }
		_, err := do(t, p, held)
		require.ErrorIs(t, err, errHeld)
		<-gone
		require.Empty(t, p.idle)
	})
}
