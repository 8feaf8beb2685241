package exchange

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// longUpload is longer than what sockets buffer.
const longUpload = 16 << 20

// upload sends a long request to a server that answers its head at once, without a length, and then ends the connection.
func upload(t *testing.T, end func(c *net.TCPConn, in *bufio.Reader)) (string, error) {
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\npart", req.RequestURI)
		end(c.(*net.TCPConn), in)
	})
	r := request("/a")
	r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", longUpload))
	return do(t, s.pool(), r)
}

// Guards against a part of a response that passes for the whole, since the upstream ended the connection while the request
// was still being written.
func TestEarlyResponseThatIsCutIsNotWhole(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"reset":                    func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"closed":                   func(*net.TCPConn) {},
		"sending side ended first": func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(10 * time.Millisecond); _ = c.SetLinger(0) },
	} {
		for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " after ", after), func(t *testing.T) {
				for range 5 {
					body, err := upload(t, func(c *net.TCPConn, _ *bufio.Reader) {
						time.Sleep(after)
						end(c)
					})
					require.Error(t, err, "got %q", body)
				}
			})
		}
	}
}

// Guards against a response without a length that doesn't get through, though the upstream has read the request to its end.
func TestEarlyResponseIsWholeOnceTheRequestIsRead(t *testing.T) {
	body, err := upload(t, func(c *net.TCPConn, in *bufio.Reader) {
		_ = c.CloseWrite()
		_, _ = in.Discard(longUpload)
	})
	require.NoError(t, err)
	require.Equal(t, "part", body)
}
