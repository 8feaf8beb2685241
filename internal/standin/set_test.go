package standin_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/settings"
	"tamarackchute/internal/standin"
	"tamarackchute/internal/standin/standintest"
	"tamarackchute/upstream"
)

const anyAddress = "127.0.0.1:0"

func testDeployment() *settings.Deployment {
	return &settings.Deployment{
		Platform: settings.Platform{
			Log: anyAddress, Instances: anyAddress, Weights: anyAddress,
			RetentionSeconds: 60, WeightBytesPerSecond: 1e12,
		},
		Instances: []settings.Instance{{Name: "entry-1", DataCentre: "a"}},
		Upstreams: []settings.Upstream{
			{Name: "engine-1", Kind: settings.KindEngine, DataCentre: "a", Address: anyAddress, Models: []string{"m"}},
			{Name: "service-1", Kind: settings.KindService, DataCentre: "a", Address: anyAddress},
			{Name: "service-2", Kind: settings.KindService, DataCentre: "a", Address: anyAddress},
		},
	}
}

// startSet runs a set until the returned function is called or the test ends.
func startSet(t *testing.T, c standin.Config) (*standin.Set, func() error) {
	c.ControlAddr, c.Speed, c.LogAppendsPerSecond = anyAddress, standin.DefaultSpeed(), 300
	s, err := standin.NewSet(c)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	var result error
	running.Go(func() { result = s.Serve(ctx) })
	stop := func() error {
		cancel()
		running.Wait()
		return result
	}
	t.Cleanup(func() { _ = stop() })
	return s, stop
}

// A crashed component can't report its own counters. The control API must serve them and be
// able to restart the component.
func TestControlServer(t *testing.T) {
	s, stop := startSet(t, standin.Config{Deployment: testDeployment()})
	control := httpx.New(s.ControlAddr(), httpx.Options{})
	components, err := httpx.GetJSON[[]standin.ComponentCounters](t.Context(), control, standin.PathCounters)
	require.NoError(t, err)
	require.Len(t, components, 6)
	address := map[string]string{}
	for _, c := range components {
		address[c.Name] = c.Address
	}
	call := func(service string) error {
		_, err := serviceclient.New(address[service], httpx.Options{}).Call(t.Context(), upstream.ServiceRequest{
			Method: "POST", Path: "/x", Headers: []upstream.Header{{Name: standin.HeaderIdempotencyKey, Value: "k"}},
		})
		return err
	}
	require.NoError(t, call("service-1"))
	require.NoError(t, call("service-2"))
	crash := func(ms int) {
		faults := standin.ServiceFaults{Poison: "p", Crash: &standin.Crash{DownMillis: ms}}
		_, err := httpx.CallJSON[standin.ServiceFaults, standin.ServiceFaults](t.Context(), control,
			fasthttp.MethodPost, standin.PathComponents+"service-1"+standin.PathFaults, faults)
		require.NoError(t, err)
	}
	crash(-1)
	require.ErrorIs(t, call("service-1"), upstream.ErrNotSent)
	crash(0)
	require.Eventually(t, func() bool { return call("service-1") == nil }, 10*time.Second, time.Millisecond)

	totals, err := httpx.GetJSON[standin.Totals](t.Context(), control, standin.PathTotals)
	require.NoError(t, err)
	assert.EqualValues(t, 1, totals.RanTwice)
	assert.EqualValues(t, 2, totals.Crashes)
	require.ErrorIs(t, stop(), context.Canceled)
}

func TestOnlySelectedComponents(t *testing.T) {
	s, _ := startSet(t, standin.Config{Deployment: testDeployment(), Only: []string{"engine-1"}})
	require.Len(t, s.Components(), 1)
	assert.Equal(t, "engine-1", s.Components()[0].Name())
	_, err := standin.NewSet(standin.Config{Deployment: testDeployment(), Only: []string{"engine-9"}})
	require.ErrorContains(t, err, "engine-9")
}

// An upstream that the list shows as terminating must count the requests that arrive too
// late, with no other notification than the list's.
func TestListNotifiesTerminatingUpstreams(t *testing.T) {
	s, _ := startSet(t, standin.Config{Deployment: testDeployment()})
	for _, c := range s.Components() {
		if c.Kind() == "list" {
			standintest.SetFaults(t, c, `{"leaving":["engine-1"]}`)
		}
	}
	engine := s.Components()[3].(*standin.Engine)
	require.Eventually(t, func() bool { return engine.TerminatingSince() != time.Time{} }, 10*time.Second, time.Millisecond)
}

func TestModelOrderLoadsWeights(t *testing.T) {
	for name, tc := range map[string]struct {
		faults, version string
		failed          int64
	}{
		"loads": {`{}`, "v2", 0},
		"fails": {`{"fail_loads":{"next":1}}`, "v1", 1},
	} {
		t.Run(name, func(t *testing.T) {
			w, err := standin.NewWeightStore(standin.WeightStoreConfig{Addr: anyAddress, BytesPerSecond: 1e9,
				Versions: []infra.WeightVersion{{Model: "m", Version: "v2", Bytes: 100}}})
			require.NoError(t, err)
			standintest.Serve(t, w)
			standintest.SetFaults(t, w, tc.faults)
			e := standintest.Engine(t, standin.EngineConfig{WeightStoreAddr: w.Addr()})
			c := engineclient.New(e.Addr(), httpx.Options{})
			order := upstream.Order{ID: "1", Kind: upstream.OrderModel, Model: "m", Version: "v2", FencingToken: 1}
			require.NoError(t, c.Order(t.Context(), order))
			require.Eventually(t, func() bool { return !e.State().Busy }, 10*time.Second, time.Millisecond)
			assert.Equal(t, tc.version, e.State().Version)
			assert.Equal(t, tc.failed, e.Counters().FailedOrders)
			assert.Equal(t, 1-tc.failed, w.Counters().Loads)
		})
	}
}

func TestTLS(t *testing.T) {
	tlsServer := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(tlsServer.Close)
	s := standintest.Service(t, standin.ServiceConfig{TLS: tlsServer.TLS.Clone()})
	dials := 0
	c := serviceclient.New(s.Addr(), httpx.Options{
		TLS: tlsServer.Client().Transport.(*http.Transport).TLSClientConfig,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			dials++
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		},
	})
	for range 3 {
		got, err := c.Call(t.Context(), upstream.ServiceRequest{Method: "GET", Path: "/"})
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, got.Status)
	}
	assert.Equal(t, 1, dials, "the connection is reused")
}
