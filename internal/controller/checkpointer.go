package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"tamarackchute/journal"
	"tamarackchute/orders"
)

// Times of the checkpoints.
const (
	// checkpointPoll is the time between two looks at the engines' records.
	checkpointPoll = 5 * time.Second
	// checkpointFraction is the part of the retention after which a record is
	// repeated.
	checkpointFraction = 4
)

// Checkpointer repeats what the journal tells of the data centre's engines
// before the log's retention takes it. Without that, an engine whose scope has
// no leader for longer would look free to an entry that starts then, in the
// middle of its change. Every controller does it, a leader or not; who is
// first spares the others the work. It is a suture service.
type Checkpointer struct {
	engines   []string
	retention time.Duration
	// delay sets the controllers of a data centre apart.
	delay   time.Duration
	journal journal.Writer
	writer  string
	view    *orders.View
	log     *slog.Logger
}

// String names the service for the supervisor's log.
func (c *Checkpointer) String() string { return "checkpoints of changes" }

// Serve works until the context ends.
func (c *Checkpointer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, min(checkpointPoll, c.retention/checkpointFraction))
		for _, name := range c.engines {
			c.keep(ctx, name)
		}
	}
	return ctx.Err()
}

func (c *Checkpointer) keep(ctx context.Context, name string) {
	e := c.view.Snapshot().Engine(name)
	if !e.Known || time.Since(e.LastReadAt) < c.retention/checkpointFraction+c.delay {
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, checkpointPoll)
	defer cancel()
	_, err := c.journal.Append(writeCtx, journal.Entry{
		Kind: journal.KindOrder, ID: uuid.NewString(), Writer: c.writer, Body: orders.CheckpointOf(e).Encode(),
	})
	if err != nil {
		c.log.Debug("checkpoint not confirmed", "engine", name, "error", err)
	}
}
