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
	// yieldTime is how much longer a topic waits that has failed last: if it fails alone, that shows only
	// once another one is tried.
	yieldTime = 2 * wakeInterval
	// probeTimeout is how long other callers wait for the one that probes the store.
	probeTimeout = CallTimeout
)

// storeBackoff is what the backoffs of a daemon's topics share. If each reader retried by itself while
// the store is away, the calls of a large site would grow with daemons times topics.
type storeBackoff struct {
	// daemons returns the number of daemons that share the store.
	daemons func() int

	mu sync.Mutex
	// interval is the mean wait before the next probe, 0 while the store answers; retryAt is when
	// that may start; lastFailure is when a failure was last counted.
	interval             time.Duration
	retryAt, lastFailure time.Time
	// succeeded holds when each topic was last read or written.
	succeeded map[*backoff]time.Time
}

// backoff limits the calls that concern one topic: while the store fails together with those of the
// other topics, and while only this topic fails by itself.
type backoff struct {
	store *storeBackoff
	// interval, retryAt and lastFailure are as in storeBackoff, for failures of this topic alone. failing
	// says that the last call failed. All are guarded by store.mu.
	interval             time.Duration
	retryAt, lastFailure time.Time
	failing              bool
}

// newBackoff returns the backoff of a first topic.
func newBackoff(daemons func() int) *backoff {
	return &backoff{store: &storeBackoff{daemons: daemons, succeeded: make(map[*backoff]time.Time)}}
}

// another returns the backoff of another topic of the same store.
func (b *backoff) another() *backoff { return &backoff{store: b.store} }

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
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(b.retryAt) {
		return b.retryAt.Sub(now)
	}
	if s.interval == 0 {
		return 0
	}
	if now.Before(s.retryAt) {
		return s.retryAt.Sub(now)
	}
	s.retryAt = now.Add(probeTimeout)
	return 0
}

// recordFailure counts a failed call. It is a failure of the store, of which concurrent ones count
// once, unless another topic has succeeded meanwhile.
func (b *backoff) recordFailure(start, now time.Time) {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	alone := b.failsAlone(start)
	counted := start.Before(s.lastFailure)
	b.failing, b.lastFailure = true, now
	switch {
	case alone:
		b.interval = s.longer(b.interval)
		b.retryAt = now.Add(jittered(b.interval))
	case !counted:
		s.lastFailure = now
		s.interval = s.longer(s.interval)
		s.retryAt = now.Add(jittered(s.interval))
		b.retryAt = s.retryAt.Add(yieldTime)
	}
}

// failsAlone reports whether another topic has succeeded since a call of this one began, or since the
// one before failed. store.mu is held.
func (b *backoff) failsAlone(start time.Time) bool {
	since := start
	if b.failing && b.lastFailure.Before(since) {
		since = b.lastFailure
	}
	for other, at := range b.store.succeeded {
		if other != b && at.After(since) {
			return true
		}
	}
	return false
}

// longer returns the interval after one more failure.
func (s *storeBackoff) longer(interval time.Duration) time.Duration {
	scale := max(1, time.Duration(s.daemons()/baselineDaemons))
	return min(max(2*interval, scale*retryMin), scale*retryMax, maxRetryWait)
}

func jittered(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// recordSuccess records that the store answers for this topic at a time.
func (b *backoff) recordSuccess(now time.Time) {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	b.interval, b.retryAt, b.failing = 0, time.Time{}, false
	s.interval = 0
	s.succeeded[b] = now
}
