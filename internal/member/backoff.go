package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retryMin and retryMax bound the wait after a call to the store that failed, at a
	// site of sharedBy daemons or fewer. At a larger one they grow with the daemons, so
	// that all together call as often as those; the first that gets an answer tells the
	// others by its states.
	retryMin        = 100 * time.Millisecond
	retryMax        = 500 * time.Millisecond
	baselineDaemons = 10
	// longestRetry bounds the wait at any size: a daemon counts on the store again some
	// seconds after it has come back.
	maxRetryWait = 4 * time.Second
	// probeLimit is how long others wait for one that looks whether the store is back.
	probeTimeout = callTimeout
)

// backoff spaces out the calls of a daemon's readers to a store that fails. Each reader by
// itself would call two to ten times a second: with 95 daemons, of which a third was turned
// away for some seconds, 6,700 of a day's 10,400 calls were such.
type backoff struct {
	// daemons is how many share the store.
	daemons func() int

	mu sync.Mutex
	// pause is the next wait, 0 while the store answers; until is when one may look
	// again; counted is when a failure was counted last.
	interval             time.Duration
	retryAt, lastFailure time.Time
}

func newBackoff(daemons func() int) *backoff { return &backoff{daemons: daemons} }

// await waits until the caller may call the store: at once while it answers; else one
// caller at a time looks, and the others go on once that has succeeded.
func (b *backoff) await(ctx context.Context) {
	for ctx.Err() == nil {
		wait := b.reserve(time.Now())
		if wait <= 0 {
			return
		}
		sleep(ctx, min(wait, wakeInterval))
	}
}

// wait returns how long the caller has to wait for its turn. A turn that is given is
// taken: for the next one others wait.
func (b *backoff) reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interval == 0 {
		return 0
	}
	if now.Before(b.retryAt) {
		return b.retryAt.Sub(now)
	}
	b.retryAt = now.Add(probeTimeout)
	return 0
}

// failed notes a call without an answer of use. Calls that were under way together fail
// together, and count once.
func (b *backoff) recordFailure(start, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if start.Before(b.lastFailure) {
		return
	}
	b.lastFailure = now
	scale := max(1, time.Duration(b.daemons()/baselineDaemons))
	b.interval = min(max(2*b.interval, scale*retryMin), scale*retryMax, maxRetryWait)
	b.retryAt = now.Add(b.interval/2 + rand.N(b.interval))
}

// succeeded notes that the store answers.
func (b *backoff) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interval = 0
}
