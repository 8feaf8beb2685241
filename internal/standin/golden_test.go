package standin_test

import (
	"errors"
	"flag"
	"io"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/listclient"
	"tamarackchute/internal/adapters/logclient"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/adapters/weightclient"
	"tamarackchute/internal/standin"
	"tamarackchute/internal/standin/standintest"
	"tamarackchute/upstream"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestLogSession(t *testing.T) {
	l := standintest.Log(t, standin.LogConfig{AppendsPerSecond: 0.001, Retention: time.Hour})
	var r recorder
	c := logclient.New(l.Addr(), r.options())
	_, err := c.Append(t.Context(), []byte("first"))
	require.NoError(t, err)
	_, err = c.Append(t.Context(), []byte("over the limit"))
	require.ErrorIs(t, err, infra.ErrRateLimited)
	_, err = c.Read(t.Context(), 1, 10, 0)
	require.NoError(t, err)
	standintest.SetFaults(t, l, `{"fail_reads":{"next":1}}`)
	_, err = c.Read(t.Context(), 1, 10, 0)
	require.ErrorIs(t, err, infra.ErrUnavailable)
	standintest.SetFaults(t, l, `{"expire_all":true}`)
	_, err = c.Read(t.Context(), 1, 10, 0)
	require.Error(t, err)
	standintest.SetFaults(t, l, `{"outage":"error"}`)
	_, err = c.Append(t.Context(), []byte("in the outage"))
	require.ErrorIs(t, err, infra.ErrUnavailable)
	standintest.SetFaults(t, l, `{"outage":"close"}`)
	_, err = c.Append(t.Context(), []byte("closed on"))
	require.ErrorIs(t, err, infra.ErrUnavailable)
	r.golden(t, "log")
}

func TestListAndWeightsSession(t *testing.T) {
	instance := infra.Instance{Name: "s1", Kind: infra.KindService, DataCentre: "a"}
	l, err := standin.NewList(standin.ListConfig{Addr: "127.0.0.1:0", Instances: []infra.Instance{instance}})
	require.NoError(t, err)
	standintest.Serve(t, l)
	w, err := standin.NewWeightStore(standin.WeightStoreConfig{Addr: "127.0.0.1:0", BytesPerSecond: 1e9,
		Versions: []infra.WeightVersion{{Model: "m", Version: "v1", Bytes: 10}}})
	require.NoError(t, err)
	standintest.Serve(t, w)
	var r recorder
	list, weights := listclient.New(l.Addr(), r.options()), weightclient.New(w.Addr(), r.options())
	for _, faults := range []string{`{}`, `{"leaving":["s1"]}`, `{"outage":"error"}`} {
		standintest.SetFaults(t, l, faults)
		_, _ = list.Instances(t.Context())
	}
	for _, model := range []string{"m", "another"} {
		_, err := weights.Versions(t.Context(), model)
		require.NoError(t, err)
	}
	r.golden(t, "list-and-weights")
}

func TestEngineSession(t *testing.T) {
	speed := standin.DefaultSpeed()
	speed.Scale, speed.EventLag, speed.EventLoss, speed.LoadLag = 20, 0, 0, 0
	e := standintest.Engine(t, standin.EngineConfig{Name: "engine-1", ChecksFencing: true, Speed: speed})
	var r recorder
	c := engineclient.New(e.Addr(), r.options())
	ask := func(id, model string) error {
		s, err := c.Generate(t.Context(), upstream.GenerateRequest{
			AttemptID: id, Model: model, MaxTokens: 3,
			Prompt: "how many litres does the cistern at the guest house hold when it is full to the brim",
		})
		for err == nil {
			_, err = s.Next(t.Context())
		}
		if errors.Is(err, io.EOF) {
			return s.Close()
		}
		return err
	}
	require.NoError(t, ask("attempt-1", standintest.Model))
	require.NoError(t, ask("attempt-2", standintest.Model))
	require.ErrorIs(t, ask("attempt-3", "unknown"), upstream.ErrRefused)
	_, err := c.Resume(t.Context(), "attempt-9", 4)
	require.ErrorIs(t, err, upstream.ErrGone)
	require.NoError(t, c.Cancel(t.Context(), "attempt-1"))
	_, err = c.Prefill(t.Context(), upstream.GenerateRequest{AttemptID: "p", Model: standintest.Model, Prompt: "a b c"})
	require.NoError(t, err)
	_, err = c.CacheEvents(t.Context(), 0)
	require.NoError(t, err)
	require.NoError(t, c.Order(t.Context(), upstream.Order{Kind: upstream.OrderRaiseToken, FencingToken: 8}))
	order := upstream.Order{ID: "order-1", Kind: upstream.OrderRole, Role: upstream.RoleMixed, FencingToken: 7}
	require.ErrorIs(t, c.Order(t.Context(), order), upstream.ErrFenced)
	order.FencingToken = 9
	require.NoError(t, c.Order(t.Context(), order))
	_, err = c.State(t.Context())
	require.NoError(t, err)
	_, err = c.Load(t.Context())
	require.NoError(t, err)
	standintest.SetFaults(t, e, `{"close_generate":{"next":1}}`)
	require.ErrorIs(t, ask("attempt-4", standintest.Model), upstream.ErrBroken)
	r.golden(t, "engine")
}

func TestServiceSession(t *testing.T) {
	s := standintest.Service(t, standin.ServiceConfig{Name: "booking-1"})
	var r recorder
	c := serviceclient.New(s.Addr(), r.options())
	for _, step := range []struct {
		faults string
		want   error
	}{
		{`{}`, nil},
		{`{"refuse":{"next":1}}`, upstream.ErrRefused},
		{`{"fail":{"next":1}}`, nil},
		{`{"close_after":{"next":1}}`, upstream.ErrBroken},
		{`{}`, nil},
	} {
		standintest.SetFaults(t, s, step.faults)
		_, err := c.Call(t.Context(), upstream.ServiceRequest{
			AttemptID: "attempt-1", Method: "PUT", Path: "/bookings/7?truck=2", Body: []byte("two tonnes"),
			Headers: []upstream.Header{{Name: "Idempotency-Key", Value: "key-1"}},
		})
		require.ErrorIs(t, err, step.want)
	}
	r.golden(t, "service")
}
