package httpx

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const (
	endlessTimeout = 10 * time.Second
	// endlessRead is what may be read of bytes without end, with what sockets buffer; mostEndless is
	// how many are sent if nobody closes the connection.
	endlessRead = 12 << 20
	mostEndless = 48 << 20
)

// serveEndless answers each connection with some bytes, then others without end, and returns its address
// and how many were sent.
func serveEndless(t *testing.T, first, again string) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var sent atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096)) // the request
				_, err := conn.Write([]byte(first))
				block := []byte(strings.Repeat(again, 1+(32<<10)/len(again)))
				for err == nil && sent.Load() < mostEndless {
					var n int
					n, err = conn.Write(block)
					sent.Add(int64(n))
				}
				_, _ = io.Copy(io.Discard, conn) // until it is closed
			}()
		}
	}()
	return l.Addr().String(), &sent
}

// Guards against an upstream that sends bytes without end, which are read until the deadline or fill the
// memory.
func TestEndlessResponsesAreGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ first, again string }{
		"bytes":             {"", "x"},
		"empty lines":       {"", "\r\n"},
		"status line":       {"HTTP/1.1 200 ", "x"},
		"header":            {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
		"headers":           {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":              {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"chunk size":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailers":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, sent := serveEndless(t, c.first, c.again)
			client := New(address, Options{MaxBody: 1 << 20, Timeout: endlessTimeout})
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + address + "/a")
			began := time.Now()
			require.Error(t, client.Do(context.Background(), req, resp))
			require.Less(t, time.Since(began), endlessTimeout, "it isn't the deadline that ends it")
			require.Less(t, sent.Load(), int64(endlessRead))
		})
	}
}
