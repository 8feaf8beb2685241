package relay

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// queue holds the requests of one rule that wait for capacity. Requests that can meet
// their objective precede late ones; among equals it is first in, first out.
type queue struct {
	mu      sync.Mutex
	waiting waiters
	seq     uint64
}

type waiter struct {
	late  bool
	seq   uint64
	index int
	// wake receives a token when the waiter should try again.
	wake chan struct{}
}

// recheckInterval is how often the first waiter tries again without being woken: limits
// and exclusions of upstreams end without a signal.
const recheckInterval = 10 * time.Millisecond

// await calls try until it returns true, the context ends, or until has passed. It keeps
// the order of the queue.
func (q *queue) await(ctx context.Context, late bool, until time.Time, try func() bool) bool {
	q.mu.Lock()
	if !q.hasPrecedence(late) && try() {
		q.mu.Unlock()
		return true
	}
	q.seq++
	w := &waiter{late: late, seq: q.seq, wake: make(chan struct{}, 1)}
	heap.Push(&q.waiting, w)
	q.mu.Unlock()

	timer := time.NewTimer(min(recheckInterval, time.Until(until)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			q.remove(w)
			return false
		case <-w.wake:
		case <-timer.C:
			timer.Reset(max(0, min(recheckInterval, time.Until(until))))
		}
		if q.tryFirst(w, try) {
			return true
		}
		if !time.Now().Before(until) {
			q.remove(w)
			return false
		}
	}
}

// hasPrecedence reports whether a waiter precedes a newcomer.
func (q *queue) hasPrecedence(late bool) bool {
	return len(q.waiting) > 0 && (late || !q.waiting[0].late)
}

// tryFirst calls try if w is the first waiter, and wakes the next one on success.
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

func (q *queue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	heap.Remove(&q.waiting, w.index)
	q.wakeFirst()
}

// wake lets the first waiter try again, because capacity may have become free.
func (q *queue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

// empty reports whether there are no waiters.
func (q *queue) empty() bool { return q.length() == 0 }

// length returns the number of waiters.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func (q *queue) wakeFirst() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.waiting[0].wake <- struct{}{}:
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
