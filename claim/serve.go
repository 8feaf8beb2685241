package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/journal"
)

// Stats is what a Guard knows of itself.
type Stats struct {
	// Keys is the number of keys and decided attempts known.
	Keys int
	// Complete is whether every claim of the last Remember is known.
	Complete bool
	// Active is the number of calls and background appends under way.
	Active int
	// Dropped counts outcomes and withdrawals that were given up; their resends
	// are told that the call may have run.
	Dropped int
	// Corrupt counts entries that could not be decoded.
	Corrupt int
}

// checkpointLooks is how often per retention a Guard looks whether a
// checkpoint is due.
const checkpointChecksPerRetention = 120

// Serve writes checkpoints when they are due, until ctx ends. Then it takes no
// more calls, waits up to DrainTimeout for those under way and their outcomes,
// and returns.
func (g *Guard) Serve(ctx context.Context) error {
	tick := time.NewTicker(max(g.cfg.Retention/checkpointChecksPerRetention, time.Millisecond))
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C:
			g.checkpoint(ctx)
		case <-ctx.Done():
		}
	}
	g.drain()
	return ctx.Err()
}

// checkpoint writes a checkpoint if one is due. If a part can't be appended
// the rest is left; the next look starts a new one.
func (g *Guard) checkpoint(ctx context.Context) {
	// Asked before the ledger is looked at: all up to here is in the ledger.
	applied := g.journal.Applied()
	var parts []journal.Entry
	g.withCore(func() {
		now := time.Now()
		if g.core.CheckpointDue(now, now.Round(0)) {
			parts = g.core.Checkpoint(applied)
		}
	})
	for _, e := range parts {
		if !g.appendOnce(ctx, e) {
			return
		}
	}
}

// drain lets calls and appends end, for DrainTimeout at most.
func (g *Guard) drain() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	timeout := time.NewTimer(g.cfg.DrainTimeout)
	defer timeout.Stop()
	defer g.cancel()
	for g.Stats().Active > 0 {
		select {
		case <-g.ended:
		case <-timeout.C:
			return
		}
	}
}

// AcceptGap is an operator's act. Earlier records expired before this process
// read them, and no checkpoint tells what they said, as at the first start on
// a log that is already in use. The operator accepts that calls with plain
// keys from before are forgotten. It does nothing if the history is complete.
//
// No process may have the complete history then: it would still hold keys that
// this one takes as free. A checkpoint follows at once, as the gap of a process
// that started later is wider than the one accepted.
func (g *Guard) AcceptGap(ctx context.Context) error {
	var parts []journal.Entry
	g.withCore(func() { parts = g.core.AcceptGap() })
	if len(parts) == 0 {
		return nil
	}
	if err := g.appendAll(ctx, parts); err != nil {
		return err
	}
	applied := g.journal.Applied()
	parts = nil
	g.withCore(func() {
		// Not if more has expired meanwhile: it would tell of too little.
		if g.core.Ledger().Complete() {
			parts = g.core.Checkpoint(applied)
		}
	})
	return g.appendAll(ctx, parts)
}

func (g *Guard) appendAll(ctx context.Context, entries []journal.Entry) error {
	for _, e := range entries {
		if _, err := g.journal.Append(ctx, e); err != nil {
			return eris.Wrap(err, "claim: accept gap")
		}
	}
	return nil
}

// Stats returns counts for a metrics page.
func (g *Guard) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.core.Ledger()
	return Stats{
		Keys:     l.Len(),
		Complete: l.Complete(),
		Active:   g.active,
		Dropped:  g.dropped,
		Corrupt:  l.Corrupt(),
	}
}
