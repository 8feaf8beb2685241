package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// Guards against a service's response that breaks off, in its head or later, and reaches the caller
// framed as a whole one.
func TestCutResponsesAreNotWhole(t *testing.T) {
	for name, text := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
		"trailers": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n4\r\nbody\r\n0\r\nX-End: 1\r\n\r\n",
		"interim":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(text) + 1 {
				address := serveTCP(t, func(conn net.Conn, request *http.Request) {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, text[:cut])
					_ = conn.Close()
				})
				services := map[string]upstream.Service{"s1": serviceclient.New(address, httpx.Options{})}
				r := newHarness(t, &fakeDeps{services: services, then: rules.Then{Pool: "s", Retry: rules.RetryNever}})
				response := r.post(t, "/bookings", "x")
				body, err := io.ReadAll(response.Body)
				require.NoError(t, response.Body.Close())
				whole := err == nil && response.StatusCode == http.StatusOK
				require.Equal(t, cut == len(text), whole, "cut after %d bytes: %d %s", cut, response.StatusCode, body)
				if whole {
					require.Equal(t, "body", string(body))
				}
			}
		})
	}
}
