package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/entry/gateway"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// Guards against responses that fill the memory together because their callers don't read them.
func TestUnreadResponsesShareALimit(t *testing.T) {
	const size = 24 << 20 // more than sockets buffer
	body := strings.Repeat("x", size)
	address := serveTCP(t, func(conn net.Conn, _ *http.Request) { reply(conn, body) })
	services := map[string]upstream.Service{"s1": serviceclient.New(address, httpx.Options{MaxBody: 2 * size})}
	r := newHarness(t, &fakeDeps{services: services, then: rules.Then{Pool: "s", Retry: rules.RetryNever}},
		func(o *gateway.Options) { o.Bodies = bodylimit.New(size + size/2) })
	status := func() int {
		response := r.post(t, "/list", "x")
		read, err := io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		if response.StatusCode == http.StatusOK {
			require.EqualValues(t, size, read)
		}
		return response.StatusCode
	}
	isFreeAgain := func() {
		require.Eventually(t, func() bool { return status() == 200 }, 10*time.Second, 50*time.Millisecond)
	}
	begin := func() net.Conn {
		conn, err := net.Dial("tcp", r.address)
		require.NoError(t, err)
		_, err = fmt.Fprint(conn, "GET /list HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		_, err = conn.Read(make([]byte, 16))
		require.NoError(t, err)
		return conn
	}
	unread := begin()
	require.Equal(t, 502, status())
	require.NoError(t, unread.Close())
	isFreeAgain()
	slow := begin()
	require.Equal(t, 502, status())
	read, err := io.CopyN(io.Discard, slow, size)
	require.NoError(t, err)
	require.EqualValues(t, size, read)
	isFreeAgain()
	require.NoError(t, slow.Close())
}
