// Package transfer measures what is received in response to a request, and ends a transfer that makes no
// progress. One whose length isn't known gets as long as it needs while bytes arrive: giving it up and
// beginning anew would only send the same bytes again over a link that is slow already.
package transfer

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Limits end a transfer. Zero values stand for no limit.
type Limits struct {
	// First limits the time until the first byte, Idle that between two bytes, and Total the whole.
	First, Idle, Total time.Duration
}

// Transfer is one transfer in progress. It is safe for concurrent use.
type Transfer struct {
	limits Limits
	cancel context.CancelFunc
	began  time.Time
	// whole is the transfer that this one is part of; nil if there is none.
	whole *Transfer

	mu      sync.Mutex
	timer   *time.Timer
	bytes   int
	firstAt time.Time
	partial bool
	err     error
}

type contextKey struct{}

// Begin returns a context that ends when the transfer exceeds a limit. What reads the response reports
// what it receives by Received. Within another transfer's context, it is a part of that. End must be
// called.
func Begin(ctx context.Context, l Limits) (context.Context, *Transfer) {
	whole := Of(ctx)
	ctx, cancel := context.WithCancel(ctx)
	t := &Transfer{limits: l, cancel: cancel, began: time.Now(), whole: whole}
	t.arm(l.First)
	return context.WithValue(ctx, contextKey{}, t), t
}

// Of returns the transfer that a context belongs to, nil if there is none.
func Of(ctx context.Context) *Transfer {
	t, _ := ctx.Value(contextKey{}).(*Transfer)
	return t
}

// Received records that bytes have been received. A nil transfer records nothing.
func (t *Transfer) Received(n int) {
	if t == nil || n <= 0 {
		return
	}
	t.whole.Received(n)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstAt.IsZero() {
		t.firstAt = time.Now()
	}
	t.bytes += n
	t.arm(t.limits.Idle)
}

// MarkPartial records that the sender has more than it sent. A nil transfer records nothing.
func (t *Transfer) MarkPartial() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.partial = true
}

// arm starts the time until which the next byte has to arrive. The caller holds t.mu, or is Begin.
func (t *Transfer) arm(limit time.Duration) {
	if t.err != nil {
		return
	}
	if total := t.limits.Total; total > 0 {
		left := time.Until(t.began.Add(total))
		if limit == 0 || left < limit {
			limit = max(left, 0)
		}
	}
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	if limit > 0 || t.limits.Total > 0 {
		t.timer = time.AfterFunc(limit, t.expire)
	}
}

// expire ends the transfer because of a limit.
func (t *Transfer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil {
		t.err = &LimitError{Bytes: t.bytes, After: time.Since(t.began), Limits: t.limits}
		t.cancel()
	}
}

// End releases the transfer's resources, and ends it if it is in progress.
func (t *Transfer) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel()
}

// Error returns the error of a transfer that has failed: a *LimitError if a limit ended it, otherwise err.
func (t *Transfer) Error(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil && t.err != nil {
		return t.err
	}
	return err
}

// Progress is what has been received so far.
type Progress struct {
	Bytes int
	// First is the time until the first byte, 0 if there was none; Lasted is the time since the beginning.
	First, Lasted time.Duration
	// Partial means that the sender has more than it sent.
	Partial bool
}

// Progress returns what has been received so far.
func (t *Transfer) Progress() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Progress{Bytes: t.bytes, Partial: t.partial, Lasted: time.Since(t.began)}
	if !t.firstAt.IsZero() {
		p.First = t.firstAt.Sub(t.began)
	}
	return p
}

// LimitError is returned for a transfer that a limit has ended.
type LimitError struct {
	// Bytes were received, After is how long it lasted.
	Bytes  int
	After  time.Duration
	Limits Limits
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("transfer: given up after %v with %d bytes; limits: %v until the first byte, %v between two, %v in all",
		e.After.Round(time.Millisecond), e.Bytes, e.Limits.First, e.Limits.Idle, e.Limits.Total)
}

// Is makes errors.Is match context.DeadlineExceeded.
func (e *LimitError) Is(target error) bool { return target == context.DeadlineExceeded }
