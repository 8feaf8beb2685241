package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"tamarackchute/internal/wire"
	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/orders"
	"tamarackchute/upstream"
)

// Timing of an executor.
const (
	// idleInterval is the wait when no step is due.
	idleInterval = 100 * time.Millisecond
	// callTimeout bounds one control call to an engine.
	callTimeout = 2 * time.Second
	// unlistedEntryTimeout is how long a status of an entry that isn't listed yet still
	// holds up a drain.
	unlistedEntryTimeout = 5 * time.Second
	// maxRequestAge is how long a decision of the policy remains valid.
	maxRequestAge = 3 * time.Second
)

// Executor carries the changes of one engine through their steps while this process leads
// the engine's scope. It is a suture service.
type Executor struct {
	engine          string
	enforcesFencing bool
	control         upstream.Controlled
	keeper          *lease.Keeper
	journal         journal.Writer
	writer          string
	view            *orders.View
	instances       *Presence
	entryStatuses   *StatusTracker
	limits          orders.Limits
	recorder        EventRecorder
	log             *slog.Logger

	session orders.Session

	mu          sync.Mutex
	requested   *orders.ChangeRequest
	requestedAt time.Time
	activity    string
	state       upstream.EngineState
	stateAt     time.Time
}

// String names the service for the supervisor's log.
func (x *Executor) String() string { return "orders to " + x.engine }

// Serve works until the context ends, and always finishes the step in progress.
func (x *Executor) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := x.view.Changed()
		if x.step() {
			continue
		}
		x.waitForChange(ctx, changed)
	}
	return ctx.Err()
}

func (x *Executor) waitForChange(ctx context.Context, changed <-chan struct{}) {
	t := time.NewTimer(idleInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// step performs one step and reports whether another one may follow at once.
func (x *Executor) step() bool {
	a, done, ok := x.keeper.Use()
	if !ok {
		x.setActivity(orders.Action{Reason: "not leading"})
		return false
	}
	defer done()
	action := orders.Next(x.input(a), &x.session)
	x.setActivity(action)
	// The step in progress is finished even if the program is being stopped; the end of the
	// authority bounds it.
	ctx, cancel := context.WithDeadline(context.Background(), a.Until)
	defer cancel()
	return x.execute(ctx, a, action)
}

func (x *Executor) input(a lease.Authority) orders.Input {
	now := time.Now()
	in := orders.Input{
		Now: now, Authority: a, EnforcesFencing: x.enforcesFencing, Limits: x.limits,
		Engine: x.view.Snapshot().Engine(x.engine),
	}
	unavailable := x.instances.TerminatingOrGone(x.engine)
	if unavailable {
		in.CancelReason = "the engine is leaving"
	}
	if open := in.Engine.Open(); open != nil {
		in.Drained, in.WaitReason = x.drained(open.DrainStart, now)
		return in
	}
	if !unavailable {
		in.Requested = x.currentRequest(now)
	}
	return in
}

func (x *Executor) drained(drain journal.Position, now time.Time) (bool, string) {
	listed, known := x.instances.Entries()
	if !known {
		return false, "the instance list has not been read"
	}
	return x.entryStatuses.Drained(x.engine, drain, listed, now, wire.StatusFresh, unlistedEntryTimeout)
}

func (x *Executor) execute(ctx context.Context, a lease.Authority, action orders.Action) bool {
	switch action.Kind {
	case orders.ActionRaiseToken:
		return x.raise(ctx, a, action)
	case orders.ActionRead:
		return x.read(ctx)
	case orders.ActionAppend:
		return x.append(ctx, action)
	case orders.ActionSend:
		return x.send(ctx, a, action)
	case orders.ActionRenumber:
		x.keeper.Renumber()
		return false
	default:
		return false
	}
}

func (x *Executor) raise(ctx context.Context, a lease.Authority, action orders.Action) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !a.Valid(time.Now()) {
		return false
	}
	err := x.control.Order(callCtx, action.Order)
	x.session.RaiseDone(err, time.Now(), x.limits.RetryDelay)
	if err != nil {
		x.log.Warn("fencing token not raised", "fence", a.FencingToken, "error", err)
	}
	return err == nil
}

func (x *Executor) read(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := time.Now()
	state, err := x.control.State(callCtx)
	x.session.ReadDone(state, err, started, time.Now(), x.limits)
	if err == nil {
		x.mu.Lock()
		x.state, x.stateAt = state, started
		x.mu.Unlock()
	}
	return err == nil
}

func (x *Executor) append(ctx context.Context, action orders.Action) bool {
	previous := x.view.Snapshot().Engine(x.engine).Observed
	p, err := x.journal.Append(ctx, journal.Entry{
		Kind: journal.KindOrder, ID: uuid.NewString(), Writer: x.writer, Body: action.Record.Encode(),
	})
	engine := x.view.Snapshot().Engine(x.engine)
	accepted := err == nil && engine.LastPosition == p
	x.session.AppendDone(accepted, time.Now(), x.limits.RetryDelay)
	if !accepted {
		x.log.Warn("step not confirmed by the journal", "step", action.Reason, "error", err)
		return false
	}
	if action.Record.Change != nil {
		x.recordAccepted(*engine.Change, previous, action.Reason)
	}
	return true
}

// recordAccepted records an accepted step of a change and clears the request that led to
// it.
func (x *Executor) recordAccepted(c orders.Change, previous orders.Settings, reason string) {
	x.mu.Lock()
	if x.requested != nil && x.requested.ID == c.ID {
		x.requested = nil
	}
	x.mu.Unlock()
	x.log.Info("change", "id", c.ID, "phase", c.Phase.String(), "kind", c.Kind,
		"role", c.Target.Role, "fence", c.FencingToken, "reason", reason)
	x.recorder.RecordChange(c, previous, reason)
}

// send sends an order. The authority's validity is checked last before the write. If the
// process is paused in between, fencing tokens protect the engines that check them; for the
// others, the scope is never taken over on expiry alone.
func (x *Executor) send(ctx context.Context, a lease.Authority, action orders.Action) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := time.Now()
	if !a.Valid(started) {
		return false
	}
	err := x.control.Order(callCtx, action.Order)
	x.session.SendDone(action.Change, err, started, time.Now(), x.limits.RetryDelay)
	x.log.Info("order sent", "order", action.Order.ID, "fence", action.Order.FencingToken,
		"attempt", action.Change.Attempt, "error", err)
	x.recorder.RecordOrder(err)
	return err == nil
}

// Request submits a decision of the role policy. A later request replaces it.
func (x *Executor) Request(r orders.ChangeRequest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.requested = &r
	x.requestedAt = time.Now()
}

func (x *Executor) currentRequest(now time.Time) *orders.ChangeRequest {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.requested != nil && now.Sub(x.requestedAt) > maxRequestAge {
		x.requested = nil
	}
	return x.requested
}

func (x *Executor) setActivity(a orders.Action) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.activity = a.Reason
}

// lastSeen returns the executor's current activity, and the engine's state as last read
// with the time of the read.
func (x *Executor) lastSeen() (activity string, s upstream.EngineState, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.activity, x.state, x.stateAt
}
