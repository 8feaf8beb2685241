package gateway

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/internal/entry/outcome"
	"tamarackchute/stopplan"
)

// StopReserve is the time before the exit that responses need to reach their callers.
const StopReserve = 500 * time.Millisecond

// retryAfterStopping is the Retry-After of requests that no other instance serves now.
const retryAfterStopping = time.Second

// stopping is the schedule of the instance's shutdown.
type stopping struct {
	plan stopplan.Plan
	// othersServe reports whether other instances serve.
	othersServe func() bool
}

// BeginShutdown makes all further responses ask callers to close their connections. From now on no
// request is sent that the instance's exit would cut off; a refused one may be retried at once if others
// serve. What is in progress right before the exit is ended by Abort.
func (g *Gateway) BeginShutdown(plan stopplan.Plan, othersServe func() bool) {
	plan.Reserve = StopReserve
	g.stopping.Store(&stopping{plan: plan, othersServe: othersServe})
	time.AfterFunc(time.Until(plan.Noticed), g.markNoticed)
	time.AfterFunc(time.Until(plan.Exit.Add(-StopReserve/2)), g.Abort)
}

// ShuttingDown reports whether BeginShutdown was called.
func (g *Gateway) ShuttingDown() bool { return g.stopping.Load() != nil }

// decide returns what the shutdown, if there is one, makes of a call if it were sent now.
func (s *stopping) decide(k *call, mayHaveRun bool, now time.Time) stopplan.Decision {
	if s == nil {
		return stopplan.Serve
	}
	return s.plan.Decide(stopplan.Request{Deadline: k.ownDeadline, MayHaveRun: mayHaveRun}, now)
}

// checkStop limits the call's deadline to the exit of the instance, or returns the failure of a call that
// may not be sent any more. mayHaveRun says that an earlier attempt may have run it.
func (g *Gateway) checkStop(k *call, mayHaveRun bool) *outcome.Failure {
	s := g.stopping.Load()
	now := time.Now()
	decision := s.decide(k, mayHaveRun, now)
	if decision == stopplan.Serve || decision == stopplan.Cut && k.cut {
		return nil
	}
	g.deps.Log.Info("decided by the stop", "request", k.id, "path", k.path, "rule", k.decision.Rule, "decision", decision.String(), "ran", mayHaveRun,
		"arrived_ms", now.Sub(k.began).Milliseconds(), "left_ms", k.ownDeadline.Sub(now).Milliseconds(),
		"noticed_in_ms", s.plan.Noticed.Sub(now).Milliseconds(), "exit_in_ms", s.plan.Exit.Sub(now).Milliseconds())
	if decision == stopplan.Cut {
		k.deadline, k.cut = s.plan.Latest(), true
		return nil
	}
	f := outcome.Refused(fiber.StatusServiceUnavailable, outcome.CodeShuttingDown, "this instance may stop before the answer's end")
	if !s.othersServe() {
		f = f.WithRetryAfter(retryAfterStopping)
	}
	return f
}

// stopCheck returns the check before each attempt of a call.
func (g *Gateway) stopCheck(k *call) func(mayHaveRun bool) *outcome.Failure {
	return func(mayHaveRun bool) *outcome.Failure { return g.checkStop(k, mayHaveRun) }
}

// untilRefused returns a context that ends once the call, which waits, may not be sent any more.
func (g *Gateway) untilRefused(k *call) (context.Context, func()) {
	ctx, cancel := context.WithCancel(k.ctx)
	stop := context.AfterFunc(g.noticed, func() {
		if g.stopping.Load().decide(k, false, time.Now()) == stopplan.Refuse {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}
