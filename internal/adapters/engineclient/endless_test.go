package engineclient_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
)

// Guards against an engine that sends bytes without end in place of a stream of tokens, which are read until
// the deadline or fill the memory.
func TestEndlessStreamsAreGivenUp(t *testing.T) {
	const (
		deadline = time.Minute
		mostRead = 12 << 20 // with what sockets buffer
		chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		token    = `{"index":0,"text":"a","finish":"stop"}` + "\n"
	)
	for name, f := range map[string]struct{ first, again string }{
		"head":            {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
		"line":            {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"},
		"line in chunks":  {chunked, "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"empty lines":     {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "\n"},
		"chunk extension": {chunked + "4;", "x"},
		"trailers":        {chunked + "0\r\n", "X-A: b\r\n"},
		"after the end":   {chunked + "27\r\n" + token + "\r\n", "4\r\nxxxx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, sent := serveEndless(t, f.first, f.again)
			c := engineclient.New(address, httpx.Options{Timeout: deadline})
			t.Cleanup(c.Close)
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			s, err := c.Generate(ctx, request("a"))
			for err == nil {
				_, err = s.Next(ctx)
			}
			require.NoError(t, ctx.Err(), "it isn't the deadline that ends it")
			require.Less(t, sent.Load(), int64(mostRead))
		})
	}
}

// serveEndless answers requests with some bytes, then others without end, and returns its address and how
// many were sent.
func serveEndless(t *testing.T, first, again string) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent := new(atomic.Int64)
	block := []byte(strings.Repeat(again, 1+(32<<10)/len(again)))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, err := conn.Write([]byte(first))
				for n := 0; err == nil; sent.Add(int64(n)) {
					n, err = conn.Write(block)
				}
			}()
		}
	}()
	return l.Addr().String(), sent
}
