// Package patience limits how long this process waits for others, in time in which it ran itself. If it
// was stopped or got no processor, answers wait unread: that they are late says nothing of who sent them.
package patience

import (
	"context"
	"time"
)

const (
	// beat is how often the process shows that it runs.
	beat = 10 * time.Millisecond
	// maxBeat is the most that one beat counts for: the rest of a longer one is time without a processor.
	maxBeat = 2 * beat
	// settleTime is how long this process must run at the end of a longer wait, so that it reads what came
	// while it stood still.
	settleTime = 50 * time.Millisecond
)

// WithTimeout is context.WithTimeout, but that time counts only while this process runs. The deadline of
// the parent holds as ever. The returned context names no deadline of its own, and its cause is
// context.DeadlineExceeded once the time has run out.
func WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		if spend(ctx, d) {
			cancel(context.DeadlineExceeded)
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// AfterFunc calls f in its own goroutine once d has passed, at the end of which this process has run for a
// moment: what waited unread was read, and may have called stop. It costs less than WithTimeout where
// waits are many and long.
func AfterFunc(d time.Duration, f func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(max(0, d-settleTime), func() {
		defer cancel()
		if spend(ctx, min(d, settleTime)) {
			f()
		}
	})
	return func() {
		timer.Stop()
		cancel()
	}
}

// spend waits until this process has run for d. It returns false if ctx ends before.
func spend(ctx context.Context, d time.Duration) bool {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	last := time.Now()
	for left := d; left > 0; {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		now := time.Now()
		left -= credit(now.Sub(last))
		last = now
	}
	return true
}

// credit returns how much of the time between two beats this process is sure to have run.
func credit(gap time.Duration) time.Duration { return min(max(gap, 0), maxBeat) }
