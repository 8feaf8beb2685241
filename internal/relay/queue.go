package relay

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// queue holds the requests of one rule that wait for a place: those that can be
// in time before those that are late, and among equals the one that came first.
type queue struct {
	mu      sync.Mutex
	waiting waiters
	seq     uint64
}

type waiter struct {
	late  bool
	seq   uint64
	index int
	// turn gets a token when it is worth trying again.
	turn chan struct{}
}

// recheck is how often a waiting request looks again by itself: rates and holds
// of upstreams change without a signal.
const recheck = 10 * time.Millisecond

// await calls try until it returns true, the context ends, or a time has come.
// Late requests, and those that came later, don't overtake.
func (q *queue) await(ctx context.Context, late bool, until time.Time, try func() bool) bool {
	q.mu.Lock()
	if !q.ahead(late) && try() {
		q.mu.Unlock()
		return true
	}
	q.seq++
	w := &waiter{late: late, seq: q.seq, turn: make(chan struct{}, 1)}
	heap.Push(&q.waiting, w)
	q.mu.Unlock()

	timer := time.NewTimer(min(recheck, time.Until(until)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			q.leave(w)
			return false
		case <-w.turn:
		case <-timer.C:
			timer.Reset(max(0, min(recheck, time.Until(until))))
		}
		if q.tryFirst(w, try) {
			return true
		}
		if !time.Now().Before(until) {
			q.leave(w)
			return false
		}
	}
}

// ahead reports whether someone waits who goes before a newcomer.
func (q *queue) ahead(late bool) bool {
	return len(q.waiting) > 0 && (late || !q.waiting[0].late)
}

// tryFirst tries if w is the first in line; the next one then gets its turn.
func (q *queue) tryFirst(w *waiter, try func() bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[0] != w || !try() {
		return false
	}
	heap.Remove(&q.waiting, w.index)
	q.wakeFirst()
	return true
}

func (q *queue) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	heap.Remove(&q.waiting, w.index)
	q.wakeFirst()
}

// wake gives the first in line a turn: a place may have come free.
func (q *queue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

// empty reports whether nobody waits.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0
}

func (q *queue) wakeFirst() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.waiting[0].turn <- struct{}{}:
	default:
	}
}

// waiters implements heap.Interface.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].late != w[j].late {
		return w[j].late
	}
	return w[i].seq < w[j].seq
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

func (w *waiters) Pop() any {
	old := *w
	item := old[len(old)-1]
	*w = old[:len(old)-1]
	return item
}
