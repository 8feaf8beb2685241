package httpx

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// answerWith answers a request with a first line of the given status, after some bytes.
func answerWith(t *testing.T, before, status string) string {
	return serveRaw(t, func(_ int, c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 %s Odd\r\n%s: %s\r\nContent-Length: 2\r\n\r\nno", before, status, HeaderExchange, req.Header.Get(HeaderExchange))
	})
}

// Guards against a response whose status is none and that is passed on as an answer: 000 as a 200.
func TestImpossibleStatusIsNoResponse(t *testing.T) {
	for _, before := range []string{"", "\r\n", "HTTP/1.1 102 Processing\r\n\r\n"} {
		for _, status := range []string{"000", "001", "020", "099", "101", "600", "999", "1000", "20", "+20", "-20", "2 0", "0"} {
			t.Run(fmt.Sprintf("%q after %q", status, before), func(t *testing.T) {
				_, err := get(t.Context(), New(answerWith(t, before, status), Options{}))
				require.ErrorIs(t, err, upstream.ErrBroken)
			})
		}
	}
	for _, status := range []string{"200", "204", "304", "404", "599"} {
		_, err := get(t.Context(), New(answerWith(t, "\r\n", status), Options{}))
		require.NoError(t, err, status)
	}
}
