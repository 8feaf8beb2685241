package entry

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/settings"
	"tamarackchute/upstream"
)

// Guards against a limit that the own interface's entries don't keep, that outlasts the upstream's
// word, or that counts as a failure of the upstream.
func TestEntryKeepsTheLimitOfAnUpstream(t *testing.T) {
	var received atomic.Int64
	var limit atomic.Pointer[string]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set(httpx.HeaderExchange, r.Header.Get(httpx.HeaderExchange))
		if text := limit.Load(); text != nil {
			w.Header().Set(httpx.HeaderLimit, *text)
		}
	}))
	defer server.Close()
	d := &settings.Deployment{Upstreams: []settings.Upstream{{Name: "s1", Kind: settings.KindService, Address: server.Listener.Addr().String()}}}
	us := NewUpstreams(d, httpx.Options{})
	us.shareLimits("a", []string{"a"})
	call := func() error {
		_, err := us.Service("s1").Call(t.Context(), upstream.ServiceRequest{Method: http.MethodGet, Path: "/"})
		return err
	}
	require.NoError(t, call())
	none := "0"
	limit.Store(&none)
	require.NoError(t, call())
	before := received.Load()
	require.True(t, us.limited("s1"))
	err := call()
	require.ErrorIs(t, err, upstream.ErrLimited)
	require.ErrorIs(t, err, upstream.ErrNotSent, "nothing was sent")
	require.Equal(t, before, received.Load())
	limit.Store(nil)
	require.Eventually(t, func() bool { return call() == nil || !errors.Is(call(), upstream.ErrLimited) }, 20*time.Second, 20*time.Millisecond,
		"a request that asks whether the limit is over")
	require.False(t, us.limited("s1"))
}
