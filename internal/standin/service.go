package standin

import (
	"bytes"
	"context"
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/standin/oracle"
)

// HeaderIdempotencyKey identifies a call that may run at most once.
const HeaderIdempotencyKey = "Idempotency-Key"

// terminationGrace is how long an upstream may still get new work after the list shows it
// as terminating.
const terminationGrace = 3 * time.Second

// ServiceConfig configures a plain service.
type ServiceConfig struct {
	Name string
	Addr string
	TLS  *tls.Config
	// Latency is the duration of a call.
	Latency time.Duration
	// RunCounter counts runs by key over all services that share it; nil for a counter of
	// this service only.
	RunCounter *RunCounter
}

// ServiceFaults are the faults of a service. Those with "before" apply before the call has
// run, those with "after" once it has run.
type ServiceFaults struct {
	NetworkFaults
	LatencyMillis int     `json:"latency_ms"`
	CrashBefore   Trigger `json:"crash_before"`
	CrashAfter    Trigger `json:"crash_after"`
	// CloseBefore and CloseAfter close the connection without a response.
	CloseBefore Trigger `json:"close_before"`
	CloseAfter  Trigger `json:"close_after"`
	// Hang runs the call and never responds.
	Hang Trigger `json:"hang"`
	// HangMillis, if positive, makes Hang respond after that time, which is beyond most
	// deadlines.
	HangMillis int `json:"hang_ms"`
	// Refuse answers that the call was not run.
	Refuse Trigger `json:"refuse"`
	// Fail runs the call and answers 500.
	Fail Trigger `json:"fail"`
	// DuplicateResponse sends the response a second time, unsolicited.
	DuplicateResponse Trigger `json:"stray"`
	// Poison is a marker: a request whose body contains it crashes the service. Empty
	// disables it.
	Poison string `json:"poison"`
	// RestartMillis is the downtime of a crash that doesn't set its own.
	RestartMillis int `json:"restart_ms"`
	// Crash crashes the service at once; the field is then cleared.
	Crash *Crash `json:"crash"`
}

// ServiceCounters are the counters of a service.
type ServiceCounters struct {
	Calls         int64 `json:"calls"`
	Ran           int64 `json:"ran"`
	RefusedNotRun int64 `json:"refused_not_run"`
	Unanswered    int64 `json:"unanswered"`
	Crashes       int64 `json:"crashes"`
	// WorkAfterTermination counts calls that arrived more than 3 s after the list showed
	// the service as terminating.
	WorkAfterTermination int64 `json:"work_after_leaving"`
	// Keys, RanTwice and RepeatedKeys come from the RunCounter, which the services of a
	// process share: the number of keys, the number of keys whose call ran more than once,
	// and the first few of those.
	Keys         int64    `json:"keys"`
	RanTwice     int64    `json:"ran_twice"`
	RepeatedKeys []string `json:"doubled"`
}

// ServiceResponse is the body of a service's response.
type ServiceResponse struct {
	Service string `json:"service"`
	// RequestDigest is oracle.RequestDigest of the request.
	RequestDigest string `json:"echo"`
	// Run is how often a call with this key has run, including this time; 0 without a key.
	Run int `json:"run"`
}

// Service stands in for a plain service.
type Service struct {
	*endpoint
	config      ServiceConfig
	faults      *faultState[ServiceFaults]
	runs        *RunCounter
	termination terminationMark

	calls, ran, refused, unanswered, crashes, afterTermination atomic.Int64
}

// defaultRestartMillis is the default of RestartMillis for services and engines.
const defaultRestartMillis = 2000

// NewService returns a service that is already listening.
func NewService(c ServiceConfig) (*Service, error) {
	base, err := newEndpoint(c.Name, "service", c.Addr, c.TLS)
	if err != nil {
		return nil, err
	}
	if c.RunCounter == nil {
		c.RunCounter = NewRunCounter()
	}
	return &Service{
		endpoint: base,
		config:   c,
		runs:     c.RunCounter,
		faults: newFaultState(ServiceFaults{
			LatencyMillis: int(c.Latency.Milliseconds()),
			Poison:        oracle.PoisonMarker,
			RestartMillis: defaultRestartMillis,
		}),
	}, nil
}

// Serve implements Component.
func (s *Service) Serve(ctx context.Context) error { return s.serve(ctx, s.handle) }

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	if serveAdmin(s, ctx) || applyOutage(s.endpoint, s.faults, ctx) {
		return
	}
	s.calls.Add(1)
	if s.termination.graceExpired(time.Now()) {
		s.afterTermination.Add(1)
	}
	if !s.faultBeforeRun(ctx) {
		return
	}
	s.sleep(time.Duration(s.faults.get().LatencyMillis) * time.Millisecond)
	run := s.run(ctx)
	if s.faultAfterRun(ctx) {
		s.respond(ctx, run)
	}
}

