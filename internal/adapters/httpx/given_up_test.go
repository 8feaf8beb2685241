package httpx

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// Guards against a request that reaches its upstream after its caller has left, since the kernel had it already.
func TestRequestThatIsGivenUpDoesNotArriveLater(t *testing.T) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(http.MethodPost)
		req.SetRequestURI("/a")
		req.SetBodyString(strings.Repeat("x", 200<<10))
		ended <- New(l.Addr().String(), Options{}).Do(ctx, req, resp)
	}()
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	time.Sleep(100 * time.Millisecond) // the kernel takes the body
	leave()
	require.Error(t, <-ended)
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // it was cut in its head
	}
	_, err = io.Copy(io.Discard, req.Body)
	require.ErrorIs(t, err, syscall.ECONNRESET, "the whole request has arrived")
}
