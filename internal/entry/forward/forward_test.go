package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// countingService counts the requests that it gets.
type countingService struct{ requests atomic.Int32 }

func (s *countingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	w.Header().Set(httpx.HeaderExchange, r.Header.Get(httpx.HeaderExchange))
}

// harness is a runner before services.
type harness struct {
	runner   *Runner
	services map[string]upstream.Service
}

func (h *harness) Service(name string) upstream.Service { return h.services[name] }

func (h *harness) Allow() bool { return true }

func newHarness(t *testing.T, services ...http.Handler) *harness {
	h := &harness{services: map[string]upstream.Service{}}
	var ups []router.Upstream
	for i, handler := range services {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		name := fmt.Sprint("s", i)
		h.services[name] = serviceclient.New(server.Listener.Addr().String(), httpx.Options{})
		ups = append(ups, router.Upstream{Name: name, Kind: infra.KindService, Pool: "p", DataCentre: "d"})
	}
	h.runner = &Runner{
		Tracker:     router.NewTracker(router.DefaultConfig("d"), ups, nil),
		Services:    h,
		RetryBudget: h,
		MaxAttempts: 1,
		NewID:       func() string { return "id" },
	}
	return h
}

func (h *harness) call(body string, admit func() error) (upstream.ServiceResponse, *outcome.Failure) {
	return h.runner.Call(context.Background(), Job{
		Request: upstream.ServiceRequest{Method: http.MethodPost, Path: "/x", Body: []byte(body)},
		Route:   router.Request{Pool: "p"},
		Retry:   rules.RetryRepeatable,
		Admit:   admit,
	})
}

// Guards against a call whose key is removed while it waits for a connection, and that is sent.
func TestCallIsCheckedRightBeforeItIsSent(t *testing.T) {
	service := &countingService{}
	h := newHarness(t, service)
	checks := 0
	_, f := h.call("body", func() error {
		if checks++; checks > 1 {
			return errors.New("the key was removed")
		}
		return nil
	})
	require.Equal(t, http.StatusUnauthorized, f.Status)
	require.Equal(t, outcome.NotRun, f.Execution)
	require.Zero(t, service.requests.Load())
}
