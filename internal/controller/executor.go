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

// Times of an executor.
const (
	// stepPause is waited when there is nothing to do about an engine.
	stepPause = 100 * time.Millisecond
	// callTimeout bounds one call of an engine's control side.
	callTimeout = 2 * time.Second
	// heardFresh is how long an entry that isn't listed yet is waited for.
	heardFresh = 5 * time.Second
	// wantFresh is how long a decision of the policy is good for.
	wantFresh = 3 * time.Second
)

// Executor carries the changes of one engine through their steps while this
// process leads its scope. It is a suture service.
type Executor struct {
	engine   string
	checked  bool
	control  upstream.Controlled
	keeper   *lease.Keeper
	journal  journal.Writer
	writer   string
	view     *orders.View
	presence *Presence
	statuses *Statuses
	limits   orders.Limits
	trail    Trail
	log      *slog.Logger

	contact orders.Session

	mu      sync.Mutex
	want    *orders.ChangeRequest
	wantAt  time.Time
	doing   string
	state   upstream.EngineState
	stateAt time.Time
}

// String names the service for the supervisor's log.
func (x *Executor) String() string { return "orders to " + x.engine }

// Serve works until the context ends, and always finishes the step in hand.
func (x *Executor) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := x.view.Changed()
		if x.step() {
			continue
		}
		x.pause(ctx, changed)
	}
	return ctx.Err()
}

func (x *Executor) pause(ctx context.Context, changed <-chan struct{}) {
	t := time.NewTimer(stepPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// step takes one step and reports whether there may be another one at once.
func (x *Executor) step() bool {
	a, done, ok := x.keeper.Use()
	if !ok {
		x.note(orders.Action{Reason: "not leading"})
		return false
	}
	defer done()
	action := orders.Next(x.situation(a), &x.contact)
	x.note(action)
	// The step in hand is finished even if the program is being stopped; the
	// authority's end bounds it.
	ctx, cancel := context.WithDeadline(context.Background(), a.Until)
	defer cancel()
	return x.carryOut(ctx, a, action)
}

func (x *Executor) situation(a lease.Authority) orders.Input {
	now := time.Now()
	s := orders.Input{
		Now: now, Authority: a, EnforcesFencing: x.checked, Limits: x.limits,
		Engine: x.view.Snapshot().Engine(x.engine),
	}
	leaving := x.presence.Leaving(x.engine)
	if leaving {
		s.CancelReason = "the engine is leaving"
	}
	if open := s.Engine.Open(); open != nil {
		s.Drained, s.WaitReason = x.drained(open.DrainStart, now)
		return s
	}
	if !leaving {
		s.Requested = x.wanted(now)
	}
	return s
}

func (x *Executor) drained(drain journal.Position, now time.Time) (bool, string) {
	listed, known := x.presence.Entries()
	if !known {
		return false, "the instance list has not been read"
	}
	return x.statuses.Drained(x.engine, drain, listed, now, wire.MaxStatusAge, heardFresh)
}

func (x *Executor) carryOut(ctx context.Context, a lease.Authority, action orders.Action) bool {
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
	x.contact.RaiseDone(err, time.Now(), x.limits.RetryDelay)
	if err != nil {
		x.log.Warn("fencing number not raised", "fence", a.FencingToken, "error", err)
	}
	return err == nil
}

func (x *Executor) read(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := time.Now()
	state, err := x.control.State(callCtx)
	x.contact.ReadDone(state, err, begun, time.Now(), x.limits)
	if err == nil {
		x.mu.Lock()
		x.state, x.stateAt = state, begun
		x.mu.Unlock()
	}
	return err == nil
}

func (x *Executor) append(ctx context.Context, action orders.Action) bool {
	was := x.view.Snapshot().Engine(x.engine).Observed
	p, err := x.journal.Append(ctx, journal.Entry{
		Kind: journal.KindOrder, ID: uuid.NewString(), Writer: x.writer, Body: action.Record.Encode(),
	})
	engine := x.view.Snapshot().Engine(x.engine)
	accepted := err == nil && engine.LastPosition == p
	x.contact.AppendDone(accepted, time.Now(), x.limits.RetryDelay)
	if !accepted {
		x.log.Warn("step not recorded", "step", action.Reason, "error", err)
		return false
	}
	if action.Record.Change != nil {
		x.settled(*engine.Change, was, action.Reason)
	}
	return true
}

// settled reports an accepted step of a change.
func (x *Executor) settled(c orders.Change, was orders.Settings, reason string) {
	x.mu.Lock()
	if x.want != nil && x.want.ID == c.ID {
		x.want = nil
	}
	x.mu.Unlock()
	x.log.Info("change", "id", c.ID, "phase", c.Phase.String(), "kind", c.Kind,
		"role", c.Target.Role, "fence", c.FencingToken, "reason", reason)
	x.trail.Change(c, was, reason)
}

// send sends an order. The look at the clock is the last thing before the
// write; a pause in between is what fencing numbers, and the passing of
// unchecked engines by proof alone, guard against.
func (x *Executor) send(ctx context.Context, a lease.Authority, action orders.Action) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := time.Now()
	if !a.Valid(begun) {
		return false
	}
	err := x.control.Order(callCtx, action.Order)
	x.contact.SendDone(action.Change, err, begun, time.Now(), x.limits.RetryDelay)
	x.log.Info("order sent", "order", action.Order.ID, "fence", action.Order.FencingToken,
		"attempt", action.Change.Attempt, "error", err)
	x.trail.Order(err)
	return err == nil
}

// Ask hands over a decision of the role policy. A later one replaces it.
func (x *Executor) Ask(w orders.ChangeRequest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.want = &w
	x.wantAt = time.Now()
}

func (x *Executor) wanted(now time.Time) *orders.ChangeRequest {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.want != nil && now.Sub(x.wantAt) > wantFresh {
		x.want = nil
	}
	return x.want
}

func (x *Executor) note(a orders.Action) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.doing = a.Reason
}

// seen returns what the executor is waiting for or doing, and the engine's
// state as last read.
func (x *Executor) seen() (doing string, s upstream.EngineState, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.doing, x.state, x.stateAt
}
