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

// HeaderIdempotencyKey names the call that may run at most once.
const HeaderIdempotencyKey = "Idempotency-Key"

// leavingGrace is how long after the list shows an upstream as leaving it may
// still be given new work.
const terminationGrace = 3 * time.Second

// ServiceConfig sets up a plain service.
type ServiceConfig struct {
	Name string
	Addr string
	TLS  *tls.Config
	// Latency is how long a call runs.
	Latency time.Duration
	// Ledger counts runs by key over all services that share it; nil makes one
	// for this service alone.
	RunCounter *RunCounter
}

// ServiceFaults are a service's faults. Those with "before" strike before the
// call has run, those with "after" once it has.
type ServiceFaults struct {
	NetworkFaults
	LatencyMillis int     `json:"latency_ms"`
	CrashBefore   Trigger `json:"crash_before"`
	CrashAfter    Trigger `json:"crash_after"`
	// CloseBefore and CloseAfter close the connection without answering.
	CloseBefore Trigger `json:"close_before"`
	CloseAfter  Trigger `json:"close_after"`
	// Hang runs the call and never answers.
	Hang Trigger `json:"hang"`
	// HangMillis answers after that long instead, which is late for most.
	HangMillis int `json:"hang_ms"`
	// Refuse answers that the call was not run.
	Refuse Trigger `json:"refuse"`
	// Fail runs the call and answers 500.
	Fail Trigger `json:"fail"`
	// Stray sends a second response, which nobody asked for, after one.
	DuplicateResponse Trigger `json:"stray"`
	// Poison is the marker in a body that crashes the service; empty for none.
	Poison string `json:"poison"`
	// RestartMillis is how long a crash lasts that names no time of its own.
	RestartMillis int `json:"restart_ms"`
	// Crash crashes it now, once.
	Crash *Crash `json:"crash"`
}

// ServiceCounters are a service's counters.
type ServiceCounters struct {
	Calls         int64 `json:"calls"`
	Ran           int64 `json:"ran"`
	RefusedNotRun int64 `json:"refused_not_run"`
	Unanswered    int64 `json:"unanswered"`
	Crashes       int64 `json:"crashes"`
	// WorkAfterLeaving counts calls that came more than 3 s after the list
	// showed the service as leaving.
	WorkAfterTermination int64 `json:"work_after_leaving"`
	// Keys, RanTwice and Doubled are those of the ledger, which services of
	// one process share: keys seen, keys whose call ran more than once, and
	// the first few of these.
	Keys         int64    `json:"keys"`
	RanTwice     int64    `json:"ran_twice"`
	RepeatedKeys []string `json:"doubled"`
}

// ServiceAnswer is the body of a service's answer.
type ServiceResponse struct {
	Service string `json:"service"`
	// Echo is oracle.Echo of the request.
	RequestDigest string `json:"echo"`
	// Run is how often a call with this key had run, this time included; 0
	// without a key.
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

// Defaults of the service's faults.
const defaultRestartMillis = 2000

// NewService returns a service that listens already.
func NewService(c ServiceConfig) (*Service, error) {
	n, err := newEndpoint(c.Name, "service", c.Addr, c.TLS)
	if err != nil {
		return nil, err
	}
	if c.RunCounter == nil {
		c.RunCounter = NewRunCounter()
	}
	return &Service{
		endpoint: n,
		config:   c,
		runs:     c.RunCounter,
		faults: newFaultState(ServiceFaults{
			LatencyMillis: int(c.Latency.Milliseconds()),
			Poison:        oracle.PoisonMarker,
			RestartMillis: defaultRestartMillis,
		}),
	}, nil
}

// Serve implements Part.
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

// strikeBefore acts out the faults that keep a call from running, and reports
// whether it is to run.
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

// run runs the call and returns the number of its run.
func (s *Service) run(ctx *fasthttp.RequestCtx) int {
	s.ran.Add(1)
	key := ctx.Request.Header.Peek(HeaderIdempotencyKey)
	if len(key) == 0 {
		return 0
	}
	return s.runs.record(string(key))
}

// strikeAfter acts out the faults that keep a call's answer from its caller,
// and reports whether to answer.
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

// hang keeps the answer back, for good or for the time that is set.
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

// SetLeaving tells the service whether the list shows it as leaving.
func (s *Service) SetTerminating(leaving bool) { s.termination.set(time.Now(), leaving) }

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

// CountersJSON implements Part.
func (s *Service) CountersJSON() []byte { return encode(s.Counters()) }

// FaultsJSON implements Part.
func (s *Service) FaultsJSON() []byte { return encode(s.faults.get()) }

// SetFaults implements Part.
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
