package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// queue holds requests that wait for capacity: the streams of one pool that callers take up, or the other requests of one rule.
// Those that can meet their objective precede late ones; among equals it is first in, first out. Requests that differ in
// the upstreams which they may use don't wait for each other: the first one of each choice tries.
type queue struct {
	mu  sync.Mutex
	seq uint64
	// lines are the waiters by choice, each in order. None is empty.
	lines map[string][]*waiter
}

// waitClass is the precedence of a waiting request. Lower ones go first.
type waitClass uint8

const (
	onTime waitClass = iota
	lateRequest
)

// turn is a request's position among the others.
type turn struct {
	class waitClass
	// choice tells requests apart that may use different upstreams.
	choice string
}

type waiter struct {
	turn
	seq uint64
	try func() bool
	// served says that a try has succeeded.
	served bool
	// wake receives a token when the waiter should try again.
	wake chan struct{}
}

const (
	// recheckInterval is how often the first waiter of a choice tries again without being woken: limits
	// and exclusions of upstreams end without a signal.
	recheckInterval = 10 * time.Millisecond
	// maxChoicesTried limits the choices of waiters that are tried before a request.
	maxChoicesTried = 8
)

// await calls try until it returns true, the context ends, or until has passed. It keeps the order of the queue: try may
// be called by other requests, one call at a time.
func (q *queue) await(ctx context.Context, t turn, until time.Time, try func() bool) bool {
	w := &waiter{turn: t, try: try, wake: make(chan struct{}, 1)}
	if q.enter(w) {
		return true
	}
	timer := time.NewTimer(q.recheckAfter(until))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return q.leave(w)
		case <-w.wake:
		case <-timer.C:
			timer.Reset(q.recheckAfter(until))
		}
		if q.tryFirst(w) {
			return true
		}
		if !time.Now().Before(until) {
			return q.leave(w)
		}
	}
}

// enter tries at once if no waiter of the same choice precedes w, and otherwise, or if that fails, adds it to the queue.
func (q *queue) enter(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seq++
	w.seq = q.seq
	if line := q.lines[w.choice]; (len(line) == 0 || w.precedes(line[0])) && q.tryInTurn(w) {
		return true
	}
	if q.lines == nil {
		q.lines = make(map[string][]*waiter)
	}
	line := q.lines[w.choice]
	i, _ := slices.BinarySearchFunc(line, w, (*waiter).compare)
	q.lines[w.choice] = slices.Insert(line, i, w)
	return false
}

// recheckAfter returns the time until the next try without a signal. Many choices share the work of one.
func (q *queue) recheckAfter(until time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	interval := recheckInterval * time.Duration(1+len(q.lines)/maxChoicesTried)
	return max(0, min(interval, time.Until(until)))
}

// tryFirst calls try if w is the first waiter of its choice, and wakes the next ones on success.
func (q *queue) tryFirst(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.served {
		return true
	}
	if q.lines[w.choice][0] != w || !q.tryInTurn(w) {
		return false
	}
	q.remove(w)
	q.wakeFirst()
	return true
}

// tryInTurn calls try after the waiters of other choices that precede w have tried. The caller holds q.mu.
func (q *queue) tryInTurn(w *waiter) bool {
	q.serveAll(func(first *waiter) bool { return first.choice != w.choice && first.precedes(w) })
	return w.try()
}

// offer lets the waiters try before a request that isn't in this queue. A nil queue has none.
func (q *queue) offer() {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serveAll(func(*waiter) bool { return true })
}

// serveAll lets waiters try in order, those of each choice until one fails, as long as they may. The caller holds q.mu.
func (q *queue) serveAll(may func(*waiter) bool) {
	var firsts []*waiter
	for _, line := range q.lines {
		if may(line[0]) {
			firsts = append(firsts, line[0])
		}
	}
	slices.SortFunc(firsts, (*waiter).compare)
	for _, first := range firsts[:min(len(firsts), maxChoicesTried)] {
		for first != nil && may(first) && first.try() {
			first = q.serve(first)
		}
	}
}

// serve removes a waiter whose try has succeeded and returns the next one of its choice, nil if there is none. The caller
// holds q.mu.
func (q *queue) serve(w *waiter) *waiter {
	w.served = true
	q.remove(w)
	w.notify()
	if line := q.lines[w.choice]; len(line) > 0 {
		return line[0]
	}
	return nil
}

// leave removes a waiter that gives up. It returns true if a try has succeeded meanwhile.
func (q *queue) leave(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !w.served {
		q.remove(w)
		q.wakeFirst()
	}
	return w.served
}

// remove removes a waiter. The caller holds q.mu.
func (q *queue) remove(w *waiter) {
	line := q.lines[w.choice]
	if len(line) == 1 {
		delete(q.lines, w.choice)
		return
	}
	i := slices.Index(line, w)
	q.lines[w.choice] = slices.Delete(line, i, i+1)
}

// wake lets the first waiters try again, because capacity may have become free.
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
	n := 0
	for _, line := range q.lines {
		n += len(line)
	}
	return n
}

// wakeFirst wakes the first waiter of each choice. The caller holds q.mu.
func (q *queue) wakeFirst() {
	for _, line := range q.lines {
		line[0].notify()
	}
}

func (w *waiter) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// compare orders waiters by precedence.
func (w *waiter) compare(other *waiter) int {
	return cmp.Or(cmp.Compare(w.class, other.class), cmp.Compare(w.seq, other.seq))
}

func (w *waiter) precedes(other *waiter) bool { return w.compare(other) < 0 }
