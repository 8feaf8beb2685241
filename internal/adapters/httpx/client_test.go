package httpx

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"tamarackchute/upstream"
)

// serveRaw accepts connections and hands each to serve until the test ends. It closes them
// then; one that nothing refers to would be closed earlier, by the garbage collector.
func serveRaw(t *testing.T, serve func(n int, c net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go serve(n, c)
		}
	}()
	return ln.Addr().String()
}

func answer(c net.Conn, body string) error {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.Header.Set(HeaderExchange, req.Header.Get(HeaderExchange))
	resp.SetBodyString(body)
	w := bufio.NewWriter(c)
	_ = resp.Write(w)
	return w.Flush()
}

func get(ctx context.Context, c *Client) (string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/")
	err := c.Do(ctx, req, resp)
	return string(resp.Body()), err
}

// Guards against a request that fails as "may have run" though it was never sent: the
// service has restarted, and the request is written to an idle connection that the old
// process has closed. The same check discards a connection with a stray response.
func TestIdleConnectionIsCheckedBeforeReuse(t *testing.T) {
	cases := map[string]func(c net.Conn){
		"closed by the server": func(c net.Conn) { _ = c.Close() },
		"stray response":       func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")) },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			answered := make(chan struct{})
			addr := serveRaw(t, func(n int, c net.Conn) {
				if n > 0 {
					_ = answer(c, "second")
					return
				}
				_ = answer(c, "first")
				<-answered
				invalidate(c)
			})
			var first net.Conn
			client := New(addr, Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := dialTCP(ctx, addr)
				if first == nil {
					first = c
				}
				return c, err
			}})
			body, err := get(t.Context(), client)
			require.NoError(t, err)
			require.Equal(t, "first", body)
			close(answered)
			require.Eventually(t, func() bool { return !isIdle(first) }, 5*time.Second, time.Millisecond)

			body, err = get(t.Context(), client)
			require.NoError(t, err)
			assert.Equal(t, "second", body)
		})
	}
}

func TestErrorsSayWhetherTheRequestWasSent(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	soon := func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(t.Context(), 50*time.Millisecond)
	}
	unbounded := func() (context.Context, context.CancelFunc) { return t.Context(), func() {} }
	untrusted := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(untrusted.Close)
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, refusing.Close())

	cases := []struct {
		name  string
		addr  string
		opts  Options
		ctx   func() (context.Context, context.CancelFunc)
		kind  error
		cause error
	}{
		{"address refuses", refusing.Addr().String(), Options{}, unbounded, upstream.ErrNotSent, nil},
		{"certificate not trusted", untrusted.Listener.Addr().String(), Options{TLS: &tls.Config{}}, unbounded, upstream.ErrNotSent, nil},
		{"context already ended", untrusted.Listener.Addr().String(), Options{},
			func() (context.Context, context.CancelFunc) { return ended, func() {} }, upstream.ErrNotSent, context.Canceled},
		{"closed without answering", serveRaw(t, func(_ int, c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_ = c.Close()
		}), Options{}, unbounded, upstream.ErrBroken, nil},
		{"silent until the deadline", serveRaw(t, func(int, net.Conn) {}), Options{}, soon, upstream.ErrBroken, context.DeadlineExceeded},
		{"cut off in the body", serveRaw(t, func(_ int, c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"))
			_ = c.Close()
		}), Options{}, unbounded, upstream.ErrBroken, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := tc.ctx()
			defer cancel()
			_, err := get(ctx, New(tc.addr, tc.opts))
			require.ErrorIs(t, err, tc.kind)
			assert.NotErrorIs(t, err, io.EOF, "io.EOF would mean the end of a complete response")
			if tc.cause != nil {
				assert.ErrorIs(t, err, tc.cause)
			}
		})
	}
}

func TestTrustedCertificateIsAccepted(t *testing.T) {
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("safe")) }))
	t.Cleanup(s.Close)
	roots := s.Client().Transport.(*http.Transport).TLSClientConfig
	body, err := get(t.Context(), New(s.Listener.Addr().String(), Options{TLS: roots}))
	require.NoError(t, err)
	assert.Equal(t, "safe", body)
}