// faultBeforeRun applies the faults that prevent a call from running, and reports whether
// the call runs.
func (s *Service) faultBeforeRun(ctx *fasthttp.RequestCtx) bool {
	poison := s.faults.get().Poison
	switch {
	case s.faults.trigger(func(f *ServiceFaults) *Trigger { return &f.Refuse }):
		s.refused.Add(1)
		replyNotRun(ctx, fasthttp.StatusServiceUnavailable, "service takes no work")
	case poison != "" && bytes.Contains(ctx.PostBody(), []byte(poison)),
		s.faults.trigger(func(f *ServiceFaults) *Trigger { return &f.CrashBefore }):
		s.crashInHandler(ctx)
	case s.faults.trigger(func(f *ServiceFaults) *Trigger { return &f.CloseBefore }):
		s.unanswered.Add(1)
		dropConnection(ctx)
	default:
		return true
	}
	return false
}

// run counts a run of the call and returns its number.
func (s *Service) run(ctx *fasthttp.RequestCtx) int {
	s.ran.Add(1)
	key := ctx.Request.Header.Peek(HeaderIdempotencyKey)
	if len(key) == 0 {
		return 0
	}
	return s.runs.record(string(key))
}

// faultAfterRun applies the faults that affect a call after it has run, and reports whether
// to respond.
func (s *Service) faultAfterRun(ctx *fasthttp.RequestCtx) bool {
	switch {
	case s.faults.trigger(func(f *ServiceFaults) *Trigger { return &f.CrashAfter }):
		s.crashInHandler(ctx)
	case s.faults.trigger(func(f *ServiceFaults) *Trigger { return &f.CloseAfter }):
		s.unanswered.Add(1)
		dropConnection(ctx)
	case s.faults.trigger(func(f *ServiceFaults) *Trigger { return &f.Hang }):
		return s.hang(ctx)
	case s.faults.trigger(func(f *ServiceFaults) *Trigger { return &f.Fail }):
		ctx.Error("service failed", fasthttp.StatusInternalServerError)
	default:
		return true
	}
	return false
}

// hang delays the response by HangMillis, or without one blocks until the service ends. It
// reports whether to respond.
func (s *Service) hang(ctx *fasthttp.RequestCtx) bool {
	if delay := s.faults.get().HangMillis; delay > 0 {
		s.sleep(time.Duration(delay) * time.Millisecond)
		return true
	}
	s.unanswered.Add(1)
	<-s.ended
	dropConnection(ctx)
	return false
}

func (s *Service) respond(ctx *fasthttp.RequestCtx, run int) {
	echo := oracle.RequestDigest(string(ctx.Method()), string(ctx.RequestURI()), ctx.PostBody())
	if attempt := ctx.Request.Header.Peek(httpx.HeaderAttempt); len(attempt) > 0 {
		ctx.Response.Header.SetBytesV(httpx.HeaderAttempt, attempt)
	}
	replyJSON(ctx, ServiceResponse{Service: s.name, RequestDigest: echo, Run: run})
	if s.faults.trigger(func(f *ServiceFaults) *Trigger { return &f.DuplicateResponse }) {
		sendDuplicate(ctx)
	}
}

func (s *Service) crashInHandler(ctx *fasthttp.RequestCtx) {
	s.unanswered.Add(1)
	s.crash(time.Duration(s.faults.get().RestartMillis) * time.Millisecond)
	dropConnection(ctx)
}

func (s *Service) crash(down time.Duration) {
	s.crashes.Add(1)
	s.listener.crash(down)
}

// SetTerminating records whether the list shows the service as terminating.
func (s *Service) SetTerminating(terminating bool) { s.termination.set(time.Now(), terminating) }

// Counters returns the counters.
func (s *Service) Counters() ServiceCounters {
	c := ServiceCounters{
		Calls:                s.calls.Load(),
		Ran:                  s.ran.Load(),
		RefusedNotRun:        s.refused.Load(),
		Unanswered:           s.unanswered.Load(),
		Crashes:              s.crashes.Load(),
		WorkAfterTermination: s.afterTermination.Load(),
	}
	c.Keys, c.RanTwice, c.RepeatedKeys = s.runs.totals()
	return c
}

// CountersJSON implements Component.
func (s *Service) CountersJSON() []byte { return encode(s.Counters()) }

// FaultsJSON implements Component.
func (s *Service) FaultsJSON() []byte { return encode(s.faults.get()) }

// SetFaults implements Component.
func (s *Service) SetFaults(doc []byte) error {
	if err := s.faults.merge(doc); err != nil {
		return err
	}
	f := s.faults.get()
	if f.Crash != nil {
		s.faults.set(func(f *ServiceFaults) { f.Crash = nil })
		s.crash(f.Crash.down())
	}
	return nil
}
