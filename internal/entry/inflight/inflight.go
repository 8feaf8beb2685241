// Package inflight counts an entry's requests at each engine for the drains
// that precede orders.
package inflight

import (
	"sync/atomic"

	"tamarackchute/journal"
	"tamarackchute/orders"
)

// Orders tells which engines are being drained or changed; orders.View is one.
type Orders interface {
	Snapshot() *orders.Snapshot
}

// Applied tells the place in the log up to which every entry has been folded;
// journal.Journal.Applied is one.
type Applied func() journal.Position

// Book counts requests at engines. It is safe for use by many goroutines.
type Counter struct {
	orders  Orders
	applied Applied
	counts  map[string]*atomic.Int64
}

// NewBook returns a book for the engines named.
func NewCounter(o Orders, a Applied, engines []string) *Counter {
	c := &Counter{orders: o, applied: a, counts: make(map[string]*atomic.Int64, len(engines))}
	for _, name := range engines {
		c.counts[name] = new(atomic.Int64)
	}
	return c
}

// Hold counts a request at an engine and reports whether it may go there. If it
// may, the caller must Release it.
//
// It counts first and asks second, which guards against a drain that is applied
// between the pick and the sending: asked first, the request could be missing
// from the counts that acknowledge the drain, and then be cut off by the order.
func (c *Counter) Reserve(engine string) bool {
	count := c.counts[engine]
	if count == nil {
		return false
	}
	count.Add(1)
	if c.orders.Snapshot().Engine(engine).TakesWork() {
		return true
	}
	count.Add(-1)
	return false
}

// Release uncounts a held request.
func (c *Counter) Release(engine string) {
	if n := c.counts[engine].Add(-1); n < 0 {
		panic("inflight: released more often than held: " + engine)
	}
}

// Status returns the place in the log up to which drains are obeyed, and the
// engines that have requests. The position is read before the counts: a request
// counted too late for it can't have been let through after it.
func (c *Counter) Status() (journal.Position, map[string]int) {
	applied := c.applied()
	busy := map[string]int{}
	for name, count := range c.counts {
		if n := count.Load(); n > 0 {
			busy[name] = int(n)
		}
	}
	return applied, busy
}
