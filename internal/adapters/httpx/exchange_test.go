package httpx

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"tamarackchute/upstream"
)

// serveSecond answers the first request of each connection, and the second one with what
// second returns for the IDs of both exchanges.
func serveSecond(t *testing.T, second func(previous, own string) string) string {
	return serveRaw(t, func(_ int, c net.Conn) {
		in := bufio.NewReader(c)
		first, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		previous := first.Header.Get(HeaderExchange)
		_, _ = fmt.Fprint(c, named(previous, "first"))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = fmt.Fprint(c, second(previous, r.Header.Get(HeaderExchange)))
	})
}

// named returns a response that names an exchange; one to a HEAD request has no body.
func named(id, body string) string {
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", HeaderExchange, id, len(body))
	if strings.HasSuffix(id, headSuffix) {
		return header
	}
	return header + body
}

func chunkedResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n%x\r\n%s\r\n0\r\nX-End: 1\r\n\r\n",
		HeaderExchange, id, len(body), body)
}

func send(ctx context.Context, c *Client, method string) (string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("/")
	err := c.Do(ctx, req, resp)
	return string(resp.Body()), err
}

// Guards against a response to another exchange that is taken for, or cuts short, the
// response to the current one, whatever its framing.
func TestResponsesToOtherExchangesAreDropped(t *testing.T) {
	const get, head = fasthttp.MethodGet, fasthttp.MethodHead
	large := strings.Repeat("x", maxForeignBody+1)
	cases := []struct {
		name          string
		first, second string
		respond       func(previous, own string) string
		want          string
		err           error
	}{
		{"one", get, get, func(p, o string) string { return named(p, "other") + named(o, "own") }, "own", nil},
		{"chunked with a trailer", get, get, func(p, o string) string { return chunkedResponse(p, "other") + chunkedResponse(o, "own") }, "own", nil},
		{"after an informational one", get, get, func(p, o string) string {
			return "HTTP/1.1 102 Processing\r\n\r\n" + named(p, "other") + "HTTP/1.1 102 Processing\r\n\r\n" + named(o, "own")
		}, "own", nil},
		{"of a HEAD request", head, get, func(p, o string) string { return named(p, "other") + named(o, "own") }, "own", nil},
		{"before that of a HEAD request", get, head, func(p, o string) string { return named(p, "other") + named(o, "own") }, "", nil},
		{"as many as allowed", get, get, func(p, o string) string {
			return strings.Repeat(named(p, "other"), maxForeignResponses) + named(o, "own")
		}, "own", nil},
		{"too many", get, get, func(p, o string) string {
			return strings.Repeat(named(p, "other"), maxForeignResponses+1) + named(o, "own")
		}, "", errTooManyForeign},
		{"too large", get, get, func(p, o string) string { return named(p, large) + named(o, "own") }, "", fasthttp.ErrBodyTooLarge},
		{"without an ID", get, get, func(_, o string) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother" + named(o, "own")
		}, "", errUnidentified},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			client := New(serveSecond(t, tc.respond), Options{Timeout: 5 * time.Second})
			_, err := send(t.Context(), client, tc.first)
			require.NoError(t, err)
			body, err := send(t.Context(), client, tc.second)
			if tc.err != nil {
				require.ErrorIs(t, err, tc.err)
				require.ErrorIs(t, err, upstream.ErrBroken)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, tc.want, body)
		})
	}
}

// Guards against a peer's fault that nobody learns of, or that fills the log.
func TestDroppedResponsesAreLoggedWithinALimit(t *testing.T) {
	var log bytes.Buffer
	addr := serveSecond(t, func(p, o string) string {
		return strings.Repeat(named(p, "other"), maxForeignResponses) + named(o, "own")
	})
	client := New(addr, Options{Logger: slog.New(slog.NewTextHandler(&log, nil))})
	for range 2 {
		_, err := send(t.Context(), client, fasthttp.MethodGet)
		require.NoError(t, err)
	}
	assert.EqualValues(t, maxForeignResponses, client.foreign.dropped.Load())
	assert.Contains(t, log.String(), "dropped a response to another exchange")
	assert.Less(t, strings.Count(log.String(), "\n"), maxForeignResponses)
}

// Guards against a client that runs out of ports: with a peer that repeats no ID, each request
// has its own connection, and a regular close would keep its port for a minute.
func TestConnectionWithoutIDIsReset(t *testing.T) {
	closed := make(chan error, 1)
	addr := serveRaw(t, func(_ int, c net.Conn) {
		in := bufio.NewReader(c)
		_, _ = http.ReadRequest(in)
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
		_, err := in.ReadByte()
		closed <- err
	})
	body, err := send(t.Context(), New(addr, Options{}), fasthttp.MethodGet)
	require.NoError(t, err)
	assert.Equal(t, "own", body)
	require.ErrorIs(t, <-closed, syscall.ECONNRESET)
}

// Guards against two exchanges with one ID on a connection.
func TestExchangeIDsAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, ids := range []*exchangeIDs{newExchangeIDs(), newExchangeIDs()} {
		for i := range 1000 {
			id := string(ids.next(i%2 == 0))
			require.False(t, seen[id], id)
			seen[id] = true
		}
	}
}
