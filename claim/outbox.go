package claim

import (
	"context"
	"time"

	"tamarackchute/journal"
)

// send appends a message in the background. The caller holds the lock.
func (g *Guard) send(m Message) {
	if g.sending >= g.cfg.MaxOutbox {
		g.dropped++
		g.core.Sent(m)
		return
	}
	g.sending++
	g.active++
	g.goroutines.Go(func() {
		defer g.end()
		sent := g.appendWithRetry(m.Entry)
		g.withCore(func() {
			g.sending--
			if !sent {
				g.dropped++
			}
			g.core.Sent(m)
		})
	})
}

// The timeout of one background append and the delay before the next attempt.
const (
	appendTimeout    = 10 * time.Second
	appendRetryDelay = 500 * time.Millisecond
)

// appendWithRetry appends an entry, with retries for up to RecordTimeout.
func (g *Guard) appendWithRetry(e journal.Entry) bool {
	ctx, cancel := context.WithTimeout(g.background, g.cfg.RecordTimeout)
	defer cancel()
	for {
		if g.appendOnce(ctx, e) {
			return true
		}
		if !sleep(ctx, appendRetryDelay) {
			return false
		}
	}
}

func (g *Guard) appendOnce(ctx context.Context, e journal.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := g.journal.Append(ctx, e)
	return err == nil
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
