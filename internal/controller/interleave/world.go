package interleave

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"tamarackchute/internal/prove"
	"tamarackchute/lease"
	"tamarackchute/orders"
)

// Durations of an interleaving, in virtual time.
const (
	faultPhase    = 30 * time.Second
	recoveryPhase = 25 * time.Second
	term          = 3 * time.Second
	renew         = time.Second
	drift         = 0.2
	settle        = time.Second
	listLag       = 3 * time.Second
)

// Scopes of the simulated data centre.
const (
	scopeFenced   = "a/fenced"
	scopeUnfenced = "a/unfenced"
)

var scopes = []string{scopeFenced, scopeUnfenced}

// scheduledEvent is a function to run at a virtual time. Events at the same time run in the
// order in which they were scheduled.
type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// world is the simulation of one interleaving.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	queue  eventQueue
	seq    int
	ids    int
	mutant string
	report *prove.Report
	// pauseProbability scales the probability of a pause, stop or kill around a write.
	pauseProbability float64
	// faultsEnded disables all faults, after which every open change must end.
	faultsEnded bool

	simLog        *simLog
	engines       map[string]*engine
	engineNames   []string
	instances     []*instance
	entries       []*entry
	reference     logState
	referenceRead int
}

// logState is the state that a reader has built from the log.
type logState struct {
	leases  *lease.State
	changes *orders.State
}

func newLogState() logState {
	leases := &lease.State{}
	return logState{leases: leases, changes: orders.NewState(leases)}
}

func newWorld(seed uint64, mutant string, r *prove.Report) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), mutant: mutant, report: r,
		engines: map[string]*engine{}, reference: newLogState(),
	}
	w.pauseProbability = w.rng.Float64() * 0.3
	w.simLog = &simLog{w: w, written: map[string]bool{}}
	w.addEngine("e1", true)
	w.addEngine("e2", true)
	w.addEngine("u1", false)
	w.addEngine("u2", false)
	for _, name := range []string{"i1", "i2", "i3"} {
		m := &instance{w: w, name: name, listed: true, clockRate: 1 + (w.rng.Float64()-0.5)*drift}
		w.instances = append(w.instances, m)
		w.schedule(w.randDuration(200*time.Millisecond), m.start)
	}
	for _, name := range []string{"n1", "n2"} {
		n := &entry{w: w, name: name}
		w.entries = append(w.entries, n)
		n.start()
	}
	w.scheduleOutages()
	return w
}

func (w *world) addEngine(name string, enforcesFencing bool) {
	w.engines[name] = &engine{w: w, name: name, enforcesFencing: enforcesFencing, incarnation: w.id("engine"), role: "mixed"}
	w.engineNames = append(w.engineNames, name)
	w.engines[name].scheduleFaults()
}

// run runs the fault phase and the recovery phase, then the final checks.
func (w *world) run() {
	w.runUntil(faultPhase)
	w.faultsEnded = true
	for _, m := range w.instances {
		m.restart()
	}
	w.runUntil(faultPhase + recoveryPhase)
	w.checkFinalState()
}

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(scheduledEvent)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// schedule runs a function after a delay.
func (w *world) schedule(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, scheduledEvent{at: w.now + max(d, 0), seq: w.seq, run: run})
}

// chance returns true with probability p.
func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// fault returns true with probability p, and false once the faults have ended.
func (w *world) fault(p float64) bool { return !w.faultsEnded && w.chance(p) }

// randDuration returns a random duration below d.
func (w *world) randDuration(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *world) id(kind string) string {
	w.ids++
	return kind + "-" + strconv.Itoa(w.ids)
}

// epoch is the wall-clock time at the start of an interleaving.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
