// Package notify wakes all goroutines that wait for a change of some state.
package notify

import "sync"

// Broadcaster signals changes by closing a channel, which is replaced after each
// change. It is safe for concurrent use; the zero value is ready to use.
type Broadcaster struct {
	mu      sync.Mutex
	changed chan struct{}
}

// Changed returns a channel that is closed at the next change. Get the channel before
// reading the state, so that no change between the two is missed.
func (c *Broadcaster) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.channel()
}

// Broadcast signals a change to all waiting goroutines.
func (c *Broadcaster) Broadcast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.channel())
	c.changed = nil
}

func (c *Broadcaster) channel() chan struct{} {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}
