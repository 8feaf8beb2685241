package answer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/entry/crash"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// open starts attempts until an engine has taken the request. It returns the
// final failure if none will.
func (a *Answer) open(ctx context.Context) *outcome.Failure {
	for {
		if ctx.Err() != nil {
			return a.ContextFailure(ctx)
		}
		suspected, err := a.runner.CrashDetector.Check(a.work.Digest)
		if err != nil {
			return a.quarantined(err)
		}
		plan, route, f := a.pick(suspected)
		if f != nil {
			if a.waitForEngine(ctx) {
				continue
			}
			return f
		}
		if !a.hold(plan) {
			continue
		}
		err = a.dispatch(ctx, plan, route, suspected)
		if err == nil {
			return nil
		}
		if errors.Is(err, errEngineLeaves) {
			a.planAnew()
			continue
		}
		if f := a.notTaken(ctx, err); f != nil {
			return f
		}
	}
}

// errEngineLeaves says that the engine planned for the answer has begun to
// leave before the request was sent to it.
var errEngineLeaves = errors.New("the engine has begun to leave")

// errNoTurn says that the request may not run on the engine now because another
// suspect does: to the request it is a refusal, but not the engine's own. Booked as
// one, it had the only engine left ejected, again and again, until the streams that
// waited for their turn there had waited too long.
var errNoTurn = fmt.Errorf("another suspect runs there: %w", upstream.ErrRefused)

// planAnew gives a plan up whose engine leaves. No attempt was made, so it
// counts as none, whatever the rule's retry class.
func (a *Answer) planAnew() {
	a.tries.RemoveAttempt()
	a.tried = append(a.tried, a.attempt.engine)
	a.endAttempt(context.Canceled, true)
}

// engineLook is the time between two looks for an engine.
const engineLook = 100 * time.Millisecond

