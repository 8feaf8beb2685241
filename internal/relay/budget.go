package relay

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// budgetSlots is the number of pieces that a budget's window is counted in.
const budgetSlots = 20

// RetryBudget bounds the repeats of one daemon towards each pool. All daemons
// together may repeat a share of the pool's requests and a little more in any
// window; each keeps to that share of its own requests and to its part of the
// little more, so that the sum holds whoever else is running.
type RetryBudget struct {
	slack func() float64
	slot  time.Duration
	now   func() time.Time

	mu    sync.Mutex
	ratio float64
	pools map[string]*window
}

// RetryBudgetState is what a pool's window holds at the moment.
type RetryBudgetState struct {
	Pool string
	// Requests and Retries are this daemon's in the window, Allowed is how many
	// repeats it may make.
	Requests, Retries, Allowed float64
}

type window struct {
	slots [budgetSlots]struct{ requests, repeats float64 }
	at    int64
}

// NewRetryBudget returns a budget: ratio of the requests of a window, and slack
// repeats beside them, this daemon's part at the moment. now nil means time.Now.
func NewRetryBudget(ratio float64, slack func() float64, length time.Duration, now func() time.Time) *RetryBudget {
	if now == nil {
		now = time.Now
	}
	return &RetryBudget{ratio: ratio, slack: slack, slot: length / budgetSlots, now: now, pools: make(map[string]*window)}
}

// RecordRequest counts a request to a pool.
func (b *RetryBudget) RecordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(pool)
	w.slots[w.at%budgetSlots].requests++
}

// AllowRetry counts one more repeat towards a pool, and reports whether it may be
// made.
func (b *RetryBudget) AllowRetry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(pool)
	requests, repeats := w.sum()
	if repeats+1 > b.allowed(requests) {
		return false
	}
	w.slots[w.at%budgetSlots].repeats++
	return true
}

// allowed returns the bound of repeats beside some requests. b.mu is held.
func (b *RetryBudget) allowed(requests float64) float64 { return b.ratio*requests + b.slack() }

// SetRatio changes the share of requests that may be repeated.
func (b *RetryBudget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// State returns the windows of all pools, ordered by name.
func (b *RetryBudget) State() []RetryBudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]RetryBudgetState, 0, len(b.pools))
	for pool := range b.pools {
		requests, repeats := b.window(pool).sum()
		all = append(all, RetryBudgetState{Pool: pool, Requests: requests, Retries: repeats, Allowed: b.allowed(requests)})
	}
	slices.SortFunc(all, func(a, b RetryBudgetState) int { return strings.Compare(a.Pool, b.Pool) })
	return all
}

// sum adds up the window's slots.
func (w *window) sum() (requests, repeats float64) {
	for _, s := range w.slots {
		requests += s.requests
		repeats += s.repeats
	}
	return requests, repeats
}

// window returns a pool's window, moved on to the present.
func (b *RetryBudget) window(pool string) *window {
	w := b.pools[pool]
	if w == nil {
		w = &window{at: b.now().UnixNano() / int64(b.slot)}
		b.pools[pool] = w
	}
	at := b.now().UnixNano() / int64(b.slot)
	for w.at < at {
		if at-w.at > budgetSlots {
			w.at = at - budgetSlots
		}
		w.at++
		w.slots[w.at%budgetSlots] = struct{ requests, repeats float64 }{}
	}
	return w
}
