package engineclient_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
)

// Guards against a process that crashes on a response without a body where a stream is
// expected.
func TestGenerateAnsweredWithoutABody(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n\r\n", status)
				_ = c.Close()
			}()
			c := engineclient.New(ln.Addr().String(), httpx.Options{})
			t.Cleanup(c.Close)
			_, err = c.Generate(t.Context(), request("a"))
			var got *httpx.StatusError
			require.ErrorAs(t, err, &got)
			require.Equal(t, status, got.Status)
		})
	}
}
