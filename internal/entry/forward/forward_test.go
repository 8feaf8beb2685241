package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/crash"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/journal"
	"tamarackchute/quarantine"
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

// crashingService stops listening when it gets a lethal request.
type crashingService struct {
	listener io.Closer
	crashes  *atomic.Int32
}

func (s *crashingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) == "lethal" {
		s.crashes.Add(1)
		_ = s.listener.Close()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(httpx.HeaderExchange, r.Header.Get(httpx.HeaderExchange))
}

// applyingLog applies each entry to a guard at once.
type applyingLog struct {
	mu    sync.Mutex
	guard *quarantine.Guard
	next  infra.Offset
}

// Append implements journal.Writer.
func (l *applyingLog) Append(_ context.Context, e journal.Entry) (journal.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	p := journal.LogEntry{Position: journal.Position{Offset: l.next}, At: time.Now(), Entry: e}
	l.guard.Apply(p)
	return p.Position, nil
}

func (h *harness) connect(ctx context.Context, name string) error {
	err := h.services[name].(*serviceclient.Client).Connect(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return upstream.ErrNotSent
	}
	return nil
}

// harness is a runner before services.
type harness struct {
	runner   *Runner
	services map[string]upstream.Service
	servers  []*httptest.Server
}

func (h *harness) Service(name string) upstream.Service { return h.services[name] }

func (h *harness) Allow() bool { return true }

func newHarness(t *testing.T, services ...http.Handler) *harness {
	h := &harness{services: map[string]upstream.Service{}}
	var ups []router.Upstream
	for i, handler := range services {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		h.servers = append(h.servers, server)
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

func (h *harness) call(content string, admit func() error) (upstream.ServiceResponse, *outcome.Failure) {
	body := []byte(content)
	defer clear(body) // the caller's buffer is used again once its call has ended
	return h.runner.Call(context.Background(), Job{
		Request: upstream.ServiceRequest{Method: http.MethodPost, Path: "/x", Body: body},
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

// newCrashingHarness returns a harness before services that lethal requests crash, with a
// quarantine.
func newCrashingHarness(t *testing.T, crashes *atomic.Int32) (*harness, *crash.Detector) {
	services := make([]*crashingService, crashingServices)
	handlers := make([]http.Handler, len(services))
	for i := range services {
		services[i] = &crashingService{crashes: crashes}
		handlers[i] = services[i]
	}
	h := newHarness(t, handlers...)
	for i, server := range h.servers {
		services[i].listener = server.Listener
	}
	log := &applyingLog{}
	log.guard = quarantine.NewGuard(quarantine.NoIsolationConfig(), log, "w", nil)
	detector := crash.New(log.guard, crash.ProbeByID(h.connect))
	h.runner.CrashDetector = detector
	return h, detector
}

const crashingServices = 6

// Guards against copies of a suspected call that go to all services at once.
func TestSuspectedCallsRunOneAtATime(t *testing.T) {
	var crashes atomic.Int32
	h, detector := newCrashingHarness(t, &crashes)
	_, f := h.call("lethal", nil)
	require.NotNil(t, f)
	detector.Wait()
	var callers sync.WaitGroup
	for range 4 * crashingServices {
		callers.Go(func() {
			_, f := h.call("lethal", nil)
			require.NotNil(t, f)
		})
	}
	callers.Go(func() {
		_, f := h.call("harmless", nil)
		require.Nil(t, f)
	})
	callers.Wait()
	require.EqualValues(t, 3, crashes.Load())
}

// Guards against a call that crashes each service that runs it and is sent on to the next one.
func TestLethalCallIsRefused(t *testing.T) {
	var crashes atomic.Int32
	h, detector := newCrashingHarness(t, &crashes)
	for range crashingServices {
		_, f := h.call("lethal", nil)
		require.NotNil(t, f)
		detector.Wait()
	}
	require.EqualValues(t, 3, crashes.Load())
	_, f := h.call("lethal", nil)
	require.Equal(t, http.StatusUnprocessableEntity, f.Status)
	require.Equal(t, outcome.NotRun, f.Execution)
	require.Positive(t, f.RetryAfter)
	_, f = h.call("harmless", nil)
	require.Nil(t, f)
}

// Guards against calls that are refused because they crash the services of another pool, or that go on there
// because this pool answers them, or a pool's answers to another host do.
func TestLethalCallOfAnotherPoolIsServed(t *testing.T) {
	var crashes atomic.Int32
	h, detector := newCrashingHarness(t, &crashes)
	server := httptest.NewServer(&countingService{})
	t.Cleanup(server.Close)
	h.services["sound"] = serviceclient.New(server.Listener.Addr().String(), httpx.Options{})
	ups := []router.Upstream{{Name: "sound", Kind: infra.KindService, Pool: "q", DataCentre: "d"}}
	for i := range crashingServices {
		ups = append(ups, router.Upstream{Name: fmt.Sprint("s", i), Kind: infra.KindService, Pool: "p", DataCentre: "d"})
	}
	h.runner.Tracker = router.NewTracker(router.DefaultConfig("d"), ups, nil)
	call := func(host, pool string) *outcome.Failure {
		_, f := h.runner.Call(context.Background(), Job{
			Request: upstream.ServiceRequest{Method: http.MethodPost, Path: "/x", Body: []byte("lethal")},
			Host:    host, Route: router.Request{Pool: pool}, Retry: rules.RetryRepeatable,
		})
		detector.Wait()
		return f
	}
	for range crashingServices {
		require.NotNil(t, call("north.example", "p"))
		require.Nil(t, call("north.example", "q"))
		require.Nil(t, call("south.example", "q"))
	}
	require.EqualValues(t, 3, crashes.Load())
	require.Equal(t, http.StatusUnprocessableEntity, call("north.example", "p").Status)
}

// Guards against a public call that crashes services again once its key is removed, or comes without one.
func TestLethalPublicCallIsRefusedWhateverItsKey(t *testing.T) {
	var crashes atomic.Int32
	h, detector := newCrashingHarness(t, &crashes)
	call := func(organisation string) *outcome.Failure {
		_, f := h.runner.Call(context.Background(), Job{
			Request: upstream.ServiceRequest{Method: http.MethodPost, Path: "/x", Body: []byte("lethal")},
			Route:   router.Request{Pool: "p", Organisation: organisation}, Public: true, Retry: rules.RetryRepeatable,
		})
		detector.Wait()
		return f
	}
	for range crashingServices {
		require.NotNil(t, call("orchard"))
	}
	require.EqualValues(t, 3, crashes.Load())
	require.Equal(t, http.StatusUnprocessableEntity, call("anonymous").Status)
	require.EqualValues(t, 3, crashes.Load())
}
