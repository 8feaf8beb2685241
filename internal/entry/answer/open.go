package answer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"tamarackchute/internal/crash"
	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// open starts attempts until an engine accepts the request. It returns the final
// failure if none does.
func (a *Answer) open(ctx context.Context) *outcome.Failure {
	for {
		if ctx.Err() != nil {
			return a.ContextFailure(ctx)
		}
		if err := a.admitted(); err != nil {
			return a.fail(http.StatusUnauthorized, outcome.CodeUnauthorised, err, "the API key is no longer valid")
		}
		if f := a.stopFailure(); f != nil {
			return f
		}
		suspected, err := a.runner.CrashDetector.Check(a.job.Digest)
		if err != nil {
			return a.quarantineFailure(err)
		}
		plan, route, f := a.pick(suspected)
		if f != nil {
			if a.waitForEngine(ctx) {
				continue
			}
			return f
		}
		if !a.reserve(plan) {
			continue
		}
		err = a.dispatch(ctx, plan, route, suspected)
		if err == nil {
			return nil
		}
		if errors.Is(err, errEngineTerminating) || errors.Is(err, upstream.ErrNotAdmitted) {
			a.replan()
			continue
		}
		if f := a.handleNotAccepted(ctx, err); f != nil {
			return f
		}
	}
}

// errEngineTerminating says that the platform began to remove the planned engine before
// the request was sent to it.
var errEngineTerminating = errors.New("the planned engine is shutting down")

// admittedToSend is the last check before each first byte: the request's key may have been removed, or
// the request quarantined, while it waited.
func (a *Answer) admittedToSend() error {
	if err := a.admitted(); err != nil {
		return err
	}
	if f := a.stopFailure(); f != nil {
		return f
	}
	_, err := a.runner.CrashDetector.Check(a.job.Digest)
	return err
}

// stopFailure returns the failure of an answer whose request may not be sent any more, or nil.
func (a *Answer) stopFailure() *outcome.Failure {
	if a.job.Stop == nil {
		return nil
	}
	return a.job.Stop(a.retryState.MayHaveRun())
}

func (a *Answer) admitted() error {
	if a.job.Admit == nil {
		return nil
	}
	return a.job.Admit()
}

// errIsolationConflict says that the request may not run on the engine now because
// another suspect runs there. It counts as a refusal for the request but not for the
// engine. Otherwise the router would keep ejecting an engine, perhaps the only one
// left, until the streams that wait for it exceed MaxEngineWait.
var errIsolationConflict = fmt.Errorf("another suspect runs on the engine: %w", upstream.ErrRefused)

// replan drops a plan that is no longer possible. Nothing was sent, so it
// doesn't count as an attempt, whatever the rule's retry class.
func (a *Answer) replan() {
	a.retryState.RemoveAttempt()
	a.excluded = append(a.excluded, a.attempt.engine)
	a.endAttempt(context.Canceled, true)
}

// engineRetryInterval is the time between two tries to find an engine.
const engineRetryInterval = 100 * time.Millisecond

