package engineclient

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Limits of the cancel requests that are sent when streams are closed.
const (
	maxCancels    = 256
	cancelTimeout = time.Second
)

// canceller sends cancel requests in the background, so that closing a stream
// never waits for an engine that doesn't respond.
type canceller struct {
	client *Client
	slots  chan struct{}
	tasks  conc.WaitGroup
}

func newCanceller(c *Client) *canceller {
	return &canceller{client: c, slots: make(chan struct{}, maxCancels)}
}

// send cancels an attempt. If maxCancels are in progress it does nothing: the
// engine then notices the closed connection when it sends the next token.
func (c *canceller) send(attemptID string) {
	select {
	case c.slots <- struct{}{}:
	default:
		return
	}
	c.tasks.Go(func() {
		defer func() { <-c.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = c.client.Cancel(ctx, attemptID)
	})
}

func (c *canceller) wait() { c.tasks.Wait() }
