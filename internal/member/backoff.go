package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retryMin and retryMax bound the mean wait after a failed call to the store, at a site of up
	// to baselineDaemons. At a larger one they grow with the number of daemons, which keeps the
	// total rate of calls constant; the first daemon that gets an answer passes the result on to
	// its peers.
	retryMin        = 100 * time.Millisecond
	retryMax        = 500 * time.Millisecond
	baselineDaemons = 10
	// maxRetryWait limits the mean wait at any size, so that a daemon uses the store again within
	// seconds of its recovery.
	maxRetryWait = 4 * time.Second
	// probeTimeout is how long other callers wait for the one that probes the store.
	probeTimeout = CallTimeout
)

// backoff limits the calls of a daemon's readers to a failing store. If each reader retried by
// itself, two to ten times a second, a third of 95 daemons cut off for some seconds would make
// 6,700 of a day's 10,400 calls.
type backoff struct {
	// daemons returns the number of daemons that share the store.
	daemons func() int

	mu sync.Mutex
	// interval is the mean wait before the next probe, 0 while the store answers; retryAt is when
	// that may start; lastFailure is when a failure was last counted.
	interval             time.Duration
	retryAt, lastFailure time.Time
}

func newBackoff(daemons func() int) *backoff { return &backoff{daemons: daemons} }

// await waits until the caller may call the store: at once while it answers, otherwise one
// caller at a time probes it, and the others continue once that succeeds.
func (b *backoff) await(ctx context.Context) {
	for ctx.Err() == nil {
		wait := b.reserve(time.Now())
		if wait <= 0 {
			return
		}
		sleep(ctx, min(wait, wakeInterval))
	}
}

// reserve returns how long the caller has to wait. If that is 0 while the store fails, the probe
// is the caller's, and others wait.
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

// recordFailure counts a failed call. Concurrent calls that fail together count once.
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

// recordSuccess records that the store answers.
func (b *backoff) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interval = 0
}
