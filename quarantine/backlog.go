package quarantine

import (
	"context"
	"time"

	"tamarackchute/journal"
)

// maxPending bounds the entries kept for a log that is down; the oldest go
// first, for they are the first to have lost their meaning.
const maxPending = 256

// keep puts an entry aside that the log didn't take, or perhaps did: its ID
// makes it count once.
func (g *Guard) keep(e journal.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pending) == maxPending {
		g.pending = append(g.pending[:0], g.pending[1:]...)
	}
	g.pending = append(g.pending, e)
}

// The times at which Serve works off the backlog and looks for checkpoints.
const flushPeriod = time.Second

// Serve appends what the log didn't take at first and repeats what it is about
// to forget, until ctx ends. retention is how long the log keeps a record.
func (g *Guard) Serve(ctx context.Context, retention time.Duration) error {
	t := time.NewTicker(flushPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			g.flush(ctx)
			g.appendAll(ctx, g.due(retention))
		}
	}
}

func (g *Guard) flush(ctx context.Context) {
	g.mu.Lock()
	entries := g.pending
	g.pending = nil
	g.mu.Unlock()
	for i, e := range entries {
		if _, err := g.w.Append(ctx, e); err != nil {
			for _, left := range entries[i:] {
				g.keep(left)
			}
			return
		}
	}
}

func (g *Guard) appendAll(ctx context.Context, entries []journal.Entry) {
	for _, e := range entries {
		if _, err := g.w.Append(ctx, e); err != nil {
			return
		}
	}
}
