package admission

import (
	"container/heap"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// item is one waiting request in a fair queue.
type item struct {
	org      string
	priority int
	cost     float64
	waiter   *waiter
	flow     *flow
	removed  bool
}

// flow holds the waiting requests of one organisation at one priority.
type flow struct {
	org     string
	finish  float64 // virtual finish time of its last served request
	start   float64 // virtual start time of its first waiting request
	seq     uint64  // order in which the flow became active; breaks ties
	items   []*item // in order of arrival; removed ones are dropped lazily
	live    int     // number of items that aren't removed
	cost    float64 // total cost of those
	heapPos int
}

// fairQueue orders waiting requests by priority, then by start-time fair queueing:
// an organisation's requests get virtual start times spaced by their cost, and the
// least goes first. It is work-conserving, since virtual time advances only as
// requests are served.
type fairQueue struct {
	levels  []*level // highest priority first
	maxIdle int      // bound on the remembered idle flows of each level
	len     int
	cost    float64
	seq     uint64
}

// level holds the waiting requests of one priority.
type level struct {
	priority   int
	virtual    float64
	flows      map[string]*flow
	ready      flowHeap
	idleFinish *simplelru.LRU[string, float64] // finish times of idle flows
	cost       float64
	live       int
}

func newFairQueue(idle int) *fairQueue { return &fairQueue{maxIdle: max(1, idle)} }

// level returns the level of a priority, and creates it if needed.
func (q *fairQueue) level(priority int) *level {
	i, ok := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int { return p - l.priority })
	if ok {
		return q.levels[i]
	}
	// The size is at least 1, so that NewLRU can't fail.
	idleFinish, _ := simplelru.NewLRU[string, float64](q.maxIdle, nil)
	l := &level{priority: priority, flows: map[string]*flow{}, idleFinish: idleFinish}
	q.levels = slices.Insert(q.levels, i, l)
	return l
}

// push appends a request to its organisation's flow.
func (q *fairQueue) push(it *item) {
	l := q.level(it.priority)
	f := l.flows[it.org]
	if f == nil {
		f = l.reactivate(it.org)
	}
	it.flow = f
	f.items = append(f.items, it)
	f.live++
	f.cost += it.cost
	l.cost += it.cost
	l.live++
	q.cost += it.cost
	q.len++
	if f.live == 1 {
		q.seq++
		f.seq = q.seq
		f.start = max(l.virtual, f.finish)
		heap.Push(&l.ready, f)
	}
}

// reactivate creates an organisation's flow, with its finish time if remembered.
func (l *level) reactivate(org string) *flow {
	f := &flow{org: org}
	if finish, ok := l.idleFinish.Peek(org); ok {
		f.finish = finish
		l.idleFinish.Remove(org)
	}
	l.flows[org] = f
	return f
}

// peek returns the request that goes next, or nil if none waits.
func (q *fairQueue) peek() *item {
	for _, l := range q.levels {
		if len(l.ready) > 0 {
			return l.ready[0].first()
		}
	}
	return nil
}

// first returns the first item that isn't removed. There is one while the flow is
// in the heap.
func (f *flow) first() *item {
	for f.items[0].removed {
		f.items[0] = nil
		f.items = f.items[1:]
	}
	return f.items[0]
}

// pop removes and returns the request that peek returns.
func (q *fairQueue) pop() *item {
	it := q.peek()
	if it == nil {
		return nil
	}
	l := q.level(it.priority)
	f := it.flow
	l.virtual = max(l.virtual, f.start)
	f.finish = f.start + it.cost
	q.take(l, it)
	return it
}

// remove removes a request without serving it. Its organisation isn't charged.
func (q *fairQueue) remove(it *item) {
	if it.removed {
		return
	}
	q.take(q.level(it.priority), it)
}

func (q *fairQueue) take(l *level, it *item) {
	f := it.flow
	it.removed = true
	f.live--
	f.cost -= it.cost
	l.cost -= it.cost
	l.live--
	q.cost -= it.cost
	q.len--
	if f.live == 0 {
		heap.Remove(&l.ready, f.heapPos)
		l.deactivate(f)
		return
	}
	f.first()
	f.start = max(f.start, f.finish)
	heap.Fix(&l.ready, f.heapPos)
}

// deactivate drops an empty flow, and remembers its finish time if that lies ahead
// of the virtual time. An organisation whose finish time is evicted may be served
// one request's cost too much, once.
func (l *level) deactivate(f *flow) {
	delete(l.flows, f.org)
	if f.finish > l.virtual {
		l.idleFinish.Add(f.org, f.finish)
	}
	if len(l.ready) == 0 {
		// The level is idle: past service doesn't count against the next arrivals.
		l.idleFinish.Purge()
		l.cost = 0
	}
}

// charge adjusts an organisation's account by the difference between a request's
// actual and estimated cost.
func (q *fairQueue) charge(org string, priority int, difference float64) {
	l := q.level(priority)
	if f := l.flows[org]; f != nil {
		f.finish += difference
		return
	}
	if finish, ok := l.idleFinish.Peek(org); ok {
		l.idleFinish.Add(org, finish+difference)
	}
}

// ahead is the cost of what will be served before a new request.
func (q *fairQueue) ahead(org string, priority int) float64 {
	var own float64
	for _, l := range q.levels {
		if l.priority != priority {
			continue
		}
		if f := l.flows[org]; f != nil {
			own = f.cost
		}
	}
	return q.aheadOf(priority, own)
}

// aheadOf is the cost of what will be served before a request with cost own of its
// organisation's ahead of it: everything of higher priority and, at its own, as much
// of each other organisation.
func (q *fairQueue) aheadOf(priority int, own float64) float64 {
	var sum float64
	for _, l := range q.levels {
		if l.priority < priority {
			break
		}
		if l.priority > priority {
			sum += l.cost
			continue
		}
		sum += min(l.cost, own+l.fairShare(own))
	}
	return sum
}

// fairShare is the cost that a level's organisations are served while one of them is
// served own; at least one mean request each.
func (l *level) fairShare(own float64) float64 {
	if len(l.ready) == 0 {
		return 0
	}
	mean := l.cost / float64(l.live)
	return max(own, mean) * float64(len(l.ready))
}

// visit calls f for each waiting request with the cost of its organisation's
// requests ahead of it. f must not change the queue.
func (q *fairQueue) visit(f func(it *item, own float64)) {
	for _, l := range q.levels {
		for _, fl := range l.ready {
			var own float64
			for _, it := range fl.items {
				if it != nil && !it.removed {
					f(it, own)
					own += it.cost
				}
			}
		}
	}
}

// flowHeap is a heap of flows by start time.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPos = i
	h[j].heapPos = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapPos = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
