// Package inflight counts an entry's requests at each engine, so that an order, such
// as a role change, waits until its engine is drained.
package inflight

import (
	"sync/atomic"

	"tamarackchute/journal"
	"tamarackchute/orders"
)

// Orders returns which engines are draining or changing; orders.View implements it.
type Orders interface {
	Snapshot() *orders.Snapshot
}

// Applied returns the position in the log up to which all entries have been applied;
// journal.Journal.Applied is one.
type Applied func() journal.Position

// Counter counts requests at engines. It is safe for concurrent use.
type Counter struct {
	orders  Orders
	applied Applied
	counts  map[string]*atomic.Int64
}

// NewCounter returns a counter for the named engines.
func NewCounter(o Orders, a Applied, engines []string) *Counter {
	c := &Counter{orders: o, applied: a, counts: make(map[string]*atomic.Int64, len(engines))}
	for _, name := range engines {
		c.counts[name] = new(atomic.Int64)
	}
	return c
}

// Reserve counts a request at an engine and reports whether it may be sent there; if
// so, Release must follow. It counts before it checks the orders: in the opposite
// order, a drain applied in between could be acknowledged with counts that lack the
// request, and the order would then cut it off.
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

// Release removes a reserved request from the count.
func (c *Counter) Release(engine string) {
	if n := c.counts[engine].Add(-1); n < 0 {
		panic("inflight: released more often than reserved: " + engine)
	}
}

// Status returns the log position up to which drains are applied, and the engines that
// have requests. The position is read before the counts: a request that they lack is
// checked against the orders only after the drains up to that position were applied.
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
