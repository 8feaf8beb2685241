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
