package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// targetCases are targets that could be read in two ways, with the path by which the rules decide and the
// target that the service gets; both are empty if the request is refused.
var targetCases = []struct{ target, path, sent string }{
	{"/app/x?a=b", "/app/x", "/app/x?a=b"},
	{"/app/confirm/https://x/other/sheet", "/app/confirm/https://x/other/sheet", "/app/confirm/https://x/other/sheet"},
	{"/app/x?to=http://x/other/x", "/app/x", "/app/x?to=http://x/other/x"},
	{"/app//x/../y/%2e%2e/%2Fz", "/app//x/../y/%2e%2e/%2Fz", "/app//x/../y/%2e%2e/%2Fz"},
	{"//y/app/x", "//y/app/x", "//y/app/x"},
	{"http://x/app/x?a=b", "/app/x", "/app/x?a=b"},
	{"http://x/app/http://x/other/x", "/app/http://x/other/x", "/app/http://x/other/x"},
	{"http://x", "/", "/"},
	{"/app/x#/../other/x", "", ""},
	{"/app/x#?a=b", "", ""},
}

// Guards against rules that decide by another path than the one that the service gets, here or by way of
// another instance.
func TestRulesAndServicesReadOneTarget(t *testing.T) {
	address := serveTCP(t, func(conn net.Conn, r *http.Request) { reply(conn, r.RequestURI) })
	var mu sync.Mutex
	var paths []string
	deps := func(f *fakeForwarder) *fakeDeps {
		d := &fakeDeps{
			services: map[string]upstream.Service{"s1": serviceclient.New(address, httpx.Options{})},
			byPath: func(path string) rules.Then {
				mu.Lock()
				defer mu.Unlock()
				paths = append(paths, path)
				return rules.Then{Pool: "s", Retry: rules.RetryNever}
			},
		}
		if f != nil {
			d.forwarder = f
		}
		return d
	}
	direct := newHarness(t, deps(nil))
	forwarding := &fakeForwarder{peers: []*fakePeer{newPeer(direct.forwardedAddress(t))}}
	forwarding.lost.Store(true)
	for name, h := range map[string]*harness{"direct": direct, "forwarded": newHarness(t, deps(forwarding))} {
		for _, c := range targetCases {
			t.Run(name+" "+c.target, func(t *testing.T) {
				mu.Lock()
				paths = nil
				mu.Unlock()
				status, body := sendTarget(t, h.address, c.target)
				if c.path == "" {
					require.Equal(t, http.StatusBadRequest, status, body)
					require.Empty(t, paths)
					return
				}
				require.Equal(t, http.StatusOK, status, body)
				require.Equal(t, c.sent, body)
				mu.Lock()
				defer mu.Unlock()
				for _, path := range paths {
					require.Equal(t, c.path, path)
				}
			})
		}
	}
}

// Guards against a target without a Host header whose path is taken for an authority.
func TestPathIsNoAuthorityWithoutHost(t *testing.T) {
	address := serveTCP(t, func(conn net.Conn, r *http.Request) { reply(conn, r.RequestURI) })
	h := newHarness(t, &fakeDeps{
		services: map[string]upstream.Service{"s1": serviceclient.New(address, httpx.Options{})},
		byPath: func(path string) rules.Then {
			require.Equal(t, "//y/app/x", path)
			return rules.Then{Pool: "s", Retry: rules.RetryNever}
		},
	})
	conn, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST //y/app/x HTTP/1.0\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body := readBody(t, response)
	if response.StatusCode == http.StatusOK {
		require.Equal(t, "//y/app/x", body)
	}
}

// sendTarget sends a request whose Host header differs from the authority of targets in absolute form.
func sendTarget(t *testing.T, address, target string) (status int, body string) {
	host := "x"
	if target[0] != '/' {
		host = "given"
	}
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST "+target+" HTTP/1.1\r\nHost: "+host+"\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	return response.StatusCode, readBody(t, response)
}
