package exchange

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a body that isn't the server's where a response's framing is contradictory or
// broken.
func TestBrokenFraming(t *testing.T) {
	cases := []struct {
		name, text string
		// body is the body that the response may have; otherwise it must be an error.
		body string
	}{
		{"two lengths", "Content-Length: 3\r\nContent-Length: 5\r\n\r\nowned", ""},
		{"the same length twice", "Content-Length: 3\r\nContent-Length: 3\r\n\r\nown", "own"},
		{"length and chunks", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n", "own"},
		{"negative length", "Content-Length: -1\r\n\r\nown", ""},
		{"signed length", "Content-Length: +3\r\n\r\nown", ""},
		{"unknown transfer encoding", "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n", ""},
		{"bad chunk size", "Transfer-Encoding: chunked\r\n\r\nx\r\nown\r\n0\r\n\r\n", ""},
		{"chunk longer than stated", "Transfer-Encoding: chunked\r\n\r\n2\r\nown\r\n0\r\n\r\n", ""},
		{"chunks, closed in the last line", "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				target, _, _ := readRequest(in)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s", target, c.text)
			})
			p := s.pool()
			body, err := do(t, p, request("/a"))
			if c.body == "" {
				require.Error(t, err)
				require.Empty(t, p.idle)
			} else {
				require.NoError(t, err)
				require.Equal(t, c.body, body)
			}
		})
	}
}
