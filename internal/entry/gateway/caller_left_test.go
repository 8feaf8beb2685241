package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// Guards against a success for a caller that closes its side first, while its request runs here or at
// another instance.
func TestCallerThatLeavesGetsNoSuccess(t *testing.T) {
	received, end := make(chan struct{}, 16), make(chan struct{})
	t.Cleanup(func() { close(end) })
	address := serveTCP(t, func(net.Conn, *http.Request) {
		received <- struct{}{}
		<-end
	})
	deps := func(f *fakeForwarder) *fakeDeps {
		d := &fakeDeps{services: map[string]upstream.Service{"s1": serviceclient.New(address, httpx.Options{})}, then: rules.Then{Pool: "s"}}
		if f != nil {
			d.forwarder = f
		}
		return d
	}
	direct := newHarness(t, deps(nil))
	forwarding := &fakeForwarder{peers: []*fakePeer{newPeer(direct.forwardedAddress(t))}}
	forwarding.lost.Store(true)
	for name, h := range map[string]*harness{"direct": direct, "forwarded": newHarness(t, deps(forwarding))} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+" "+version, func(t *testing.T) {
				conn, err := net.Dial("tcp", h.address)
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, "POST /bookings "+version+"\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
				require.NoError(t, err)
				<-received
				require.NoError(t, conn.(*net.TCPConn).CloseWrite())
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.GreaterOrEqual(t, response.StatusCode, http.StatusBadRequest)
				require.Equal(t, string(outcome.MayHaveRun), response.Header.Get(outcome.Header))
			})
		}
	}
}
