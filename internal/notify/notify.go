// Package notify wakes everybody who waits for a change of some state.
package notify

import "sync"

// Broadcaster is a channel that closes at the next change, made anew each time. It
// is safe for use by many goroutines; the zero value is ready.
type Broadcaster struct {
	mu   sync.Mutex
	next chan struct{}
}

// Changed returns a channel that closes with the next change. Take the channel
// before looking at the state, so that no change falls between the two.
func (c *Broadcaster) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.channel()
}

// Broadcast tells everybody who waits that the state has changed.
func (c *Broadcaster) Broadcast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.channel())
	c.next = nil
}

func (c *Broadcaster) channel() chan struct{} {
	if c.next == nil {
		c.next = make(chan struct{})
	}
	return c.next
}
