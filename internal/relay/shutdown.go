package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"tamarackchute/internal/telemetry"
	"tamarackchute/stopplan"
)

// shutdown holds the schedule of the process's shutdown.
type shutdown struct {
	plan  stopplan.Plan
	began time.Time
	// othersServe reports whether other daemons serve.
	othersServe func() bool
}

// shutdownReserve covers an upstream's response to a missed deadline, and then the caller's.
const shutdownReserve = 2 * deadlineGrace

var (
	// errShuttingDown ends the requests that are still in progress right before the process exits.
	errShuttingDown = errors.New("this daemon stops")
	// errTooLate says that an attempt wasn't sent, as the exit would cut it off.
	errTooLate = errors.New("this daemon may stop before the answer's end")
)

// BeginShutdown sets when the process exits. From now on each response closes its connection, and no
// request is sent that the exit would cut off; noticed is when all callers know of the shutdown. A
// refused request may be retried at once if others serve. What is in progress right before the exit
// fails, so that its callers learn whether it may have run; streams that have begun go on.
func (r *Relay) BeginShutdown(noticed, exit time.Time, othersServe func() bool) {
	plan := stopplan.Plan{Noticed: noticed, Exit: exit, Reserve: shutdownReserve}
	r.shutdown.Store(&shutdown{plan: plan, began: time.Now(), othersServe: othersServe})
	time.AfterFunc(time.Until(exit.Add(-deadlineGrace)), r.endRequests)
}

// withShutdown returns a context that also ends right before the process exits, unless the call's stream
// has begun by then: it can't be answered otherwise any more.
func (c *call) withShutdown(ctx context.Context) (context.Context, func()) {
	ctx, end := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.relay.ending, func() {
		if c.runsUntilExit.Load() {
			c.logLeftOver()
			return
		}
		end(errShuttingDown)
	})
	return ctx, func() {
		stop()
		end(nil)
	}
}

// logLeftOver logs that the exit of the process ends the call. arrived_in_stop_ms is negative for a call that was there
// before the stop.
func (c *call) logLeftOver() {
	attrs := []any{"request", c.ID, "took_ms", telemetry.Millis(time.Since(c.arrived)), "left_ms", telemetry.Millis(time.Until(c.ownDeadline)), "pool", c.pool,
		"rule", c.rule.Name}
	if s := c.relay.shutdown.Load(); s != nil {
		attrs = append(attrs, "arrived_in_stop_ms", telemetry.Millis(c.arrived.Sub(s.began)), "others_serve", s.othersServe())
	}
	if c.forwarded != nil {
		attrs = append(attrs, "forwarded_by", c.forwarded.From)
	}
	c.relay.metrics.recordLeftOver(c.pool)
	c.log.Warn("left over by the stop", attrs...)
}

// decideShutdown returns what a shutdown in progress makes of the call if it were sent now.
func (c *call) decideShutdown() (stopplan.Decision, stopplan.Plan) {
	s := c.relay.shutdown.Load()
	if s == nil {
		return stopplan.Serve, stopplan.Plan{}
	}
	request := stopplan.Request{Deadline: c.ownDeadline, MayHaveRun: c.hasBegun(), Returnable: c.isReturnable(), Elsewhere: c.othersTake()}
	if c.rule.Stream && c.Generation != nil && !request.MayHaveRun {
		request.Expected, request.OthersServe = c.relay.cfg.Tracker.IdleCompletionTime(c.pool, c.placementRequest()), s.othersServe() && c.othersReach()
	}
	return s.plan.Decide(request, time.Now()), s.plan
}

// othersReach reports whether another daemon may have a path to the call's pool: one has told so, or none has told of a lost one.
func (c *call) othersReach() bool {
	if c.relay.cfg.PeerPaths == nil {
		return true
	}
	with, without := c.relay.cfg.PeerPaths(c.pool)
	return with > 0 || without == 0
}

// othersTake reports whether the call was forwarded by a daemon that can hand it to another one than this.
func (c *call) othersTake() bool {
	if c.forwarded == nil || c.relay.cfg.ForwardPeers == nil {
		return false
	}
	return slices.ContainsFunc(c.relay.cfg.ForwardPeers(c.pool), func(p ForwardPeer) bool { return p.Instance != c.forwarded.From })
}

// refusedByShutdown reports whether the call may not be sent any more.
func (c *call) refusedByShutdown() bool {
	decision, _ := c.decideShutdown()
	return decision == stopplan.Refuse
}

// checkShutdown limits the call's deadline to the exit of the process, or returns a failure if the call
// may not be sent any more.
func (c *call) checkShutdown() *failure {
	decision, plan := c.decideShutdown()
	if decision == stopplan.Serve || decision == stopplan.Cut && c.cut {
		return nil
	}
	now := time.Now()
	c.log.Info("decided by the stop", "request", c.ID, "decision", decision.String(), "ran", c.attempts.MayHaveRun(), "forwarded", c.forwarded != nil,
		"others_serve", c.relay.shutdown.Load().othersServe(),
		"arrived_ms", telemetry.Millis(now.Sub(c.arrived)), "left_ms", telemetry.Millis(c.ownDeadline.Sub(now)),
		"noticed_in_ms", telemetry.Millis(plan.Noticed.Sub(now)), "exit_in_ms", telemetry.Millis(plan.Exit.Sub(now)))
	if decision == stopplan.Refuse {
		return c.failShutdown()
	}
	c.deadline, c.cut = plan.Latest(), true
	return nil
}

// checkShutdownBeforeSend is the check of an attempt right before its first byte.
func (c *call) checkShutdownBeforeSend() error {
	if c.refusedByShutdown() {
		return errTooLate
	}
	return nil
}

// failShutdown returns the failure of a call that the exit of the process would cut off.
func (c *call) failShutdown() *failure {
	f := c.fail(reasonShuttingDown, errTooLate.Error())
	if s := c.relay.shutdown.Load(); s != nil && s.othersServe() {
		f.retryAfter = 0
	}
	return f
}
