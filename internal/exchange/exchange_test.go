package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// wait is the timeout of all waits; none takes that long unless a test fails.
const wait = 10 * time.Second

// scriptedServer runs a function for each connection and counts the connections.
type scriptedServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    int
}

func serve(t *testing.T, do func(n int, c net.Conn, in *bufio.Reader)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedServer{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			n := s.conns
			s.conns++
			s.mu.Unlock()
			go func() {
				defer func() { _ = c.Close() }()
				do(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

func (s *scriptedServer) pool() *Pool { return NewPool(s.listener.Addr().String(), Options{}) }

func (s *scriptedServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// readRequest reads one request and returns its target and body.
func readRequest(in *bufio.Reader) (string, string, bool) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return "", "", false
	}
	body, err := io.ReadAll(r.Body)
	return r.RequestURI, string(body), err == nil
}

func request(target string) *Request {
	return &Request{Method: "POST", Target: target, Host: "h", Header: http.Header{}, Body: []byte("b"), Match: EchoedID("X-Id", target)}
}

func reply(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	resp, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func requireLost(t *testing.T, err error) {
	t.Helper()
	var lost *NoResponseError
	require.ErrorAs(t, err, &lost)
}

// Nothing listens at the address, so the request certainly wasn't sent.
func TestNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = do(t, NewPool(l.Addr().String(), Options{}), request("/a"))
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
}

// The server reads a request and closes the connection: the request may have run.
func TestClosedWithoutResponse(t *testing.T) {
	s := serve(t, func(_ int, _ net.Conn, in *bufio.Reader) { readRequest(in) })
	_, err := do(t, s.pool(), request("/a"))
	requireLost(t, err)
	require.Equal(t, 1, s.connections(), "the request was sent again")
}

// An idle connection is reused unless the server has closed it meanwhile: the request
// would be lost there.
func TestConnectionReuse(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(n int, c net.Conn, in *bufio.Reader) {
		for range 2 {
			target, _, ok := readRequest(in)
			if !ok {
				return
			}
			reply(c, target, "ok")
		}
		if n == 0 {
			_ = c.Close()
			close(closed)
		}
	})
	p := s.pool()
	for _, target := range []string{"/a", "/b"} {
		body, err := do(t, p, request(target))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Equal(t, 1, s.connections())
	<-closed
	require.Eventually(t, func() bool {
		c := p.popIdle(Match{})
		defer func() { p.idle = append(p.idle, c) }()
		return !c.healthy()
	}, wait, time.Millisecond)
	body, err := do(t, p, request("/c"))
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Equal(t, 2, s.connections())
}

// A non-idempotent request doesn't reuse a connection that has been idle for a while: the
// server may be closing it just now.
func TestNonIdempotentAvoidsIdleConnections(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			target, _, ok := readRequest(in)
			if !ok {
				return
			}
			reply(c, target, "ok")
		}
	})
	p := NewPool(s.listener.Addr().String(), Options{MaxIdleNonIdempotent: time.Nanosecond})
	_, err := do(t, p, request("/a"))
	require.NoError(t, err)
	r := request("/b")
	r.NonIdempotent = true
	_, err = do(t, p, r)
	require.NoError(t, err)
	require.Equal(t, 2, s.connections())
}

// A second response to the first request arrives before the response to the second one,
// whose caller must get its own.
func TestStaleResponseIsDiscarded(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		first, _, _ := readRequest(in)
		reply(c, first, "first")
		second, _, _ := readRequest(in)
		reply(c, first, "first again")
		reply(c, second, "second")
		readRequest(in)
	})
	p := s.pool()
	body, err := do(t, p, request("/a"))
	require.NoError(t, err)
	require.Equal(t, "first", body)
	body, err = do(t, p, request("/b"))
	require.NoError(t, err)
	require.Equal(t, "second", body)
	require.Equal(t, 1, s.connections())
}

