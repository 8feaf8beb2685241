package httpx_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/upstream"
)

// silentListener accepts connections at once, and serves them later.
type silentListener struct {
	net.Listener
	silence time.Duration
}

func (l silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &silentConn{Conn: c, speaks: time.Now().Add(l.silence)}, err
}

type silentConn struct {
	net.Conn
	speaks time.Time
}

func (c *silentConn) Read(p []byte) (int, error) {
	time.Sleep(time.Until(c.speaks))
	return c.Conn.Read(p)
}

func callSilent(t *testing.T, silence time.Duration) (took time.Duration, err error) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(httpx.HeaderExchange, r.Header.Get(httpx.HeaderExchange))
	}))
	s.Listener = silentListener{s.Listener, silence}
	s.StartTLS()
	t.Cleanup(s.Close)
	roots := x509.NewCertPool()
	roots.AddCert(s.Certificate())
	c := httpx.New(s.Listener.Addr().String(), httpx.Options{TLS: &tls.Config{RootCAs: roots}})
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("/")
	began := time.Now()
	err = c.Do(context.Background(), request, response)
	return time.Since(began), err
}

// Guards against an upstream that counts as gone, and whose streams nobody resumes, since it is silent for a second
// before a TLS handshake: without TLS its silence would come after the connection is made.
func TestHandshakeOutlastsASilence(t *testing.T) {
	t.Parallel()
	took, err := callSilent(t, 1200*time.Millisecond)
	require.NoError(t, err)
	require.Greater(t, took, httpx.DefaultDialTimeout)
}

// Guards against requests that wait for a handshake until their deadlines.
func TestHandshakeThatNeverEndsIsNotSent(t *testing.T) {
	t.Parallel()
	took, err := callSilent(t, 2*httpx.DefaultHandshakeTimeout)
	require.ErrorIs(t, err, upstream.ErrNotSent)
	require.Less(t, took, 2*httpx.DefaultHandshakeTimeout)
}
