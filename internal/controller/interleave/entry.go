package interleave

import (
	"time"

	"tamarackchute/journal"
)

// entry is an entry instance: it reads the journal, sends requests to engines
// that take work, and tells the controllers its position and counts.
type entry struct {
	w           *world
	name        string
	incarnation int
	fold        fold
	read        int
	inFlight    map[string]int
	pausedUntil time.Duration
	caughtUp    bool
}

// status is what an entry tells.
type status struct {
	entry       string
	incarnation int
	at          time.Duration
	applied     journal.Position
	inFlight    map[string]int
}

// start begins a new incarnation, which reads the whole journal before it
// serves.
func (n *entry) start() {
	n.incarnation++
	n.fold = newFold()
	n.read = 0
	n.caughtUp = false
	n.inFlight = map[string]int{}
	n.later(50*time.Millisecond, n.follow)
	n.later(50*time.Millisecond, n.tell)
	for range 2 {
		n.later(500*time.Millisecond, n.request)
	}
	n.later(30*time.Second, func() {
		if n.w.fault(0.5) {
			n.w.report.Event("entry restarted")
			n.start()
		}
	})
}

// later does a step within a time, held up by pauses, unless the entry has
// been restarted.
func (n *entry) later(within time.Duration, run func()) {
	incarnation := n.incarnation
	var step func()
	step = func() {
		if n.incarnation != incarnation {
			return
		}
		if n.w.fault(0.01) {
			n.pausedUntil = max(n.pausedUntil, n.w.now+n.w.upTo(3*time.Second))
		}
		if n.w.now < n.pausedUntil {
			n.w.after(n.pausedUntil-n.w.now, step)
			return
		}
		run()
	}
	n.w.after(n.w.upTo(within), step)
}

func (n *entry) follow() {
	if !n.w.log.down {
		n.w.catchUp(&n.fold, &n.read, epoch.Add(n.w.now))
		n.caughtUp = true
	}
	n.later(200*time.Millisecond, n.follow)
}

// request counts a request, then looks whether the engine takes work, and
// sends it.
func (n *entry) request() {
	if !n.caughtUp {
		n.later(500*time.Millisecond, n.request)
		return
	}
	name := n.w.order[n.w.rng.IntN(len(n.w.order))]
	if n.w.mutant == mutantLookFirst {
		n.lookFirst(name)
		return
	}
	n.inFlight[name]++
	n.later(n.queued(), func() {
		if n.fold.changes.Engine(name).TakesWork() {
			n.send(name)
			return
		}
		n.inFlight[name]--
		n.later(500*time.Millisecond, n.request)
	})
}

// queued is how long a request waits within the entry.
func (n *entry) queued() time.Duration {
	if n.w.chance(0.2) {
		return 2 * time.Second
	}
	return 20 * time.Millisecond
}

// lookFirst is the broken order of the two.
func (n *entry) lookFirst(name string) {
	takes := n.fold.changes.Engine(name).TakesWork()
	n.later(n.queued(), func() {
		if takes {
			n.inFlight[name]++
			n.send(name)
			return
		}
		n.later(500*time.Millisecond, n.request)
	})
}

func (n *entry) send(name string) {
	e := n.w.engines[name]
	end := func() {
		n.later(10*time.Millisecond, func() {
			n.inFlight[name]--
			n.later(500*time.Millisecond, n.request)
		})
	}
	sender := n.incarnation
	e.receive(func() {
		if sender != n.incarnation {
			// The connection broke with its sender, and nobody waits any more.
			return
		}
		if e.busy {
			end()
			return
		}
		e.running++
		incarnation := e.incarnation
		n.w.after(n.w.upTo(time.Second), func() {
			if e.incarnation == incarnation {
				e.running--
			}
			end()
		})
	}, end)
}

// tell sends a status. The position is read before the counts.
func (n *entry) tell() {
	s := status{entry: n.name, incarnation: n.incarnation, at: n.w.now, inFlight: map[string]int{}}
	if n.read > 0 {
		s.applied = n.w.log.records[n.read-1].Position
	}
	n.later(10*time.Millisecond, func() {
		n.deliver(n.counted(s))
		n.later(300*time.Millisecond, n.tell)
	})
}

func (n *entry) counted(s status) status {
	for name, count := range n.inFlight {
		s.inFlight[name] = count
	}
	return s
}

func (n *entry) deliver(s status) {
	for _, m := range n.w.machines {
		if n.w.fault(0.1) {
			continue
		}
		n.w.after(n.w.upTo(50*time.Millisecond), func() { m.take(s) })
	}
}

// take notes a status, unless a newer one has come.
func (m *instance) take(s status) {
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

// drained is the rule of controller.StatusTracker.
func (p *process) drained(engine string, drain journal.Position) (bool, string) {
	for _, n := range p.w.entries {
		s, ok := p.statuses[n.name]
		if !ok || p.w.now-s.at > 5*time.Second {
			return false, "no recent status"
		}
		if s.applied.Less(drain) && p.w.mutant != mutantNoAcknowledgement {
			return false, "not applied"
		}
		if s.inFlight[engine] > 0 {
			return false, "in flight"
		}
	}
	return true, ""
}
