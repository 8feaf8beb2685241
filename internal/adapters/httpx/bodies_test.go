package httpx

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/bodylimit"
)

const largeBody = 1 << 20

// serveLarge answers each connection's first request with a body of largeBody bytes, framed by framing.
func serveLarge(t *testing.T, framing string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	body := strings.Repeat("x", largeBody)
	answer := map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", largeBody, body),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", largeBody, body),
		"close":  "Connection: close\r\n\r\n" + body,
	}[framing]
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + answer))
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against large bodies that fill the memory together, each within its own limit.
func TestBodiesShareALimit(t *testing.T) {
	for _, framing := range []string{"length", "chunks", "close"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			bodies := bodylimit.New(3 * largeBody)
			client := New(serveLarge(t, framing), Options{Bodies: bodies, OnFailure: func() { t.Error("the upstream is blamed for memory that others hold") }})
			call := func(ctx context.Context) error {
				req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				req.SetRequestURI("http://" + client.Addr() + "/a")
				err := client.Do(ctx, req, resp)
				if err == nil {
					require.Len(t, resp.Body(), largeBody)
				}
				return err
			}
			var held []*bodylimit.Share
			served := 0
			for range 4 {
				share := bodies.Share()
				held = append(held, share)
				if err := call(bodylimit.WithShare(t.Context(), share)); err == nil {
					served++
				} else {
					require.ErrorIs(t, err, bodylimit.ErrExceeded)
				}
			}
			require.GreaterOrEqual(t, served, 1)
			require.Less(t, served, 4)
			require.ErrorIs(t, call(t.Context()), bodylimit.ErrExceeded, "what others hold counts")
			for _, share := range held {
				share.Release()
			}
			for range 8 {
				require.NoError(t, call(t.Context()), "the room is free again, also after bodies without a share")
			}
		})
	}
}
