package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an exchange that takes the late response to an earlier request, in whatever
// form, or bytes that are none, for its own.
func TestLateResponses(t *testing.T) {
	ok := late("200 OK", "Content-Length: 4\r\n\r\nlate")
	cases := []struct {
		name, late string
		// lost says that the own response can't be found behind the late one.
		lost bool
	}{
		{"success", ok, false},
		{"refusal", late("503 Service Unavailable", "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"), false},
		{"misdirected", late("421 Misdirected Request", "Content-Length: 0\r\n\r\n"), false},
		{"no body by its status", late("204 No Content", "\r\n"), false},
		{"not modified, with a length", late("304 Not Modified", "Content-Length: 4\r\n\r\n"), false},
		{"chunks", late("200 OK", "Transfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n"), false},
		{"chunks and trailer", late("200 OK", "Transfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\nX-Id: /b\r\n\r\n"), false},
		{"connection to be closed", late("200 OK", "Connection: close\r\nContent-Length: 4\r\n\r\nlate"), false},
		{"informational, then final", late("103 Early Hints", "\r\n") + ok, false},
		{"informational with the own id", "HTTP/1.1 103 Early Hints\r\nX-Id: /b\r\n\r\n", false},
		{"two", ok + ok, false},
		{"more than are dropped", ok + ok + ok, true},
		{"no length", late("200 OK", "\r\nlate"), true},
		{"no length, reads like a response", late("200 OK", "\r\nHTTP/1.1 200 OK\r\nX-Id: /b\r\nContent-Length: 4\r\n\r\nlate"), true},
		{"too long", late("200 OK", "Content-Length: 1048577\r\n\r\n"+strings.Repeat("l", maxStaleBytes+1)), true},
		{"chunks without an end", late("200 OK", "Transfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n"), true},
		{"no id", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", false},
		{"bytes that are no response", "late", true},
		{"a line that is no response", "late\r\n", true},
		{"the rest of a body", "ate\r\nX-Id: /b\r\n\r\n", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				readRequest(in)
				reply(conn, "/a", "first")
				readRequest(in)
				_, _ = conn.Write([]byte(c.late))
				reply(conn, "/b", "own")
				readRequest(in)
			})
			p := s.pool()
			_, err := do(t, p, request("/a"))
			require.NoError(t, err)
			body, err := do(t, p, request("/b"))
			require.Equal(t, 1, s.connections(), "the late response wasn't met")
			if c.lost {
				requireLost(t, err)
				require.Empty(t, p.idle, "a connection of unknown state was kept")
				return
			}
			require.NoError(t, err)
			require.Equal(t, "own", body)
		})
	}
}

// Guards against a late response that is taken because only its end arrives after the check of
// the idle connection: once any of it has come, the connection isn't used again.
func TestSplitLateResponse(t *testing.T) {
	text := late("200 OK", "Content-Length: 4\r\n\r\nlate")
	for _, split := range []int{1, len("HTTP/1.1 200 OK\r\n"), len(text) - 4, len(text) - 1} {
		t.Run(fmt.Sprint(split), func(t *testing.T) {
			s := serve(t, func(n int, conn net.Conn, in *bufio.Reader) {
				if n > 0 {
					readRequest(in)
					reply(conn, "/b", "own")
					readRequest(in)
					return
				}
				readRequest(in)
				reply(conn, "/a", "first")
				_, _ = conn.Write([]byte(text[:split]))
				readRequest(in) // returns when the connection is closed
				_, _ = conn.Write([]byte(text[split:]))
			})
			p := s.pool()
			_, err := do(t, p, request("/a"))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return len(p.idle) == 0 || !p.idle[0].healthy() }, wait, time.Millisecond)
			body, err := do(t, p, request("/b"))
			require.NoError(t, err)
			require.Equal(t, "own", body)
			require.Equal(t, 2, s.connections())
		})
	}
}

// Guards against an exchange that outlasts its context, or another response that is taken,
// where the late response never ends.
func TestLateResponseWithoutEnd(t *testing.T) {
	s := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		readRequest(in)
		reply(conn, "/a", "first")
		readRequest(in)
		_, _ = conn.Write([]byte(late("200 OK", "Transfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n")))
		readRequest(in)
	})
	p := s.pool()
	_, err := do(t, p, request("/a"))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = p.Do(ctx, request("/b"))
	requireLost(t, err)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
