package interleave

import (
	"time"

	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/orders"
	"tamarackchute/upstream"
)

// executor plays controller.Executor over the real orders.Next.
type executor struct {
	p       *process
	engine  *engine
	keeper  *keeper
	contact orders.Session
}

func (p *process) newExecutor(e *engine) {
	scope := scopeUnfenced
	if e.checks {
		scope = scopeFenced
	}
	x := &executor{p: p, engine: e, keeper: p.keepers[scope]}
	p.later(100*time.Millisecond, x.tick)
}

func (x *executor) limits() orders.Limits {
	l := orders.Limits{
		DrainTimeout: 6 * time.Second, OrderTimeout: 5 * time.Second, SettleTime: settle,
		ReadInterval: 300 * time.Millisecond, MaxStateAge: 500 * time.Millisecond, RetryDelay: 300 * time.Millisecond,
	}
	if x.p.w.mutant == mutantNoSettle {
		l.SettleTime = time.Nanosecond
	}
	return l
}

// tick takes one step; the next tick follows when it has ended.
func (x *executor) tick() {
	a, ok := x.keeper.authority()
	if !ok {
		x.p.later(100*time.Millisecond, x.tick)
		return
	}
	x.p.w.checkLeaders(x.p, x.keeper.scope)
	x.keeper.inHand++
	action := orders.Next(x.situation(a), &x.contact)
	switch action.Kind {
	case orders.ActionRaiseToken:
		x.send(a, action, func(err error, _ time.Time) {
			x.contact.RaiseDone(err, x.p.clock(), x.limits().RetryDelay)
		})
	case orders.ActionSend:
		x.send(a, action, func(err error, begun time.Time) {
			x.contact.SendDone(action.Change, err, begun, x.p.clock(), x.limits().RetryDelay)
		})
	case orders.ActionRead:
		x.readState()
	case orders.ActionAppend:
		x.append(action)
	case orders.ActionRenumber:
		x.p.w.report.Event("renumbered")
		x.keeper.machine.Renumber()
		x.done()
	default:
		x.keeper.inHand--
		x.p.later(300*time.Millisecond, x.tick)
	}
}

// done ends the step in hand.
func (x *executor) done() {
	x.keeper.inHand--
	x.p.later(100*time.Millisecond, x.tick)
}

func (x *executor) situation(a lease.Authority) orders.Input {
	s := orders.Input{
		Now: x.p.clock(), Authority: a, EnforcesFencing: x.engine.checks, Limits: x.limits(),
		Engine: x.p.fold.changes.Engine(x.engine.name),
	}
	if open := s.Engine.Open(); open != nil {
		s.Drained, s.WaitReason = x.p.drained(x.engine.name, open.DrainStart)
		return s
	}
	if !x.p.w.calm && x.p.w.chance(0.3) {
		roles := []upstream.Role{upstream.RolePrefill, upstream.RoleDecode, upstream.RoleMixed}
		s.Requested = &orders.ChangeRequest{
			ID: x.p.w.id("change"), Kind: upstream.OrderRole,
			Target: orders.Settings{Role: roles[x.p.w.rng.IntN(len(roles))]}, Reason: "trial",
		}
	}
	return s
}

func (x *executor) append(action orders.Action) {
	x.p.append(journal.KindOrder, x.p.w.id("entry"), action.Record.Encode(), func(at journal.Position, err error) {
		e := x.p.fold.changes.Engine(x.engine.name)
		x.contact.AppendDone(err == nil && e.LastPosition == at, x.p.clock(), x.limits().RetryDelay)
		x.done()
	})
}

// callTimeout bounds a call of an engine.
const callTimeout = time.Second

// readState reads the engine's state; a reply may be lost.
func (x *executor) readState() {
	begun := x.p.clock()
	over := false
	finish := func(s upstream.EngineState, err error) {
		if over {
			return
		}
		over = true
		x.contact.ReadDone(s, err, begun, x.p.clock(), x.limits())
		x.done()
	}
	fail := x.p.held(func() { finish(upstream.EngineState{}, upstream.ErrBroken) })
	x.p.later(5*time.Millisecond, func() {
		x.engine.receive(func() {
			s := x.engine.state()
			x.p.later(10*time.Millisecond, func() { finish(s, nil) })
		}, fail)
	})
	x.p.w.after(callTimeout, fail)
}

// send looks at the clock, and writes an order after that; a pause may come in
// between. The order may then reach the engine after this process has given
// up waiting or has died, or its reply may be lost.
func (x *executor) send(a lease.Authority, action orders.Action, done func(error, time.Time)) {
	begun := x.p.clock()
	if !a.Valid(begun) {
		x.done()
		return
	}
	over := false
	finish := func(err error) {
		if over {
			return
		}
		over = true
		if err != nil && x.p.w.mutant == mutantLostIsNotTaken {
			err = upstream.ErrNotSent
		}
		done(err, begun)
		x.done()
	}
	x.p.later(x.trouble(), func() {
		x.p.w.after(callTimeout, x.p.held(func() { finish(upstream.ErrBroken) }))
		killed := x.p.w.fault(x.p.w.stalls / 3)
		x.p.w.after(x.onTheWay(killed), func() { x.arrive(action.Order, finish) })
		if killed {
			x.p.w.report.Event("controller killed just after a write")
			x.p.on.kill()
		}
	})
}

// trouble may pause the process, or begin to stop it, between the look at the
// clock and the write. It returns how long the connection may take to make.
func (x *executor) trouble() time.Duration {
	w := x.p.w
	switch {
	case w.fault(w.stalls):
		w.report.Event("controller paused between the clock and the write")
		x.p.pause(12 * time.Second)
	case w.fault(w.stalls / 3):
		w.report.Event("controller stopped between the clock and the write")
		x.p.stop()
		return time.Second
	case w.fault(0.2):
		return time.Second
	}
	return 5 * time.Millisecond
}

// onTheWay is how long an order's bytes take to the engine: at times longer
// than their sender lives, but never as long as the settle time.
func (x *executor) onTheWay(killed bool) time.Duration {
	if killed || x.p.w.fault(0.25) {
		return x.p.w.upTo(settle)
	}
	return x.p.w.upTo(20 * time.Millisecond)
}

func (x *executor) arrive(o upstream.Order, finish func(error)) {
	x.engine.receive(func() {
		err := x.engine.take(o)
		if x.p.w.fault(0.1) {
			x.p.w.report.Event("reply to an order lost")
			return
		}
		x.p.later(10*time.Millisecond, func() { finish(err) })
	}, x.p.held(func() { finish(upstream.ErrNotSent) }))
}
