package quarantine

import (
	"context"
	"time"

	"tamarackchute/journal"
)

// maxPending bounds the entries queued while the log is down. The oldest are
// dropped first, as they are the first to become irrelevant.
const maxPending = 256

// enqueue queues an entry whose append failed or has an unknown outcome. Its ID
// makes a second copy in the log harmless.
func (g *Guard) enqueue(e journal.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addPending(e)
}

// flushPeriod is the interval at which Serve retries the backlog and writes the
// checkpoints that are due.
const flushPeriod = time.Second

// Serve retries failed appends and writes checkpoints of entries that are about
// to expire, until ctx ends. retention is how long the log keeps a record.
func (g *Guard) Serve(ctx context.Context, retention time.Duration) error {
	t := time.NewTicker(flushPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			g.flush(ctx)
			if g.writesCheckpoints() {
				g.appendAll(ctx, g.due(retention))
				g.appendAll(ctx, g.likely(g.unconfirmedDigests()))
			}
		}
	}
}

func (g *Guard) flush(ctx context.Context) {
	g.mu.Lock()
	entries := g.pending
	g.pending = nil
	g.mu.Unlock()
	for i, e := range entries {
		if _, err := g.journal.Append(ctx, e); err != nil {
			for _, left := range entries[i:] {
				g.enqueue(left)
			}
			return
		}
	}
}

func (g *Guard) appendAll(ctx context.Context, entries []journal.Entry) {
	for _, e := range entries {
		if _, err := g.journal.Append(ctx, e); err != nil {
			return
		}
	}
}
