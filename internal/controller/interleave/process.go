package interleave

import (
	"time"

	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/orders"
	"tamarackchute/upstream"
)

// instance is an instance on which one controller runs at a time.
type instance struct {
	w       *world
	name    string
	rate    float64
	process *process
	// listed is whether the platform's list names it, goneAt since when not.
	listed bool
	goneAt time.Duration
}

// process is one run of the controller.
type process struct {
	w           *world
	on          *instance
	incarnation string
	alive       bool
	pausedUntil time.Duration
	fold        fold
	read        int
	statuses    map[string]status
	keepers     map[string]*keeper
}

// start runs a new process, which can take the address: the former is dead.
func (m *instance) start() {
	if m.process != nil || !m.listed {
		return
	}
	p := &process{
		w: m.w, on: m, incarnation: m.w.id("run"), alive: true, fold: newFold(),
		statuses: map[string]status{}, keepers: map[string]*keeper{},
	}
	m.process = p
	p.keepers[scopeFenced] = p.newKeeper(scopeFenced, false)
	p.keepers[scopeUnfenced] = p.newKeeper(scopeUnfenced, true)
	for _, name := range m.w.order {
		p.newExecutor(m.w.engines[name])
	}
	p.follow()
	m.live()
}

// live ends the process now and then, in one way or another.
func (m *instance) live() {
	w, p := m.w, m.process
	w.after(w.upTo(15*time.Second), func() {
		if m.process != p {
			return
		}
		switch {
		case w.fault(0.25):
			w.report.Event("controller killed")
			m.kill()
		case w.fault(0.1):
			w.report.Event("controller stopped gracefully")
			p.stop()
		case w.fault(0.1):
			w.report.Event("instance taken away")
			m.kill()
			m.listed = false
			m.goneAt = w.now
			w.after(listLag+w.upTo(10*time.Second), func() { m.listed = true; m.start() })
			return
		default:
			m.live()
		}
	})
}

func (m *instance) kill() {
	if m.process == nil {
		return
	}
	m.process.alive = false
	m.process = nil
	within := 8 * time.Second
	if m.w.chance(0.5) {
		within = 300 * time.Millisecond
	}
	m.w.after(m.w.upTo(within), m.start)
}

// revive ends pauses and brings dead controllers back.
func (m *instance) revive() {
	m.listed = true
	if m.process != nil {
		m.process.pausedUntil = m.w.now
	}
	m.start()
}

func (p *process) clock() time.Time {
	return epoch.Add(time.Duration(float64(p.w.now) * p.on.rate))
}

// later does a step within a time. A process may be paused before any step,
// for longer than a term.
func (p *process) later(within time.Duration, run func()) {
	p.w.after(p.w.upTo(within), p.held(run))
}

// held returns a step that waits while the process is paused and is dropped
// once it is dead.
func (p *process) held(run func()) func() {
	var step func()
	step = func() {
		if !p.alive {
			return
		}
		if p.w.fault(0.004) {
			p.w.report.Event("controller paused")
			p.pause(8 * time.Second)
		}
		if p.w.now < p.pausedUntil {
			p.w.after(p.pausedUntil-p.w.now, step)
			return
		}
		run()
	}
	return step
}

func (p *process) pause(within time.Duration) {
	p.pausedUntil = max(p.pausedUntil, p.w.now+p.w.upTo(within))
}

func (p *process) follow() {
	p.catchUp()
	p.later(100*time.Millisecond, p.follow)
}

func (p *process) catchUp() {
	if !p.w.log.down {
		p.w.catchUp(&p.fold, &p.read, p.clock())
	}
}

// append writes an entry. The reply is handled once the own reader has folded
// the entry.
func (p *process) append(kind journal.Kind, id string, body []byte, done func(journal.Position, error)) {
	e := journal.Entry{Kind: kind, ID: id, Body: body}
	if p.w.fault(p.w.stalls / 4) {
		p.w.report.Event("controller paused before an append")
		p.pause(8 * time.Second)
	}
	p.later(10*time.Millisecond, func() {
		p.w.log.append(e, func(at journal.Position, err error) {
			p.held(func() { p.replied(at, err, done) })()
		})
	})
}

func (p *process) replied(at journal.Position, err error, done func(journal.Position, error)) {
	if err == nil && int(at.Offset) > p.read {
		if p.w.log.down {
			p.later(200*time.Millisecond, func() { p.replied(at, err, done) })
			return
		}
		p.catchUp()
	}
	done(at, err)
}

// stop ends the process as a signal would: steps in hand, release, exit.
func (p *process) stop() {
	for _, scope := range scopes {
		k := p.keepers[scope]
		k.closing = true
		k.leave()
	}
}

func (p *process) stopped() {
	for _, k := range p.keepers {
		if !k.left {
			return
		}
	}
	p.later(4*time.Second, func() {
		if p.on.process == p {
			p.on.kill()
		}
	})
}

// keeper plays lease.Keeper over the real lease.Machine.
type keeper struct {
	p       *process
	scope   string
	machine *lease.Machine
	inHand  int
	busy    bool
	closing bool
	left    bool
}

