package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/admission"
	"tamarackchute/internal/entry/gateway"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/rules"
	"tamarackchute/stopplan"
	"tamarackchute/upstream"
)

// stopGrace is longer than any test takes.
const stopGrace = 20 * time.Second

// stop begins a shutdown of which all callers know, with other instances that serve.
func (r *harness) stop(grace time.Duration) {
	now := time.Now()
	r.gateway.BeginShutdown(stopplan.Plan{Noticed: now, Exit: now.Add(grace)}, func() bool { return true })
}

func inMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func requireRefused(t *testing.T, response *http.Response) {
	t.Helper()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, string(outcome.NotRun), response.Header.Get(outcome.Header))
	require.Empty(t, response.Header.Get("Retry-After"), "other instances can serve immediately")
	require.Contains(t, readBody(t, response), outcome.CodeShuttingDown)
}

// Guards against a stopping instance that takes a request and cuts it off at the end of its grace period.
func TestStoppingInstanceTakesOnlyRequestsItCanFinish(t *testing.T) {
	for name, body := range map[string]string{"plain": plainBody, "streamed": streamBody} {
		t.Run(name, func(t *testing.T) {
			engine := newEngine(20)
			r := newHarness(t, &fakeDeps{engines: map[string]*fakeEngine{"e": engine}})
			r.stop(stopGrace)
			requireRefused(t, r.post(t, path, body)) // its default deadline comes after the exit
			requireRefused(t, r.post(t, path, body, "X-Request-Timeout-Ms", inMillis(2*stopGrace)))
			require.Empty(t, engine.seen())
			require.Equal(t, http.StatusOK, r.post(t, path, body, "X-Request-Timeout-Ms", inMillis(stopGrace/2)).StatusCode)
		})
	}
	service := &echoService{}
	r := newHarness(t, &fakeDeps{services: map[string]upstream.Service{"s1": service}, then: rules.Then{Pool: "s"}})
	r.stop(stopGrace)
	requireRefused(t, r.post(t, "/bookings", "x"))
	require.Zero(t, service.calls.Load())
	require.Equal(t, http.StatusOK, r.post(t, "/bookings", "x", "X-Request-Timeout-Ms", inMillis(stopGrace/2)).StatusCode)
}

// Guards against requests that are admitted while the stop begins, and are cut off at its end.
func TestRequestThatWaitedIsNotSentBeforeItsInstanceEnds(t *testing.T) {
	service, engine := &echoService{}, newEngine(20)
	var r *harness
	begin := func(admission.Request) { r.stop(stopGrace) }
	r = newHarness(t, &fakeDeps{services: map[string]upstream.Service{"s1": service}, then: rules.Then{Pool: "s"}, admitted: begin})
	requireRefused(t, r.post(t, "/bookings", "x"))
	require.Zero(t, service.calls.Load())
	r = newHarness(t, &fakeDeps{engines: map[string]*fakeEngine{"e": engine}, admitted: begin})
	requireRefused(t, r.post(t, path, streamBody))
	require.Empty(t, engine.seen())
}

// Guards against requests that wait for admission until their deadline, though the instance can't serve
// them any more.
func TestRequestThatWaitsForAdmissionIsRefusedOnceCallersKnow(t *testing.T) {
	var r *harness
	r = newHarness(t, &fakeDeps{
		services: map[string]upstream.Service{"s1": &echoService{}}, then: rules.Then{Pool: "s"},
		waiting: func() { r.stop(stopGrace) },
	})
	began := time.Now()
	requireRefused(t, r.post(t, "/bookings", "x"))
	require.Less(t, time.Since(began), stopGrace/2)
}

// waitingService answers when the test ends, or the call does.
type waitingService struct {
	began, end chan struct{}
	calls      atomic.Int32
}

func (s *waitingService) Call(ctx context.Context, r upstream.ServiceRequest) (upstream.ServiceResponse, error) {
	s.calls.Add(1)
	s.began <- struct{}{}
	select {
	case <-s.end:
		return upstream.ServiceResponse{Status: http.StatusOK, Body: r.Body}, nil
	case <-ctx.Done():
		return upstream.ServiceResponse{}, upstream.ErrBroken
	}
}

// refusingService refuses calls, and begins the stop at the first one.
type refusingService struct {
	calls *atomic.Int32
	begin func()
}

func (s *refusingService) Call(context.Context, upstream.ServiceRequest) (upstream.ServiceResponse, error) {
	if s.calls.Add(1) == 1 {
		s.begin()
	}
	return upstream.ServiceResponse{}, upstream.ErrRefused
}

// Guards against another attempt, after one that wasn't run, that the end of the instance cuts off.
func TestRefusedCallIsNotSentAgainBeforeItsInstanceEnds(t *testing.T) {
	var r *harness
	calls := &atomic.Int32{}
	s := &refusingService{calls: calls, begin: func() { r.stop(stopGrace) }}
	r = newHarness(t, &fakeDeps{services: map[string]upstream.Service{"s1": s, "s2": s, "s3": s}, then: rules.Then{Pool: "s", Retry: rules.RetryUnsent}})
	requireRefused(t, r.post(t, "/bookings", "x"))
	require.EqualValues(t, 1, calls.Load())
}

// Guards against requests in progress when the stop begins that get no answer at its end.
func TestCallInProgressIsAnsweredBeforeItsInstanceEnds(t *testing.T) {
	service := &waitingService{began: make(chan struct{}, 4), end: make(chan struct{})}
	r := newHarness(t, &fakeDeps{services: map[string]upstream.Service{"s1": service}, then: rules.Then{Pool: "s"}})
	got := make(chan *http.Response, 1)
	go func() { got <- r.post(t, "/bookings", "x") }()
	<-service.began
	r.stop(gateway.StopReserve + 300*time.Millisecond)
	select {
	case response := <-got:
		require.Equal(t, string(outcome.MayHaveRun), response.Header.Get(outcome.Header))
		require.Contains(t, readBody(t, response), outcome.CodeShuttingDown)
	case <-time.After(stopGrace):
		require.Fail(t, "the instance would end without an answer")
	}
	close(service.end)
}

// Guards against a forwarded request that a stopping instance cuts off, or whose refusal ends it though
// another instance serves.
func TestStoppingInstanceHandsForwardedRequestsBack(t *testing.T) {
	engines := []*fakeEngine{newEngine(20), newEngine(20), newEngine(20)}
	stopping, serving := newHarness(t, modelDeps(engines[0], &fakeForwarder{})), newHarness(t, modelDeps(engines[1], &fakeForwarder{}))
	f := &fakeForwarder{peers: []*fakePeer{newPeer(stopping.forwardedAddress(t)), newPeer(serving.forwardedAddress(t))}}
	f.lost.Store(true)
	first := newHarness(t, modelDeps(engines[2], f))
	stopping.stop(stopGrace)
	all, _, last := events(first.post(t, path, forwardBody)).tokens(t, -1)
	require.Equal(t, fullText(20), all)
	require.Equal(t, "[DONE]", last.data)
	require.Empty(t, engines[0].seen())
	require.Len(t, engines[1].seen(), 1)
	require.EqualValues(t, 1, f.peers[0].avoids.Load())
}
