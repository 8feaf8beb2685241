package interleave

import (
	"time"

	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/orders"
	"tamarackchute/upstream"
)

// executor simulates controller.Executor on top of the production orders.Next.
type executor struct {
	p       *process
	engine  *engine
	keeper  *keeper
	session orders.Session
}

func (p *process) newExecutor(e *engine) {
	scope := scopeUnfenced
	if e.enforcesFencing {
		scope = scopeFenced
	}
	x := &executor{p: p, engine: e, keeper: p.keepers[scope]}
	p.schedule(100*time.Millisecond, x.tick)
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

// tick performs one step and schedules the next tick after it.
func (x *executor) tick() {
	a, ok := x.keeper.authority()
	if !ok {
		x.p.schedule(100*time.Millisecond, x.tick)
		return
	}
	x.p.w.checkSingleLeader(x.p, x.keeper.scope)
	x.keeper.openSteps++
	action := orders.Next(x.input(a), &x.session)
	switch action.Kind {
	case orders.ActionRaiseToken:
		x.send(a, action, func(err error, _ time.Time) {
			x.session.RaiseDone(err, x.p.clock(), x.limits().RetryDelay)
		})
	case orders.ActionSend:
		x.send(a, action, func(err error, started time.Time) {
			x.session.SendDone(action.Change, err, started, x.p.clock(), x.limits().RetryDelay)
		})
	case orders.ActionRead:
		x.readState()
	case orders.ActionAppend:
		x.append(action)
	case orders.ActionRenumber:
		x.p.w.report.Event("renumbered")
		x.keeper.machine.Renumber()
		x.finishStep()
	default:
		x.keeper.openSteps--
		x.p.schedule(300*time.Millisecond, x.tick)
	}
}

// finishStep ends the step in progress.
func (x *executor) finishStep() {
	x.keeper.openSteps--
	x.p.schedule(100*time.Millisecond, x.tick)
}

func (x *executor) input(a lease.Authority) orders.Input {
	in := orders.Input{
		Now: x.p.clock(), Authority: a, EnforcesFencing: x.engine.enforcesFencing, Limits: x.limits(),
		Engine: x.p.state.changes.Engine(x.engine.name),
	}
	if open := in.Engine.Open(); open != nil {
		in.Drained, in.WaitReason = x.p.drained(x.engine.name, open.DrainStart)
		return in
	}
	if !x.p.w.faultsEnded && x.p.w.chance(0.3) {
		roles := []upstream.Role{upstream.RolePrefill, upstream.RoleDecode, upstream.RoleMixed}
		in.Requested = &orders.ChangeRequest{
			ID: x.p.w.id("change"), Kind: upstream.OrderRole,
			Target: orders.Settings{Role: roles[x.p.w.rng.IntN(len(roles))]}, Reason: "trial",
		}
	}
	return in
}

func (x *executor) append(action orders.Action) {
	x.p.append(journal.KindOrder, x.p.w.id("entry"), action.Record.Encode(), func(at journal.Position, err error) {
		e := x.p.state.changes.Engine(x.engine.name)
		x.session.AppendDone(err == nil && e.LastPosition == at, x.p.clock(), x.limits().RetryDelay)
		x.finishStep()
	})
}

// callTimeout bounds a call to an engine.
const callTimeout = time.Second

// readState reads the engine's state; the reply may be lost.
func (x *executor) readState() {
	started := x.p.clock()
	finished := false
	finish := func(s upstream.EngineState, err error) {
		if finished {
			return
		}
		finished = true
		x.session.ReadDone(s, err, started, x.p.clock(), x.limits())
		x.finishStep()
	}
	fail := x.p.whenRunning(func() { finish(upstream.EngineState{}, upstream.ErrBroken) })
	x.p.schedule(5*time.Millisecond, func() {
		x.engine.receive(func() {
			s := x.engine.state()
			x.p.schedule(10*time.Millisecond, func() { finish(s, nil) })
		}, fail)
	})
	x.p.w.schedule(callTimeout, fail)
}

// send checks the authority's validity and then writes an order; a pause may occur in
// between. The order may reach the engine after this process has timed out or died, and its
// reply may be lost.
func (x *executor) send(a lease.Authority, action orders.Action, done func(error, time.Time)) {
	started := x.p.clock()
	if !a.Valid(started) {
		x.finishStep()
		return
	}
	finished := false
	finish := func(err error) {
		if finished {
			return
		}
		finished = true
		if err != nil && x.p.w.mutant == mutantLostReplyNotTaken {
			err = upstream.ErrNotSent
		}
		done(err, started)
		x.finishStep()
	}
	x.p.schedule(x.injectFault(), func() {
		x.p.w.schedule(callTimeout, x.p.whenRunning(func() { finish(upstream.ErrBroken) }))
		killed := x.p.w.fault(x.p.w.pauseProbability / 3)
		x.p.w.schedule(x.deliveryDelay(killed), func() { x.deliver(action.Order, finish) })
		if killed {
			x.p.w.report.Event("controller killed just after a write")
			x.p.instance.kill()
		}
	})
}

// injectFault may pause or stop the process between the validity check and the write. It
// returns the maximum time to connect.
func (x *executor) injectFault() time.Duration {
	w := x.p.w
	switch {
	case w.fault(w.pauseProbability):
		w.report.Event("controller paused between the validity check and the write")
		x.p.pause(12 * time.Second)
	case w.fault(w.pauseProbability / 3):
		w.report.Event("controller stopped between the validity check and the write")
		x.p.stop()
		return time.Second
	case w.fault(0.2):
		return time.Second
	}
	return 5 * time.Millisecond
}

// deliveryDelay returns how long an order takes to reach the engine. It may exceed the
// sender's lifetime but is always below the settle time.
func (x *executor) deliveryDelay(killed bool) time.Duration {
	if killed || x.p.w.fault(0.25) {
		return x.p.w.randDuration(settle)
	}
	return x.p.w.randDuration(20 * time.Millisecond)
}

func (x *executor) deliver(o upstream.Order, finish func(error)) {
	x.engine.receive(func() {
		err := x.engine.handleOrder(o)
		if x.p.w.fault(0.1) {
			x.p.w.report.Event("reply to an order lost")
			return
		}
		x.p.schedule(10*time.Millisecond, func() { finish(err) })
	}, x.p.whenRunning(func() { finish(upstream.ErrNotSent) }))
}
