package interleave

import (
	"time"

	"tamarackchute/journal"
)

// entry simulates an entry instance: it reads the journal, sends requests to engines that
// take work, and reports its position and request counts to the controllers.
type entry struct {
	w           *world
	name        string
	incarnation int
	state       logState
	recordsRead int
	inFlight    map[string]int
	pausedUntil time.Duration
	caughtUp    bool
}

// status is an entry's report to the controllers.
type status struct {
	entry       string
	incarnation int
	at          time.Duration
	applied     journal.Position
	inFlight    map[string]int
}

// start begins a new incarnation, which reads the whole journal before it serves.
func (n *entry) start() {
	n.incarnation++
	n.state = newLogState()
	n.recordsRead = 0
	n.caughtUp = false
	n.inFlight = map[string]int{}
	n.schedule(50*time.Millisecond, n.followLog)
	n.schedule(50*time.Millisecond, n.sendStatus)
	for range 2 {
		n.schedule(500*time.Millisecond, n.request)
	}
	n.schedule(30*time.Second, func() {
		if n.w.fault(0.5) {
			n.w.report.Event("entry restarted")
			n.start()
		}
	})
}

// schedule runs a step within a time, delayed by pauses, unless the entry has been
// restarted.
func (n *entry) schedule(within time.Duration, run func()) {
	incarnation := n.incarnation
	var step func()
	step = func() {
		if n.incarnation != incarnation {
			return
		}
		if n.w.fault(0.01) {
			n.pausedUntil = max(n.pausedUntil, n.w.now+n.w.randDuration(3*time.Second))
		}
		if n.w.now < n.pausedUntil {
			n.w.schedule(n.pausedUntil-n.w.now, step)
			return
		}
		run()
	}
	n.w.schedule(n.w.randDuration(within), step)
}

func (n *entry) followLog() {
	if !n.w.simLog.down {
		n.w.catchUp(&n.state, &n.recordsRead, epoch.Add(n.w.now))
		n.caughtUp = true
	}
	n.schedule(200*time.Millisecond, n.followLog)
}

// request counts a request, then checks whether the engine takes work, and sends it.
func (n *entry) request() {
	if !n.caughtUp {
		n.schedule(500*time.Millisecond, n.request)
		return
	}
	name := n.w.engineNames[n.w.rng.IntN(len(n.w.engineNames))]
	if n.w.mutant == mutantCheckBeforeCount {
		n.checkBeforeCount(name)
		return
	}
	n.inFlight[name]++
	n.schedule(n.queueDelay(), func() {
		if n.state.changes.Engine(name).TakesWork() {
			n.send(name)
			return
		}
		n.inFlight[name]--
		n.schedule(500*time.Millisecond, n.request)
	})
}

// queueDelay returns how long a request waits within the entry.
func (n *entry) queueDelay() time.Duration {
	if n.w.chance(0.2) {
		return 2 * time.Second
	}
	return 20 * time.Millisecond
}

// checkBeforeCount checks and counts in the wrong order, for mutantCheckBeforeCount.
func (n *entry) checkBeforeCount(name string) {
	takesWork := n.state.changes.Engine(name).TakesWork()
	n.schedule(n.queueDelay(), func() {
		if takesWork {
			n.inFlight[name]++
			n.send(name)
			return
		}
		n.schedule(500*time.Millisecond, n.request)
	})
}

func (n *entry) send(name string) {
	e := n.w.engines[name]
	end := func() {
		n.schedule(10*time.Millisecond, func() {
			n.inFlight[name]--
			n.schedule(500*time.Millisecond, n.request)
		})
	}
	sender := n.incarnation
	e.receive(func() {
		if sender != n.incarnation {
			// The connection closed with its sender, and nobody waits for the response.
			return
		}
		if e.busy {
			end()
			return
		}
		e.running++
		incarnation := e.incarnation
		n.w.schedule(n.w.randDuration(time.Second), func() {
			if e.incarnation == incarnation {
				e.running--
			}
			end()
		})
	}, end)
}

// sendStatus sends a status. The position is read before the counts.
func (n *entry) sendStatus() {
	s := status{entry: n.name, incarnation: n.incarnation, at: n.w.now, inFlight: map[string]int{}}
	if n.recordsRead > 0 {
		s.applied = n.w.simLog.records[n.recordsRead-1].Position
	}
	n.schedule(10*time.Millisecond, func() {
		n.deliver(n.withCounts(s))
		n.schedule(300*time.Millisecond, n.sendStatus)
	})
}

func (n *entry) withCounts(s status) status {
	for name, count := range n.inFlight {
		s.inFlight[name] = count
	}
	return s
}

func (n *entry) deliver(s status) {
	for _, m := range n.w.instances {
		if n.w.fault(0.1) {
			continue
		}
		n.w.schedule(n.w.randDuration(50*time.Millisecond), func() { m.receiveStatus(s) })
	}
}

// receiveStatus records a status unless a newer one has been received.
func (m *instance) receiveStatus(s status) {
	p := m.process
	if p == nil {
		return
	}
	old, ok := p.statuses[s.entry]
	if ok && (s.incarnation < old.incarnation || s.at <= old.at) {
		return
	}
	p.statuses[s.entry] = s
}

// drained applies the rule of controller.StatusTracker.Drained.
func (p *process) drained(engine string, drain journal.Position) (bool, string) {
	for _, n := range p.w.entries {
		s, ok := p.statuses[n.name]
		if !ok || p.w.now-s.at > 5*time.Second {
			return false, "no recent status"
		}
		if s.applied.Less(drain) && p.w.mutant != mutantUnacknowledgedDrain {
			return false, "not applied"
		}
		if s.inFlight[engine] > 0 {
			return false, "in flight"
		}
	}
	return true, ""
}
