package rules

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"tamarackchute/journal"
)

// Timing of checkpoints.
const (
	// defaultTick is the interval at which the state is checked.
	defaultTick = 250 * time.Millisecond
	// turnInterval is the time between the turns of two instances to write a record
	// that all of them could write; in a large deployment it is shorter, so that
	// the last turn comes within maxTurnDelay.
	turnInterval = 300 * time.Millisecond
	maxTurnDelay = 10 * time.Second
	// requestInterval is the time after which an unanswered request is repeated.
	requestInterval = 5 * time.Second
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
)

// Log is the part of journal.Journal that a Checkpointer and a Publisher use.
type Log interface {
	journal.Writer
	// Applied returns the position up to which all entries have been folded.
	Applied() journal.Position
	// CaughtUp is closed once all entries that were in the log at the start have
	// been folded.
	CaughtUp() <-chan struct{}
}

// CheckpointerOptions configures a Checkpointer.
type CheckpointerOptions struct {
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// Slot is this instance's index among Slots. It staggers the instances, so
	// that one writes the checkpoint and the others see it before their turn.
	Slot, Slots int
	// Logger is slog.Default if nil.
	Logger *slog.Logger
}

// Checkpointer keeps the rules in force in the log beyond its retention. It
// writes a checkpoint once the last record that holds them is between a third
// and two thirds of the retention old, or if another instance requests one; and
// it requests one if this instance has missed records.
type Checkpointer struct {
	options CheckpointerOptions
	log     Log
	replica *Replica
	// writtenAt and requestedAt are the times of this process's last attempts, next is
	// when it may write a checkpoint unrequested again.
	writtenAt, requestedAt, next time.Time
}

// NewCheckpointer returns a checkpointer for the replica that log folds into.
func NewCheckpointer(log Log, replica *Replica, o CheckpointerOptions) *Checkpointer {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	o.Slots = max(o.Slots, 1)
	return &Checkpointer{options: o, log: log, replica: replica}
}

// Serve implements suture.Service.
func (c *Checkpointer) Serve(ctx context.Context) error {
	select {
	case <-c.log.CaughtUp():
	case <-ctx.Done():
		return ctx.Err()
	}
	c.next = time.Now().Add(c.turnDelay())
	ticker := time.NewTicker(min(defaultTick, max(c.options.Retention/100, time.Millisecond)))
	defer ticker.Stop()
	for {
		c.step(ctx, time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// step appends the record that is due, if any.
func (c *Checkpointer) step(ctx context.Context, now time.Time) {
	switch c.due(now) {
	case dueCheckpoint:
		c.writtenAt = now
		c.next = now.Add(requestInterval + c.turnDelay())
		applied := c.log.Applied()
		if c.append(ctx, encodeCheckpoint(c.replica.checkpoint(applied))) {
			c.next = now.Add(c.options.Retention / 6)
		}
	case dueRequest:
		c.requestedAt = now
		c.append(ctx, encodeCheckpointRequest())
	}
}

// turnDelay is how long this instance waits for those with lower slots.
func (c *Checkpointer) turnDelay() time.Duration {
	step := min(turnInterval, maxTurnDelay/time.Duration(c.options.Slots))
	return time.Duration(c.options.Slot) * step
}

func (c *Checkpointer) append(ctx context.Context, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	entry := journal.Entry{Kind: journal.KindRules, ID: uuid.NewString(), Body: body}
	_, err := c.log.Append(ctx, entry)
	if err != nil {
		c.options.Logger.Warn("rules checkpoint not written yet; will retry", "err", err)
	}
	return err == nil
}

// dueAction is the record that a checkpointer has to append.
type dueAction uint8

const (
	dueNothing dueAction = iota
	dueCheckpoint
	dueRequest
)

func (c *Checkpointer) due(now time.Time) dueAction {
	v := c.replica.view()
	turn := c.turnDelay()
	if !v.settled {
		last := later(c.requestedAt, v.requestedAt)
		if now.Sub(last) >= requestInterval+turn || (last.IsZero() && now.Sub(v.unsettledSince) >= turn) {
			return dueRequest
		}
		return dueNothing
	}
	if !v.requestedAt.IsZero() && now.Sub(v.requestedAt) >= turn && now.Sub(c.writtenAt) >= requestInterval {
		return dueCheckpoint
	}
	// A wrong local clock can make the record look too old, but not too young:
	// next bounds how many checkpoints it causes.
	limit := c.options.Retention / 3
	limit += limit * time.Duration(c.options.Slot) / time.Duration(c.options.Slots)
	if v.age(now) >= limit && !now.Before(c.next) {
		return dueCheckpoint
	}
	return dueNothing
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkpointView is the part of a replica's state that checkpoints depend on.
type checkpointView struct {
	settled        bool
	stateRecord    recordTimes
	requestedAt    time.Time
	unsettledSince time.Time
}

func (r *Replica) view() checkpointView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return checkpointView{
		settled: r.fold.settled, stateRecord: r.stateRecord,
		requestedAt: r.requestedAt, unsettledSince: r.unsettledSince,
	}
}

// age is how long the newest record that holds the state has been in the log.
// The monotonic time since it was read is a reliable lower bound; the difference
// of the log's clock and the local one covers the time before, if both are right.
func (v checkpointView) age(now time.Time) time.Duration {
	sinceRead := now.Sub(v.stateRecord.readAt)
	sinceWritten := now.Round(0).Sub(v.stateRecord.logTime.Round(0))
	return max(sinceRead, sinceWritten)
}

// checkpoint returns the checkpoint to write.
func (r *Replica) checkpoint(applied journal.Position) Checkpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checkpointAt(applied)
}
