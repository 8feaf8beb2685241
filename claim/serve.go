package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/journal"
)

// Stats holds statistics of a Guard.
type Stats struct {
	// Keys is the number of known keys and of rejected or withdrawn attempts.
	Keys int
	// Complete says that every claim of the last KeyTTL is known.
	Complete bool
	// Active is the number of active calls, dispatches and background appends.
	Active int
	// Dropped counts outcomes and withdrawals that were given up; retries of
	// their calls get MayHaveRun.
	Dropped int
	// Corrupt counts entries that couldn't be decoded.
	Corrupt int
}

// checkpointChecksPerRetention is how often per retention a Guard checks whether
// a checkpoint is due.
const checkpointChecksPerRetention = 120

// Serve writes checkpoints when they are due, until ctx ends. Then it refuses new
// calls, waits up to DrainTimeout for active calls and their outcomes, and
// returns.
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

// checkpoint writes a checkpoint if one is due. If a part can't be appended the
// others are skipped; the next check starts a new checkpoint.
func (g *Guard) checkpoint(ctx context.Context) {
	// Called before the ledger is read, so that the ledger includes all entries
	// up to this position.
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

// drain waits for calls and appends to end, for DrainTimeout at most.
func (g *Guard) drain() {
	g.mu.Lock()
	g.shuttingDown = true
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

// AcceptGap lets an operator accept that earlier calls with untimed keys are
// forgotten: records expired before this process read them and no checkpoint
// covers them, as at the first start on a log in use. It does nothing if the
// history is complete.
//
// It must not be called while any process has the complete history, as that one
// still holds keys which this one treats as free. A checkpoint follows at once,
// as a process that started later has a wider gap than the accepted one.
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
		// Not if more records have expired meanwhile: it would lack them.
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

// Stats returns the current statistics.
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
