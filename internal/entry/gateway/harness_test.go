package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"tamarackchute/admission"
	"tamarackchute/apikey"
	"tamarackchute/infra"
	"tamarackchute/internal/crash"
	"tamarackchute/internal/entry/answer"
	"tamarackchute/internal/entry/callerwatch"
	"tamarackchute/internal/entry/forward"
	"tamarackchute/internal/entry/gateway"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/journal"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// fakeEngine returns the tokens t0, t1, … for any prompt.
type fakeEngine struct {
	total int
	// crashAt breaks a stream off before the token with that index; stallAt blocks the
	// stream there. Values below 0 turn them off.
	crashAt, stallAt int
	// crashedOnce, if set, limits the crashes to one among the engines that share it.
	crashedOnce *atomic.Bool
	refuse      error

	mu        sync.Mutex
	requests  []upstream.GenerateRequest
	cancelled chan string
	crashed   atomic.Bool
}

func newEngine(total int) *fakeEngine {
	return &fakeEngine{total: total, crashAt: -1, stallAt: -1, cancelled: make(chan string, 1024)}
}

func (e *fakeEngine) Generate(_ context.Context, r upstream.GenerateRequest) (upstream.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, r)
	if e.refuse != nil {
		return nil, e.refuse
	}
	return &fakeStream{engine: e, attempt: r.AttemptID, next: r.PriorTokens, closed: make(chan struct{})}, nil
}

func (e *fakeEngine) Resume(_ context.Context, attempt string, from int) (upstream.TokenStream, error) {
	if e.crashed.Load() {
		return nil, upstream.ErrGone
	}
	return &fakeStream{engine: e, attempt: attempt, next: from, closed: make(chan struct{})}, nil
}

func (e *fakeEngine) Prefill(context.Context, upstream.GenerateRequest) (upstream.KVHandle, error) {
	return upstream.KVHandle{ID: "kv"}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, attempt string) error {
	e.cancelled <- attempt
	return nil
}

func (e *fakeEngine) Load(context.Context) (upstream.LoadReport, error) {
	return upstream.LoadReport{}, nil
}

func (e *fakeEngine) CacheEvents(context.Context, uint64) ([]upstream.CacheEvent, error) {
	return nil, nil
}

func (e *fakeEngine) seen() []upstream.GenerateRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]upstream.GenerateRequest(nil), e.requests...)
}

type fakeStream struct {
	engine  *fakeEngine
	attempt string
	next    int
	closed  chan struct{}
	once    sync.Once
}

func (s *fakeStream) Next(ctx context.Context) (upstream.Token, error) {
	e := s.engine
	if s.next == e.crashAt && (e.crashedOnce == nil || e.crashedOnce.CompareAndSwap(false, true)) {
		e.crashed.Store(true)
		return upstream.Token{}, upstream.ErrBroken
	}
	if s.next == e.stallAt {
		<-ctx.Done()
		return upstream.Token{}, fmt.Errorf("%w: %w", upstream.ErrBroken, ctx.Err())
	}
	t := upstream.Token{Index: s.next, Text: text(s.next)}
	if s.next++; s.next == e.total {
		t.Finish = "stop"
	}
	return t, nil
}

func (s *fakeStream) Close() error {
	s.once.Do(func() { s.engine.cancelled <- s.attempt })
	return nil
}

func itoa(i int) string { return strconv.Itoa(i) }

func text(i int) string { return fmt.Sprintf(" t%d", i) }

// fullText returns the text of a complete answer.
func fullText(total int) string {
	var b strings.Builder
	for i := range total {
		b.WriteString(text(i))
	}
	return b.String()
}

// fakeDeps implements the gateway's dependencies on rules, admission and upstreams.
type fakeDeps struct {
	engines  map[string]*fakeEngine
	services map[string]upstream.Service
	then     rules.Then
	admitted func(admission.Request)
	refuse   *admission.Refusal
	// waiting, if set, is called by requests that wait for admission until their context ends.
	waiting    func()
	controller *admission.Controller
	// protected is nil if no call is protected.
	protected gateway.ProtectedRunner
	// byPath, if set, replaces then; directory is nil if the test doesn't use it.
	byPath    func(path string) rules.Then
	directory gateway.Directory
	// set, if set, decides instead; keysStale says that its keys can't be used.
	set       *rules.Set
	version   rules.Version
	forwarder gateway.Forwarder
	keysStale atomic.Bool
	// rulesAge is the age of the rules, in nanoseconds.
	rulesAge atomic.Int64
}

func (d *fakeDeps) Engine(name string) upstream.Engine {
	if e := d.engines[name]; e != nil {
		return e
	}
	return nil
}

func (d *fakeDeps) Service(name string) upstream.Service { return d.services[name] }

func (d *fakeDeps) Holds(key *apikey.Digest, organisation string) bool {
	return d.set == nil || d.set.Holds(key, organisation)
}

func (d *fakeDeps) Version() rules.Version { return d.version }

func (d *fakeDeps) Match(r rules.Request) (rules.Decision, bool) {
	if d.set != nil {
		return d.set.Match(r), true
	}
	if d.byPath != nil {
		return rules.Decision{Rule: "by path", Then: d.byPath(r.Path), Matched: true}, true
	}
	return rules.Decision{Rule: "all", Then: d.then, Matched: true}, true
}

func (d *fakeDeps) Acquire(ctx context.Context, r admission.Request) (*admission.Grant, error) {
	if d.admitted != nil {
		d.admitted(r)
	}
	if d.refuse != nil {
		return nil, d.refuse
	}
	if d.waiting != nil {
		d.waiting()
		<-ctx.Done()
		return nil, &admission.Refusal{Reason: admission.ReasonCancelled}
	}
	return d.controller.Acquire(ctx, r)
}

