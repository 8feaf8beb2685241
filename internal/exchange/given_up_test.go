package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
		r := request("/a")
		r.Body = []byte(strings.Repeat("x", 200<<10))
		_, err := NewPool(l.Addr().String(), Options{}).Do(ctx, r)
		ended <- err
	}()
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	time.Sleep(100 * time.Millisecond) // the kernel takes the body
	leave()
	requireLost(t, <-ended)
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // it was cut in its head
	}
	_, err = req.Body.Read(make([]byte, 1))
	for err == nil {
		_, err = req.Body.Read(make([]byte, 4096))
	}
	require.ErrorIs(t, err, syscall.ECONNRESET, "the whole request has arrived")
}