// On a new connection, a response with another id can't be a late one to an earlier
// request.
func TestMismatchedResponseOnNewConnection(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readRequest(in)
		reply(c, "another", "body")
		readRequest(in)
	})
	_, err := do(t, s.pool(), request("/a"))
	requireLost(t, err)
	require.ErrorIs(t, err, ErrMismatchedResponse)
}

// Bytes after a complete response belong to no request: the connection must not be
// reused.
func TestBytesAfterResponse(t *testing.T) {
	s := serve(t, func(n int, c net.Conn, in *bufio.Reader) {
		target, _, _ := readRequest(in)
		if n == 0 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nX-Id: /b\r\nContent-Length: 5\r\n\r\nwrong", target)
		} else {
			reply(c, target, "right")
		}
		readRequest(in)
	})
	p := s.pool()
	body, err := do(t, p, request("/a"))
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	body, err = do(t, p, request("/b"))
	require.NoError(t, err)
	require.Equal(t, "right", body)
}

// A truncated response is an error, whatever its framing; one without a length is
// complete when the connection is closed.
func TestResponseFraming(t *testing.T) {
	cases := []struct {
		name, text string
		reset      bool
		body       string
		complete   bool
	}{
		{"length", "Content-Length: 4\r\n\r\nbody", false, "body", true},
		{"length, short", "Content-Length: 9\r\n\r\nbody", false, "", false},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, "body", true},
		{"chunks, no last one", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false, "", false},
		{"no length, closed", "\r\nbody", false, "body", true},
		{"no length, reset", "\r\nbody", true, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				target, _, _ := readRequest(in)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s", target, c.text)
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			body, err := do(t, s.pool(), request("/a"))
			if !c.complete {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.body, body)
		})
	}
}

// A server responds to a long request before it has read the body, and keeps the
// connection open. It still expects the rest of that body, so the connection must not be
// reused.
func TestResponseBeforeRequestBodyIsRead(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, func(n int, c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		reply(c, r.RequestURI, "early")
		if n == 0 {
			<-release
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	defer close(release)
	p := s.pool()
	long := request("/a")
	long.Body = []byte(strings.Repeat("x", 64<<20))
	body, err := do(t, p, long)
	require.NoError(t, err)
	require.Equal(t, "early", body)
	body, err = do(t, p, request("/b"))
	require.NoError(t, err)
	require.Equal(t, "early", body)
	require.Equal(t, 2, s.connections())
}

// A response that exceeds the limit must not pass for a complete one.
func TestResponseTooLarge(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		target, _, _ := readRequest(in)
		reply(c, target, "12345")
	})
	for limit, complete := range map[int64]bool{4: false, 5: true} {
		resp, err := s.pool().Do(t.Context(), request("/a"))
		require.NoError(t, err)
		body, err := resp.ReadAll(limit)
		resp.Close()
		if !complete {
			require.ErrorIs(t, err, ErrResponseTooLarge)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "12345", string(body))
	}
}

// When the context ends while the server works, the server sees its connection closed.
func TestCancelClosesTheConnection(t *testing.T) {
	got, gone := make(chan struct{}), make(chan struct{})
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readRequest(in)
		close(got)
		_, _ = in.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-got
		cancel()
	}()
	_, err := s.pool().Do(ctx, request("/a"))
	requireLost(t, err)
	require.True(t, errors.Is(err, context.Canceled))
	<-gone
}

func TestKeepAliveHeader(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=5":        5*time.Second - keepAliveMargin,
		"max=9, timeout=2": 2*time.Second - keepAliveMargin,
		"Timeout=\"1\"":    time.Second - keepAliveMargin,
		"timeout=0":        0,
		"max=9":            -1,
		"timeout=x":        -1,
		"timeout=-1":       -1,
		"":                 -1,
	} {
		got, ok := parseKeepAlive(header)
		require.Equal(t, want >= 0, ok, header)
		if ok {
			require.Equal(t, want, got, header)
		}
	}
}
