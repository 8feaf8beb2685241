package rules

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"tamarackchute/journal"
)

// Times of the checkpoints.
const (
	// defaultTick is the time between two looks at the state.
	defaultTick = 250 * time.Millisecond
	// answerStep is the time between the turns of two instances to answer;
	// allTurns bounds the turns of all, in a large deployment.
	answerStep = 300 * time.Millisecond
	allTurns   = 10 * time.Second
	// askInterval is the time after which an unanswered question is repeated.
	askInterval = 5 * time.Second
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
)

// Log is what a checkpointer needs of a journal.Journal.
type Log interface {
	journal.Writer
	// Applied returns the position up to which all entries were folded.
	Applied() journal.Position
	// CaughtUp is closed once the entries that stood in the log at the start
	// were folded.
	CaughtUp() <-chan struct{}
}

// CheckpointerOptions sets a Checkpointer up.
type CheckpointerOptions struct {
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// Slot is this instance's place among Slots. The instances take turns by it,
	// so that one checkpoint at a time is written: the others see it and wait.
	Slot, Slots int
	// Logger is slog.Default if nil.
	Logger *slog.Logger
}

// Checkpointer keeps the rules in force in the log beyond its retention. It
// writes a checkpoint once the last record that holds them is between a third
// and two thirds of the retention old, or if another instance asks; and it asks
// if this instance has missed records. Its Serve runs under a supervisor.
type Checkpointer struct {
	options CheckpointerOptions
	log     Log
	book    *Replica
	// written and asked are when this process last tried, next when it may write
	// of its own accord again.
	written, asked, next time.Time
}

// NewCheckpointer returns a checkpointer for the book that log folds into.
func NewCheckpointer(log Log, b *Replica, o CheckpointerOptions) *Checkpointer {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	o.Slots = max(o.Slots, 1)
	return &Checkpointer{options: o, log: log, book: b}
}

// Serve implements suture.Service.
func (c *Checkpointer) Serve(ctx context.Context) error {
	select {
	case <-c.log.CaughtUp():
	case <-ctx.Done():
		return ctx.Err()
	}
	c.next = time.Now().Add(c.turn())
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

// step appends what is due.
func (c *Checkpointer) step(ctx context.Context, now time.Time) {
	switch c.due(now) {
	case dueCheckpoint:
		c.written = now
		c.next = now.Add(askInterval + c.turn())
		applied := c.log.Applied()
		if c.append(ctx, encodeCheckpoint(c.book.checkpoint(applied))) {
			c.next = now.Add(c.options.Retention / 6)
		}
	case dueAsk:
		c.asked = now
		c.append(ctx, encodeAsk())
	}
}

// turn is how long this instance lets those before it go first.
func (c *Checkpointer) turn() time.Duration {
	step := min(answerStep, allTurns/time.Duration(c.options.Slots))
	return time.Duration(c.options.Slot) * step
}

func (c *Checkpointer) append(ctx context.Context, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	entry := journal.Entry{Kind: journal.KindRules, ID: uuid.NewString(), Body: body}
	_, err := c.log.Append(ctx, entry)
	if err != nil {
		c.options.Logger.Warn("rules checkpoint not written yet", "err", err)
	}
	return err == nil
}

// dueAction is what a checkpointer has to append.
type dueAction uint8

const (
	dueNothing dueAction = iota
	dueCheckpoint
	dueAsk
)

func (c *Checkpointer) due(now time.Time) dueAction {
	v := c.book.view()
	turn := c.turn()
	if !v.settled {
		last := later(c.asked, v.askedAt)
		if now.Sub(last) >= askInterval+turn || (last.IsZero() && now.Sub(v.unsettledSince) >= turn) {
			return dueAsk
		}
		return dueNothing
	}
	if !v.askedAt.IsZero() && now.Sub(v.askedAt) >= turn && now.Sub(c.written) >= askInterval {
		return dueCheckpoint
	}
	// A wrong clock of this machine can make the record look too old, but not
	// too young; so the time since the own last checkpoint bounds what it costs.
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

// bookView is what decides on checkpoints.
type bookView struct {
	settled        bool
	carried        carried
	askedAt        time.Time
	unsettledSince time.Time
}

func (b *Replica) view() bookView {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bookView{
		settled: b.fold.settled, carried: b.carried,
		askedAt: b.askedAt, unsettledSince: b.unsettledSince,
	}
}

// age is how long the newest record that holds the state has been in the log.
// The time since it was read is a lower bound by a reliable clock; the log's
// time against this machine's tells of the time before, if both are right.
func (v bookView) age(now time.Time) time.Duration {
	sinceRead := now.Sub(v.carried.readAt)
	sinceWritten := now.Round(0).Sub(v.carried.logTime.Round(0))
	return max(sinceRead, sinceWritten)
}

// checkpoint returns the checkpoint to write.
func (b *Replica) checkpoint(applied journal.Position) Checkpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.checkpointAt(applied)
}