// waitForEngine waits for one interval and reports whether to pick an engine
// again. Only a request that has lost its engine waits, as refusing it would cut
// off an answer; a new request is better refused at once. After a crash all requests
// that were in flight are suspects and run one at a time on the other engines.
func (a *Answer) waitForEngine(ctx context.Context) bool {
	if !a.retryState.MayHaveRun() || a.waitedForEngine >= a.runner.MaxEngineWait {
		return false
	}
	a.waitedForEngine += engineRetryInterval
	a.excluded = nil
	timer := time.NewTimer(engineRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// pick asks the router for a plan. A suspected request isn't split and runs only
// on an engine without other suspects.
func (a *Answer) pick(suspected bool) (router.Plan, router.Request, *outcome.Failure) {
	route := a.job.Route
	route.Exclude = a.excluded
	route.NoSplit = route.NoSplit || a.noSplit || suspected || a.output.Tokens() > 0
	route.OutputTokens = max(1, route.OutputTokens-a.output.Tokens())
	if suspected {
		digest := a.job.Digest
		route.MayRunOn = func(engine string) bool { return a.runner.CrashDetector.MayRunOn(engine, digest) }
	}
	plan, err := a.runner.Tracker.Pick(route)
	if err != nil {
		return plan, route, a.noEngineFailure(err)
	}
	return plan, route, nil
}

// noEngineFailure returns the failure of a request for which the router found no
// engine. It is a quarantine failure if only the isolation of suspects prevents one.
func (a *Answer) noEngineFailure(err error) *outcome.Failure {
	var noUpstream *router.NoUpstreamError
	if errors.As(err, &noUpstream) && noUpstream.Reason == router.NoUpstreamIsolation {
		return a.quarantineFailure(a.runner.CrashDetector.IsolationError(a.job.Digest))
	}
	f := a.fail(statusNoUpstream, outcome.CodeNoUpstream, err, "no engine can take the request now")
	return f.WithRetryAfter(retryAfterNoUpstream)
}

// reserve counts the request as in flight at the plan's engines. If one of them
// has started to drain since the pick, it counts nothing and excludes that engine.
func (a *Answer) reserve(plan router.Plan) bool {
	inFlight := a.runner.InFlight
	if !inFlight.Reserve(plan.Engine) {
		a.excluded = append(a.excluded, plan.Engine)
		return false
	}
	if plan.Prefill == "" || inFlight.Reserve(plan.Prefill) {
		return true
	}
	inFlight.Release(plan.Engine)
	a.excluded = append(a.excluded, plan.Prefill)
	return false
}

// release undoes reserve. It skips empty names, as only a split plan names a prefill
// engine.
func (a *Answer) release(engines ...string) {
	for _, name := range engines {
		if name != "" {
			a.runner.InFlight.Release(name)
		}
	}
}

// dispatch sends the request to the plan's engines. The attempt is recorded
// before anything is sent and remains the current one if dispatch succeeds.
func (a *Answer) dispatch(ctx context.Context, plan router.Plan, route router.Request, suspected bool) error {
	a.retryState.RecordAttempt()
	t := &attempt{
		id:       a.runner.NewID(),
		engine:   plan.Engine,
		reserved: []string{plan.Engine, plan.Prefill},
		first:    a.output.Tokens(),
		ticket:   a.runner.Tracker.Begin(plan, route),
	}
	a.attempt = t
	ctx = upstream.WithAdmission(ctx, a.admittedToSend)
	var err error
	if t.run, err = a.runner.CrashDetector.Begin(ctx, plan.Engine, a.job.Digest, suspected); err != nil {
		return errIsolationConflict
	}
	request := a.generateRequest(t.id)
	if plan.Prefill != "" {
		handle, err := a.prefill(ctx, plan, request)
		if err != nil {
			return err
		}
		request.KV = &handle
		t.ticket.PrefillDone()
	}
	// A prefill on another engine, or the wait for isolation, can take seconds. An
	// engine that began to terminate meanwhile must not get new work: the platform
	// could stop it and cut the answer off.
	if t.ticket.EngineTerminating() {
		return errEngineTerminating
	}
	if a.admittedToSend() != nil {
		return upstream.ErrNotAdmitted
	}
	engine := a.runner.Engines.Engine(plan.Engine)
	if engine == nil {
		return upstream.ErrNotSent
	}
	t.stream, err = engine.Generate(ctx, request)
	if err == nil {
		a.retryState.RecordRun()
		return nil
	}
	a.cancelUnanswered(ctx, engine, t.id, err)
	return err
}

// prefillError is a failure of the prefill phase of a split plan. The engine that
// failed isn't the one that the attempt's ticket names.
type prefillError struct {
	engine string
	cause  error
}

func (e *prefillError) Error() string { return "prefill at " + e.engine + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *prefillError) Unwrap() error { return e.cause }

func (a *Answer) prefill(ctx context.Context, plan router.Plan, request upstream.GenerateRequest) (upstream.KVHandle, error) {
	engine := a.runner.Engines.Engine(plan.Prefill)
	if engine == nil {
		return upstream.KVHandle{}, &prefillError{plan.Prefill, upstream.ErrNotSent}
	}
	run, err := a.runner.CrashDetector.Begin(ctx, plan.Prefill, a.job.Digest, false)
	if err != nil {
		return upstream.KVHandle{}, &prefillError{plan.Prefill, upstream.ErrRefused}
	}
	handle, err := engine.Prefill(ctx, request)
	run.End(prefillResult(err, cancelled(ctx)))
	if err == nil {
		return handle, nil
	}
	a.cancelUnanswered(ctx, engine, request.AttemptID, err)
	if !cancelled(ctx) {
		// A separate ticket reports the failure for the prefill engine.
		prefillPlan := router.Plan{Engine: plan.Prefill}
		a.runner.Tracker.Begin(prefillPlan, router.Request{}).End(routerOutcome(err, false))
	}
	return handle, &prefillError{plan.Prefill, err}
}

// handleNotAccepted handles an attempt that no engine accepted. It returns the
// final failure, or nil if another attempt may be made.
func (a *Answer) handleNotAccepted(ctx context.Context, err error) *outcome.Failure {
	notRun := errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrRefused)
	var prefillErr *prefillError
	if errors.As(err, &prefillErr) {
		// The decode engine didn't fail.
		a.noSplit = true
		a.excluded = append(a.excluded, prefillErr.engine)
		a.endAttempt(context.Canceled, false)
	} else {
		a.excluded = append(a.excluded, a.attempt.engine)
		a.endAttempt(err, cancelled(ctx))
	}
	execution := dispatch.NotRun
	if !notRun {
		execution = dispatch.MayHaveRun
		a.retryState.RecordRun()
	} else if a.retryState.MayHaveRun() {
		// A started answer is limited by MaxEngineWait, not by the number of engines
		// that refuse it meanwhile.
		a.retryState.RemoveAttempt()
	}
	if cancelled(ctx) {
		return a.ContextFailure(ctx)
	}
	// An attempt that certainly did not run added no load, so only other attempts
	// consume the retry budget.
	if a.retryState.Next(execution, !notRun) == dispatch.Retry {
		return nil
	}
	return a.upstreamFailure(err, notRun)
}

// mayContinue reports whether another engine may continue an answer whose engine
// failed. A stream may in every class except never, as its caller already has a part
// of the answer, which would otherwise be cut off. Continuations are bounded by the
// failed engine's streams and their attempts, so they don't consume the retry budget.
func (a *Answer) mayContinue() bool {
	if !a.job.Request.Stream {
		return a.retryState.Next(dispatch.MayHaveRun, true) == dispatch.Retry
	}
	return !a.retryState.Exhausted() && a.job.Retry != rules.RetryNever
}

// endAttempt releases what the attempt holds and reports its result. A nil error
// means that the response is complete.
func (a *Answer) endAttempt(err error, ctxEnded bool) {
	t := a.attempt
	a.attempt = nil
	if t.stream != nil {
		_ = t.stream.Close()
	}
	a.release(t.reserved...)
	t.ticket.End(routerOutcome(err, ctxEnded))
	if t.run != nil {
		t.run.End(crashResult(err, ctxEnded))
	}
}

// prefillResult returns the result of a prefill. A successful one proves nothing,
// as it isn't a complete response.
func prefillResult(err error, ctxEnded bool) crash.Result {
	if err == nil {
		return crash.Inconclusive
	}
	return crashResult(err, ctxEnded)
}