func (p *process) newKeeper(scope string, byProof bool) *keeper {
	cfg := lease.Config{
		Scope: scope, Instance: p.on.name, Incarnation: p.incarnation,
		Term: term, Renew: renew, Drift: drift, ByProof: byProof, Settle: settle,
		ClaimDelay: time.Duration(p.on.name[1]-'1') * 50 * time.Millisecond,
	}
	switch p.w.mutant {
	case mutantUnfencedByTime:
		cfg.ByProof = false
	case mutantNoDrift:
		cfg.Drift = 0
	case mutantNoSettle:
		cfg.Settle = 0
	}
	k := &keeper{p: p, scope: scope, machine: lease.NewMachine(cfg, p.clock())}
	p.later(100*time.Millisecond, k.tick)
	return k
}

func (k *keeper) tick() {
	defer k.p.later(100*time.Millisecond, k.tick)
	if k.busy || k.closing {
		return
	}
	s := k.p.fold.leases.Scope(k.scope)
	step := k.machine.Step(s, k.sight(s), k.p.clock())
	if step.Record != nil {
		k.send(*step.Record)
	}
}

func (k *keeper) sight(s lease.ScopeState) lease.Sight {
	see := lease.Sight{AddressBound: true, SelfListed: k.p.on.listed}
	for _, m := range k.p.w.machines {
		if m.name != s.Holder {
			continue
		}
		see.HolderGone = !m.listed && k.p.w.now-m.goneAt > listLag
		if k.p.w.mutant == mutantSilentIsGone {
			see.HolderGone = m.process == nil || k.p.w.now < m.process.pausedUntil
		}
	}
	return see
}

func (k *keeper) send(r lease.Record) {
	if r.Op == lease.OpRelease && k.inHand > 0 && k.p.w.mutant != mutantReleaseInHand {
		return
	}
	k.busy = true
	id := k.machine.PendingID(r)
	if id == "" {
		id = k.p.w.id("entry")
	}
	fromReply := k.p.w.mutant == mutantFromReply
	if !fromReply {
		k.machine.Sending(id, r, k.p.clock())
	}
	k.p.append(journal.KindLease, id, r.Encode(), func(_ journal.Position, err error) {
		if fromReply {
			k.machine.Sending(id, r, k.p.clock())
		}
		k.machine.Observe(k.p.fold.leases.Scope(k.scope), k.p.clock())
		if err == nil || err == errNotWritten {
			k.machine.Settled(id)
		}
		k.busy = false
	})
}

// leave releases the scope after the steps in hand.
func (k *keeper) leave() {
	if k.busy || (k.inHand > 0 && k.p.w.mutant != mutantReleaseInHand) {
		k.p.later(50*time.Millisecond, k.leave)
		return
	}
	r, held := k.machine.Release(k.p.fold.leases.Scope(k.scope))
	if !held {
		k.left = true
		k.p.stopped()
		return
	}
	k.send(r)
	if k.p.w.fault(k.p.w.stalls) {
		k.p.w.report.Event("controller paused after its release")
		k.p.w.after(50*time.Millisecond, func() { k.p.pause(12 * time.Second) })
	}
	k.p.later(50*time.Millisecond, k.leave)
}

func (k *keeper) authority() (lease.Authority, bool) {
	if k.closing {
		return lease.Authority{}, false
	}
	return k.machine.Authority(k.p.fold.leases.Scope(k.scope), k.p.clock())
}

// executor plays controller.Executor over the real orders.Next.
type executor struct {
	p       *process
	engine  *engine
	keeper  *keeper
	contact orders.Contact
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
		Drain: 6 * time.Second, Order: 5 * time.Second, Settle: settle,
		Read: 300 * time.Millisecond, Fresh: 500 * time.Millisecond, Retry: 300 * time.Millisecond,
	}
	if x.p.w.mutant == mutantNoSettle {
		l.Settle = time.Nanosecond
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
	case orders.ActionRaise:
		x.send(a, action, func(err error, _ time.Time) {
			x.contact.RaiseDone(err, x.p.clock(), x.limits().Retry)
		})
	case orders.ActionSend:
		x.send(a, action, func(err error, begun time.Time) {
			x.contact.SendDone(action.Change, err, begun, x.p.clock(), x.limits().Retry)
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

func (x *executor) situation(a lease.Authority) orders.Situation {
	s := orders.Situation{
		Now: x.p.clock(), Authority: a, Checked: x.engine.checks, Limits: x.limits(),
		Engine: x.p.fold.changes.Engine(x.engine.name),
	}
	if open := s.Engine.Open(); open != nil {
		s.Drained, s.Waiting = x.p.drained(x.engine.name, open.Drain)
		return s
	}
	if !x.p.w.calm && x.p.w.chance(0.3) {
		roles := []upstream.Role{upstream.RolePrefill, upstream.RoleDecode, upstream.RoleMixed}
		s.Want = &orders.Want{
			ID: x.p.w.id("change"), Kind: upstream.OrderRole,
			Target: orders.Settings{Role: roles[x.p.w.rng.IntN(len(roles))]}, Reason: "trial",
		}
	}
	return s
}

func (x *executor) append(action orders.Action) {
	x.p.append(journal.KindOrder, x.p.w.id("entry"), action.Record.Encode(), func(at journal.Position, err error) {
		e := x.p.fold.changes.Engine(x.engine.name)
		x.contact.AppendDone(err == nil && e.Last == at, x.p.clock(), x.limits().Retry)
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
