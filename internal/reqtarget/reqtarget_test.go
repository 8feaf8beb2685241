package reqtarget_test

import (
	"bufio"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/reqtarget"
)

var targets = map[string]reqtarget.Target{
	"/":                             {Path: "/"},
	"/app/x?a=b":                    {Path: "/app/x", Query: "?a=b"},
	"/app/x?":                       {Path: "/app/x", Query: "?"},
	"/app/https://h/other/x":        {Path: "/app/https://h/other/x"},
	"/app/x?next=https://h/other/x": {Path: "/app/x", Query: "?next=https://h/other/x"},
	"//h/app/x":                     {Path: "//h/app/x"},
	"/app/%2e%2e/other/x":           {Path: "/app/%2e%2e/other/x"},
	"http://h/app/x?a=b":            {Authority: "h", Path: "/app/x", Query: "?a=b"},
	"HTTPS://u@h:80/app/x":          {Authority: "h:80", Path: "/app/x"},
	"http://h/app/http://g/other/x": {Authority: "h", Path: "/app/http://g/other/x"},
	"http://h":                      {Authority: "h", Path: "/"},
	"http://h?a=/b@c":               {Authority: "h", Path: "/", Query: "?a=/b@c"},
	"http:///app/x":                 {Path: "/app/x"},
	"app/https://h/other/x":         {Path: "app/https://h/other/x"},
	"*":                             {Path: "*"},
	"h:443":                         {Path: "h:443"},
	"":                              {},
}

// Guards against a link in a path that is taken for a target in absolute form.
func TestOnlyTargetsWithoutASlashAreAbsolute(t *testing.T) {
	for raw, want := range targets {
		got := reqtarget.Parse(raw)
		require.Equal(t, want, got, raw)
		require.Equal(t, want.Path+want.Query, got.Origin(), raw)
		again := reqtarget.Parse(got.Origin())
		require.Equal(t, reqtarget.Target{Path: want.Path, Query: want.Query}, again, raw)
	}
}

// Guards against hosts that one reader knows with a port or brackets and another one without.
func TestHost(t *testing.T) {
	for authority, want := range map[string]string{"h": "h", "h:80": "h", "h:": "h", "[::1]:80": "::1", "[::1]": "::1", "": ""} {
		require.Equal(t, want, reqtarget.Host(authority), authority)
	}
}

// Guards against a target that the server, a router or the next daemon reads in another way than the rules.
func FuzzReadersAgree(f *testing.F) {
	for raw := range targets {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		in, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + raw + " HTTP/1.1\r\nHost: given\r\n\r\n")))
		if err != nil || in.RequestURI != raw {
			return // the server refuses it
		}
		target := reqtarget.Parse(raw)
		if in.URL.Opaque == "" {
			checkServer(t, in, target)
		}
		if next := reqtarget.Parse(target.Origin()); strings.HasPrefix(target.Path, "/") {
			require.Equal(t, reqtarget.Target{Path: target.Path, Query: target.Query}, next, "the next daemon")
		}
		checkRouter(t, raw, target)
	})
}

// checkServer compares a target with what net/http has read.
func checkServer(t *testing.T, in *http.Request, target reqtarget.Target) {
	authority, err := url.Parse("//" + target.Authority)
	require.NoError(t, err)
	require.Equal(t, in.URL.Host, authority.Host)
	if in.URL.Scheme != "" && !strings.HasPrefix(in.RequestURI[len(in.URL.Scheme):], "://") {
		return // "scheme:/path" has no authority and matches no rule
	}
	path, err := url.PathUnescape(target.Path)
	require.NoError(t, err)
	if in.URL.Path == "" {
		require.Equal(t, "/", path)
	} else {
		require.Equal(t, in.URL.Path, path)
	}
	require.Equal(t, in.URL.RawQuery, strings.TrimPrefix(target.Query, "?"))
}

// checkRouter compares the path with that of the own interface's router, where that one accepts the target
// and takes nothing for a fragment.
func checkRouter(t *testing.T, raw string, target reqtarget.Target) {
	if strings.Contains(raw, "#") || raw == "" {
		return
	}
	var in fasthttp.Request
	in.Header.SetHost("given")
	in.SetRequestURI(raw)
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	if uri.Parse([]byte("given"), []byte(raw)) == nil && strings.HasPrefix(raw, "/") {
		require.Equal(t, target.Path, string(uri.PathOriginal()))
	}
}