func (d *fakeDeps) probe(_ context.Context, name string) error {
	if e := d.engines[name]; e != nil && e.crashed.Load() {
		return upstream.ErrNotSent
	}
	return nil
}

func (*fakeDeps) Reserve(string) bool                       { return true }
func (*fakeDeps) Release(string)                            {}
func (*fakeDeps) Allow() bool                               { return true }
func (*fakeDeps) RecordRequest(string, int, int)            {}
func (*fakeDeps) RecordResponse(string, int, int, int, int) {}
func (*fakeDeps) Append(context.Context, journal.Entry) (journal.Position, error) {
	return journal.Position{}, infra.ErrNotWritten
}

// harness is a gateway that listens on a loopback address.
type harness struct {
	*fakeDeps
	gateway *gateway.Gateway
	address string
}

// newHarness starts a gateway with a short heartbeat; only the order of events
// depends on it.
func newHarness(t *testing.T, deps *fakeDeps, change ...func(*gateway.Options)) *harness {
	var ups []router.Upstream
	for name := range deps.engines {
		ups = append(ups, router.Upstream{Name: name, Kind: infra.KindEngine, Pool: "p", DataCentre: "dc", Models: []string{"m"}, Role: upstream.RoleMixed})
	}
	for name := range deps.services {
		ups = append(ups, router.Upstream{Name: name, Kind: infra.KindService, Pool: "s", DataCentre: "dc"})
	}
	if deps.then.Pool == "" {
		deps.then.Pool = "p"
	}
	tracker := router.NewTracker(router.DefaultConfig("dc"), ups, nil)
	deps.controller = admission.New(admission.DefaultConfig(), nil)
	guard := quarantine.NewGuard(quarantine.DefaultConfig(), deps, "w", nil)
	watch := callerwatch.New()
	ids := new(atomic.Int64)
	newID := func() string { return fmt.Sprint("id", ids.Add(1)) }
	options := gateway.Options{
		DataCentre: "dc", MaxBodyBytes: 1 << 16, DefaultDeadline: time.Minute, Heartbeat: 20 * time.Millisecond,
		WriteTimeout: time.Minute, ReadTimeout: time.Minute, ServicePools: map[string]bool{"s": true},
	}
	for _, c := range change {
		c(&options)
	}
	g := gateway.New(options, gateway.Dependencies{
		Rules: deps, Admission: deps, Estimator: tracker, Demand: deps, CallerWatch: watch,
		Answers: &answer.Runner{
			Tracker: tracker, Engines: deps, InFlight: deps, CrashDetector: crash.New(guard, crash.ProbeByID(deps.probe)), RetryBudget: deps,
			MemoryBudget: stream.NewMemoryBudget(1 << 20), MaxBufferedBytes: 1 << 10, MaxAttempts: 3, NewID: newID,
		},
		Services:   &forward.Runner{Tracker: tracker, Services: deps, RetryBudget: deps, MaxAttempts: 3, NewID: newID},
		Protected:  deps.protected,
		Directory:  deps.directory,
		Forwarder:  deps.forwarder,
		Signer:     stream.NewSigner([]byte("secret")),
		Load:       func() float64 { return 0 },
		KeysUsable: func() bool { return !deps.keysStale.Load() },
		RulesAge:   func() time.Duration { return time.Duration(deps.rulesAge.Load()) },
		NewID:      newID, Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = watch.Serve(ctx) }()
	go func() { _ = g.App().Listener(ln) }()
	t.Cleanup(func() {
		_ = g.App().ShutdownWithTimeout(time.Minute)
		cancel()
		<-done
		g.Wait()
	})
	return &harness{fakeDeps: deps, gateway: g, address: ln.Addr().String()}
}

// post sends a request; header holds alternating names and values.
func (r *harness) post(t *testing.T, path, body string, header ...string) *http.Response {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.address+path, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func readBody(t *testing.T, r *http.Response) string {
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return string(body)
}

// sseEvent is one event of a stream; a heartbeat sets no field.
type sseEvent struct{ id, name, data string }

type sseReader struct{ lines *bufio.Scanner }

func events(r *http.Response) *sseReader { return &sseReader{bufio.NewScanner(r.Body)} }

// next returns the next event, or false at the end of the stream.
func (r *sseReader) next() (sseEvent, bool) {
	var e sseEvent
	for r.lines.Scan() {
		line := r.lines.Text()
		switch {
		case line == "":
			return e, true
		case strings.HasPrefix(line, "id: "):
			e.id = line[len("id: "):]
		case strings.HasPrefix(line, "event: "):
			e.name = line[len("event: "):]
		case strings.HasPrefix(line, "data: "):
			e.data = line[len("data: "):]
		}
	}
	return e, false
}

// tokens reads up to n token events, or all if n is below 0, and returns their text,
// the last id and the last event.
func (r *sseReader) tokens(t *testing.T, n int) (all, id string, last sseEvent) {
	for count := 0; count != n; {
		e, more := r.next()
		if !more {
			return all, id, last
		}
		if e.data == "" {
			continue
		}
		last = e
		if e.id == "" {
			continue
		}
		var chunk struct{ Choices []struct{ Text string } }
		require.NoError(t, json.Unmarshal([]byte(e.data), &chunk))
		all += chunk.Choices[0].Text
		id = e.id
		count++
	}
	return all, id, last
}
