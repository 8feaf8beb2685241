package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/entry/gateway"
)

// Guards against a body that is refused unread, or before any body is, and is then taken for the caller's next request.
func TestRefusedBodyIsNoRequest(t *testing.T) {
	const smuggled = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, head := range map[string]string{
		"too large":                  "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n",
		"too large, target refused":  "POST /app/x#?a=b HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n",
		"too large, and kept open":   "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\nContent-Length: 99999999\r\n\r\n",
		"too large, named by itself": "POST " + path + " HTTP/1.1\r\nHost: x\r\nTamarackchute-Body-Too-Large: 1\r\nContent-Length: 99999999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, &fakeDeps{}, func(o *gateway.Options) { o.MaxBodyBytes = 1 << 10 })
			conn, err := net.Dial("tcp", r.address)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, head+smuggled)
			require.NoError(t, err)
			in := bufio.NewReader(conn)
			response, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			require.GreaterOrEqual(t, response.StatusCode, 400)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			_, err = http.ReadResponse(in, nil)
			require.Error(t, err, "one request, one response")
		})
	}
}
