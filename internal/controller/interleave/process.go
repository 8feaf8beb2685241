package interleave

import (
	"time"

	"tamarackchute/journal"
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
