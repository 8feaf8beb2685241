package interleave

import (
	"time"

	"tamarackchute/journal"
)

// instance runs one controller process at a time.
type instance struct {
	w         *world
	name      string
	clockRate float64
	process   *process
	// listed is whether the platform's list names the instance; if not, goneAt is when it
	// was removed.
	listed bool
	goneAt time.Duration
}

// process is one run of the controller.
type process struct {
	w           *world
	instance    *instance
	incarnation string
	running     bool
	pausedUntil time.Duration
	state       logState
	recordsRead int
	statuses    map[string]status
	keepers     map[string]*keeper
}

// start runs a new process. It requires that the previous one is dead, since only then can
// the new one bind the address.
func (m *instance) start() {
	if m.process != nil || !m.listed {
		return
	}
	p := &process{
		w: m.w, instance: m, incarnation: m.w.id("run"), running: true, state: newLogState(),
		statuses: map[string]status{}, keepers: map[string]*keeper{},
	}
	m.process = p
	p.keepers[scopeFenced] = p.newKeeper(scopeFenced, false)
	p.keepers[scopeUnfenced] = p.newKeeper(scopeUnfenced, true)
	for _, name := range m.w.engineNames {
		p.newExecutor(m.w.engines[name])
	}
	p.followLog()
	m.scheduleEnd()
}

// scheduleEnd schedules a random end of the process: a kill, a graceful stop or the removal
// of the instance.
func (m *instance) scheduleEnd() {
	w, p := m.w, m.process
	w.schedule(w.randDuration(15*time.Second), func() {
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
			w.report.Event("instance removed")
			m.kill()
			m.listed = false
			m.goneAt = w.now
			w.schedule(listLag+w.randDuration(10*time.Second), func() { m.listed = true; m.start() })
			return
		default:
			m.scheduleEnd()
		}
	})
}

func (m *instance) kill() {
	if m.process == nil {
		return
	}
	m.process.running = false
	m.process = nil
	within := 8 * time.Second
	if m.w.chance(0.5) {
		within = 300 * time.Millisecond
	}
	m.w.schedule(m.w.randDuration(within), m.start)
}

// restart ends pauses and restarts dead controllers.
func (m *instance) restart() {
	m.listed = true
	if m.process != nil {
		m.process.pausedUntil = m.w.now
	}
	m.start()
}

func (p *process) clock() time.Time {
	return epoch.Add(time.Duration(float64(p.w.now) * p.instance.clockRate))
}

// schedule runs a step within a time. The process may be paused before any step, for longer
// than a term.
func (p *process) schedule(within time.Duration, run func()) {
	p.w.schedule(p.w.randDuration(within), p.whenRunning(run))
}

// whenRunning wraps a step so that it waits while the process is paused and is dropped once
// the process is dead.
func (p *process) whenRunning(run func()) func() {
	var step func()
	step = func() {
		if !p.running {
			return
		}
		if p.w.fault(0.004) {
			p.w.report.Event("controller paused")
			p.pause(8 * time.Second)
		}
		if p.w.now < p.pausedUntil {
			p.w.schedule(p.pausedUntil-p.w.now, step)
			return
		}
		run()
	}
	return step
}

func (p *process) pause(within time.Duration) {
	p.pausedUntil = max(p.pausedUntil, p.w.now+p.w.randDuration(within))
}

func (p *process) followLog() {
	p.catchUp()
	p.schedule(100*time.Millisecond, p.followLog)
}

func (p *process) catchUp() {
	if !p.w.simLog.down {
		p.w.catchUp(&p.state, &p.recordsRead, p.clock())
	}
}

// append writes an entry. The reply is handled once the process's own reader has applied
// the entry.
func (p *process) append(kind journal.Kind, id string, body []byte, done func(journal.Position, error)) {
	e := journal.Entry{Kind: kind, ID: id, Body: body}
	if p.w.fault(p.w.pauseProbability / 4) {
		p.w.report.Event("controller paused before an append")
		p.pause(8 * time.Second)
	}
	p.schedule(10*time.Millisecond, func() {
		p.w.simLog.append(e, func(at journal.Position, err error) {
			p.whenRunning(func() { p.handleReply(at, err, done) })()
		})
	})
}

func (p *process) handleReply(at journal.Position, err error, done func(journal.Position, error)) {
	if err == nil && int(at.Offset) > p.recordsRead {
		if p.w.simLog.down {
			p.schedule(200*time.Millisecond, func() { p.handleReply(at, err, done) })
			return
		}
		p.catchUp()
	}
	done(at, err)
}

// stop ends the process as SIGTERM would: it finishes the steps in progress, releases its
// leases and exits.
func (p *process) stop() {
	for _, scope := range scopes {
		k := p.keepers[scope]
		k.stopping = true
		k.release()
	}
}

func (p *process) exitIfReleased() {
	for _, k := range p.keepers {
		if !k.released {
			return
		}
	}
	p.schedule(4*time.Second, func() {
		if p.instance.process == p {
			p.instance.kill()
		}
	})
}
