package usage

import (
	"slices"
	"sync"
	"time"
)

// Clock estimates the true time from the clocks of many machines: the median of their
// differences to this machine's steady clock. A few that were set wrong have no effect.
type Clock struct {
	mu sync.Mutex
	// offsets are the differences of the clocks of other machines, by source.
	offsets map[string]time.Duration
	// steady and wall read this machine's clocks. The steady one doesn't stand still while the
	// machine is suspended.
	steady func() time.Duration
	wall   func() time.Time
}

// NewClock returns a clock over this machine's clocks.
func NewClock(steady func() time.Duration, wall func() time.Time) *Clock {
	return &Clock{offsets: make(map[string]time.Duration), steady: steady, wall: wall}
}

// Observe records another machine's time, just received.
func (c *Clock) Observe(source string, wall time.Time) {
	offset := time.Duration(wall.UnixNano()) - c.steady()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsets[source] = offset
}

// Forget removes a machine.
func (c *Clock) Forget(source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.offsets, source)
}

// Now returns the estimate of the true time.
func (c *Clock) Now() time.Time {
	steady := c.steady()
	all := []time.Duration{time.Duration(c.wall().UnixNano()) - steady}
	c.mu.Lock()
	for _, offset := range c.offsets {
		all = append(all, offset)
	}
	c.mu.Unlock()
	slices.Sort(all)
	return time.Unix(0, int64(steady+all[(len(all)-1)/2]))
}