// waitForEngine waits a little and reports whether to look for an engine again.
// Only a request that has lost its engine waits: to refuse it would cut off an
// answer, whereas a new one is better told at once to come back. After a crash
// all that were in flight are suspects, who take turns on the other engines.
func (a *Answer) waitForEngine(ctx context.Context) bool {
	if !a.tries.MayHaveRun() || a.waited >= a.runner.MaxEngineWait {
		return false
	}
	a.waited += engineLook
	a.tried = nil
	timer := time.NewTimer(engineLook)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// pick asks the router. A suspected request stays on one engine, where no other
// suspect runs.
func (a *Answer) pick(suspected bool) (router.Plan, router.Request, *outcome.Failure) {
	route := a.work.Route
	route.Exclude = a.tried
	route.NoSplit = route.NoSplit || a.noSplit || suspected || a.prior.Tokens() > 0
	route.OutputTokens = max(1, route.OutputTokens-a.prior.Tokens())
	if suspected {
		digest := a.work.Digest
		route.MayRunOn = func(engine string) bool { return a.runner.CrashDetector.MayRunOn(engine, digest) }
	}
	plan, err := a.runner.Tracker.Pick(route)
	if err != nil {
		return plan, route, a.noEngine(err)
	}
	return plan, route, nil
}

func (a *Answer) noEngine(err error) *outcome.Failure {
	var lack *router.NoUpstreamError
	if errors.As(err, &lack) && lack.Reason == router.NoUpstreamIsolation {
		return a.quarantined(a.runner.CrashDetector.IsolationError(a.work.Digest))
	}
	f := a.fail(statusNoUpstream, outcome.CodeNoUpstream, err, "no engine can take the request now")
	return f.WithRetryAfter(retryNoUpstream)
}

// hold counts the request at the plan's engines. If one of them has begun to be
// drained since the pick, nothing is counted and that engine is left out.
func (a *Answer) hold(plan router.Plan) bool {
	holds := a.runner.InFlight
	if !holds.Reserve(plan.Engine) {
		a.tried = append(a.tried, plan.Engine)
		return false
	}
	if plan.Prefill == "" || holds.Reserve(plan.Prefill) {
		return true
	}
	holds.Release(plan.Engine)
	a.tried = append(a.tried, plan.Prefill)
	return false
}

func (a *Answer) release(engines ...string) {
	for _, name := range engines {
		if name != "" {
			a.runner.InFlight.Release(name)
		}
	}
}

// dispatch sends the request to the plan's engines. The attempt is booked
// before a byte goes out and stays booked if this succeeds.
func (a *Answer) dispatch(ctx context.Context, plan router.Plan, route router.Request, suspected bool) error {
	a.tries.RecordAttempt()
	t := &attempt{
		id:     a.runner.NewID(),
		engine: plan.Engine,
		holds:  []string{plan.Engine, plan.Prefill},
		first:  a.prior.Tokens(),
		ticket: a.runner.Tracker.Begin(plan, route),
	}
	a.attempt = t
	var err error
	if t.run, err = a.runner.CrashDetector.Begin(ctx, plan.Engine, a.work.Digest, suspected); err != nil {
		return errNoTurn
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
	// Waiting for the prompt elsewhere, or for a suspect's turn, takes seconds.
	// An engine that has begun to leave meanwhile must not get new work: the
	// platform could stop it, and with it the answer.
	if t.ticket.EngineShuttingDown() {
		return errEngineLeaves
	}
	engine := a.runner.Engines.Engine(plan.Engine)
	if engine == nil {
		return upstream.ErrNotSent
	}
	t.stream, err = engine.Generate(ctx, request)
	if err == nil {
		a.tries.RecordRun()
		return nil
	}
	a.cancelUnanswered(ctx, engine, t.id, err)
	return err
}

// prefillError is a failure of the prefill half of a split plan. The engine to
// blame isn't the one that the attempt's ticket names.
type prefillError struct {
	engine string
	cause  error
}

func (e *prefillError) Error() string { return "prefill at " + e.engine + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *prefillError) Unwrap() error { return e.cause }

func (a *Answer) prefill(ctx context.Context, plan router.Plan, q upstream.GenerateRequest) (upstream.KVHandle, error) {
	engine := a.runner.Engines.Engine(plan.Prefill)
	if engine == nil {
		return upstream.KVHandle{}, &prefillError{plan.Prefill, upstream.ErrNotSent}
	}
	run, err := a.runner.CrashDetector.Begin(ctx, plan.Prefill, a.work.Digest, false)
	if err != nil {
		return upstream.KVHandle{}, &prefillError{plan.Prefill, upstream.ErrRefused}
	}
	handle, err := engine.Prefill(ctx, q)
	run.End(prefillResult(err, cancelled(ctx)))
	if err == nil {
		return handle, nil
	}
	a.cancelUnanswered(ctx, engine, q.AttemptID, err)
	if !cancelled(ctx) {
		// A booking of its own tells the router who failed.
		own := router.Plan{Engine: plan.Prefill}
		a.runner.Tracker.Begin(own, router.Request{}).End(routerOutcome(err, false))
	}
	return handle, &prefillError{plan.Prefill, err}
}

// notTaken handles an attempt that no engine took. It returns the final
// failure, or nil if another attempt may be made.
func (a *Answer) notTaken(ctx context.Context, err error) *outcome.Failure {
	unsent := errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrRefused)
	var half *prefillError
	if errors.As(err, &half) {
		// The decode engine did nothing wrong.
		a.noSplit = true
		a.tried = append(a.tried, half.engine)
		a.endAttempt(context.Canceled, false)
	} else {
		a.tried = append(a.tried, a.attempt.engine)
		a.endAttempt(err, cancelled(ctx))
	}
	fate := dispatch.NotRun
	if !unsent {
		fate = dispatch.MayHaveRun
		a.tries.RecordRun()
	} else if a.tries.MayHaveRun() {
		// The answer goes on as soon as an engine takes it; EngineWait bounds
		// the looking, not the number of engines that refuse meanwhile.
		a.tries.RemoveAttempt()
	}
	if cancelled(ctx) {
		return a.ContextFailure(ctx)
	}
	// An attempt that certainly did not run adds nothing to the load, so only
	// others draw on the retry budget.
	if a.tries.Next(fate, !unsent) == dispatch.Retry {
		return nil
	}
	return a.upstreamFailure(err, unsent)
}

// mayContinue reports whether an answer whose engine died may go on elsewhere.
// A stream may in every class but never: its caller already has a part of the
// answer, so the only other end would be a broken one. Continuations are
// bounded by the streams that a dead engine had, and by the attempts of each,
// so they go without the retry budget.
func (a *Answer) mayContinue() bool {
	if !a.work.Request.Stream {
		return a.tries.Next(dispatch.MayHaveRun, true) == dispatch.Retry
	}
	return !a.tries.Exhausted() && a.work.Retry != rules.RetryNever
}

// endAttempt closes the attempt's books. A nil error means that its answer came
// whole.
func (a *Answer) endAttempt(err error, ctxEnded bool) {
	t := a.attempt
	a.attempt = nil
	if t.stream != nil {
		_ = t.stream.Close()
	}
	a.release(t.holds...)
	t.ticket.End(routerOutcome(err, ctxEnded))
	if t.run != nil {
		t.run.End(crashResult(err, ctxEnded))
	}
}

// prefillResult is the result of a prefill, which is no whole answer.
func prefillResult(err error, ctxEnded bool) crash.Result {
	if err == nil {
		return crash.Inconclusive
	}
	return crashResult(err, ctxEnded)
}
