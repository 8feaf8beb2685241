package exchange

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a response whose status is none and that is passed on as an answer.
func TestImpossibleStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "101", "600", "999", "1000", "20", "+20", "-20", "2 0"} {
		t.Run(status, func(t *testing.T) {
			s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
				target, _, _ := readRequest(in)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nno", status, target)
			})
			p := s.pool()
			_, err := do(t, p, request("/a"))
			requireLost(t, err)
			require.Empty(t, p.idle)
		})
	}
}
