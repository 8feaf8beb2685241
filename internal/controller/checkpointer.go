package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"tamarackchute/journal"
	"tamarackchute/orders"
)

// Timing of checkpoints.
const (
	// checkpointPollInterval is the time between two checks of the engines' records.
	checkpointPollInterval = 5 * time.Second
	// checkpointsPerRetention is how many times per log retention a record is repeated.
	checkpointsPerRetention = 4
)

// Checkpointer repeats the journal's state of the data centre's engines before the log's
// retention removes it. Without checkpoints, an entry that starts while a scope has had no
// leader for longer than the retention would take an engine in the middle of a change as
// free. Every controller writes them, whether it leads or not; the first one to do so saves
// the others the work. It is a suture service.
type Checkpointer struct {
	engines   []string
	retention time.Duration
	// delay differs between the controllers of a data centre, so that they don't all write
	// the same checkpoint.
	delay   time.Duration
	journal journal.Writer
	writer  string
	view    *orders.View
	log     *slog.Logger
}

// String names the service for the supervisor's log.
func (c *Checkpointer) String() string { return "checkpoints of changes" }

// Serve writes checkpoints until the context ends.
func (c *Checkpointer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, min(checkpointPollInterval, c.retention/checkpointsPerRetention))
		for _, name := range c.engines {
			c.checkpoint(ctx, name)
		}
	}
	return ctx.Err()
}

func (c *Checkpointer) checkpoint(ctx context.Context, name string) {
	e := c.view.Snapshot().Engine(name)
	if !e.Known || time.Since(e.LastReadAt) < c.retention/checkpointsPerRetention+c.delay {
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, checkpointPollInterval)
	defer cancel()
	_, err := c.journal.Append(writeCtx, journal.Entry{
		Kind: journal.KindOrder, ID: uuid.NewString(), Writer: c.writer, Body: orders.CheckpointOf(e).Encode(),
	})
	if err != nil {
		c.log.Debug("checkpoint not confirmed", "engine", name, "error", err)
	}
}
