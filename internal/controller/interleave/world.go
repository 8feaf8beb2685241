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

// Times of an interleaving, in virtual time.
const (
	faultTime = 30 * time.Second
	calmTime  = 25 * time.Second
	term      = 3 * time.Second
	renew     = time.Second
	drift     = 0.2
	settle    = time.Second
	listLag   = 3 * time.Second
)

// Scopes and engines of the played data centre.
const (
	scopeFenced   = "a/fenced"
	scopeUnfenced = "a/unfenced"
)

var scopes = []string{scopeFenced, scopeUnfenced}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// world is one interleaving.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	queue  eventQueue
	seq    int
	ids    int
	mutant string
	report *prove.Report
	// stalls is how often a controller is paused just before a write.
	stalls float64
	// calm ends all faults, so that what was begun must come to an end.
	calm bool

	log       *log
	engines   map[string]*engine
	order     []string
	machines  []*instance
	entries   []*entry
	truth     fold
	truthRead int
}

// fold is what one reader has made of the log.
type fold struct {
	leases  *lease.State
	changes *orders.State
}

func newFold() fold {
	leases := &lease.State{}
	return fold{leases: leases, changes: orders.NewState(leases)}
}

func newWorld(seed uint64, mutant string, r *prove.Report) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), mutant: mutant, report: r,
		engines: map[string]*engine{}, truth: newFold(),
	}
	w.stalls = w.rng.Float64() * 0.3
	w.log = &log{w: w, landed: map[string]bool{}}
	w.addEngine("e1", true)
	w.addEngine("e2", true)
	w.addEngine("u1", false)
	w.addEngine("u2", false)
	for _, name := range []string{"i1", "i2", "i3"} {
		m := &instance{w: w, name: name, listed: true, rate: 1 + (w.rng.Float64()-0.5)*drift}
		w.machines = append(w.machines, m)
		w.after(w.upTo(200*time.Millisecond), m.start)
	}
	for _, name := range []string{"n1", "n2"} {
		n := &entry{w: w, name: name}
		w.entries = append(w.entries, n)
		n.start()
	}
	w.outages()
	return w
}

func (w *world) addEngine(name string, checks bool) {
	w.engines[name] = &engine{w: w, name: name, checks: checks, incarnation: w.id("engine"), role: "mixed"}
	w.order = append(w.order, name)
	w.engines[name].live()
}

// run plays the faults, then the calm.
func (w *world) run() {
	w.until(faultTime)
	w.calm = true
	for _, m := range w.machines {
		m.revive()
	}
	w.until(faultTime + calmTime)
	w.checkEnd()
}

func (w *world) until(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// after lets something happen after a delay.
func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + max(d, 0), seq: w.seq, run: run})
}

// chance is true with a probability.
func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// fault is true with a probability, as long as there are faults.
func (w *world) fault(p float64) bool { return !w.calm && w.chance(p) }

// upTo returns a random duration below a bound.
func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *world) id(kind string) string {
	w.ids++
	return kind + "-" + strconv.Itoa(w.ids)
}

// epoch is the wall clock at the beginning of an interleaving.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
