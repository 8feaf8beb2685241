package relay

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets of a budget's sliding window.
	windowBuckets = 20
	// keptBuckets covers a whole window also while the newest bucket has just begun.
	keptBuckets = windowBuckets + 1
)

// RetryBudget limits the retries of one daemon towards each pool. In any window all
// daemons together may retry a ratio of the pool's requests plus a fixed slack. Each
// daemon keeps to that ratio of its own requests and to its share of the slack, so the
// sum holds without coordination.
type RetryBudget struct {
	slack  func() float64
	bucket time.Duration
	now    func() time.Time

	mu    sync.Mutex
	ratio float64
	pools map[string]*window
	// slackFrom is when the slack may be used.
	slackFrom time.Time
}

// RetryBudgetState is the current state of a pool's window.
type RetryBudgetState struct {
	Pool string
	// Requests and Retries count those of this daemon in the window; Allowed is the
	// limit of Retries.
	Requests, Retries, Allowed float64
}

// window counts the requests and retries of the last keptBuckets buckets of time; current
// is the number of the newest one since the epoch.
type window struct {
	buckets [keptBuckets]struct{ requests, retries float64 }
	current int64
}

// NewRetryBudget returns a budget whose windows have the given length. In each it allows
// ratio times the requests as retries and slack() more, this daemon's current share. now
// is the clock; nil means time.Now.
func NewRetryBudget(ratio float64, slack func() float64, length time.Duration, now func() time.Time) *RetryBudget {
	if now == nil {
		now = time.Now
	}
	return &RetryBudget{ratio: ratio, slack: slack, bucket: length / windowBuckets, now: now, pools: make(map[string]*window)}
}

// RecordRequest counts a request to a pool, retries not included.
func (b *RetryBudget) RecordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(pool)
	w.buckets[w.current%keptBuckets].requests++
}

// AllowRetry reports whether one more retry towards a pool is within the budget, and
// counts it if so.
func (b *RetryBudget) AllowRetry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(pool)
	requests, retries := w.sum()
	if retries+1 > b.allowed(requests) {
		return false
	}
	w.buckets[w.current%keptBuckets].retries++
	return true
}

// allowed returns the limit of retries for a number of requests. The caller holds b.mu.
func (b *RetryBudget) allowed(requests float64) float64 {
	if b.now().Before(b.slackFrom) {
		return b.ratio * requests
	}
	return b.ratio*requests + b.slack()
}

// AssumeSlackSpent withholds the slack for a window: the process of this daemon before this one may
// have used it just before its end.
func (b *RetryBudget) AssumeSlackSpent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slackFrom = b.now().Add(b.bucket * keptBuckets)
}

// SetRatio changes the ratio of requests that may be retried.
func (b *RetryBudget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// State returns the state of all pools, ordered by name.
func (b *RetryBudget) State() []RetryBudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]RetryBudgetState, 0, len(b.pools))
	for pool := range b.pools {
		requests, retries := b.window(pool).sum()
		all = append(all, RetryBudgetState{Pool: pool, Requests: requests, Retries: retries, Allowed: b.allowed(requests)})
	}
	slices.SortFunc(all, func(a, b RetryBudgetState) int { return strings.Compare(a.Pool, b.Pool) })
	return all
}

// sum adds up the window's buckets: all of the retries, and the requests of no more than a window.
func (w *window) sum() (requests, retries float64) {
	oldest := (w.current + 1) % keptBuckets
	for i, b := range w.buckets {
		retries += b.retries
		if int64(i) != oldest {
			requests += b.requests
		}
	}
	return requests, retries
}

// window returns a pool's window, advanced to the present. The caller holds b.mu.
func (b *RetryBudget) window(pool string) *window {
	w := b.pools[pool]
	if w == nil {
		w = &window{current: b.now().UnixNano() / int64(b.bucket)}
		b.pools[pool] = w
	}
	at := b.now().UnixNano() / int64(b.bucket)
	for w.current < at {
		if at-w.current > keptBuckets {
			w.current = at - keptBuckets
		}
		w.current++
		w.buckets[w.current%keptBuckets] = struct{ requests, retries float64 }{}
	}
	return w
}
