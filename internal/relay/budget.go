package relay

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// budgetSlots is the number of pieces that a budget's window is counted in.
const budgetSlots = 20

// Budget bounds the repeats of one daemon towards each pool. All daemons
// together may repeat a share of the pool's requests and a little more in any
// window; each keeps to that share of its own requests and to its part of the
// little more, so that the sum holds whoever else is running.
type Budget struct {
	slack func() float64
	slot  time.Duration
	now   func() time.Time

	mu    sync.Mutex
	ratio float64
	pools map[string]*window
}

// BudgetState is what a pool's window holds at the moment.
type BudgetState struct {
	Pool string
	// Requests and Repeats are this daemon's in the window, Allowed is how many
	// repeats it may make.
	Requests, Repeats, Allowed float64
}

type window struct {
	slots [budgetSlots]struct{ requests, repeats float64 }
	at    int64
}

// NewBudget returns a budget: ratio of the requests of a window, and slack
// repeats beside them, this daemon's part at the moment. now nil means time.Now.
func NewBudget(ratio float64, slack func() float64, length time.Duration, now func() time.Time) *Budget {
	if now == nil {
		now = time.Now
	}
	return &Budget{ratio: ratio, slack: slack, slot: length / budgetSlots, now: now, pools: make(map[string]*window)}
}

// Request counts a request to a pool.
func (b *Budget) Request(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(pool)
	w.slots[w.at%budgetSlots].requests++
}

// Allow counts one more repeat towards a pool, and reports whether it may be
// made.
func (b *Budget) Allow(pool string) bool {
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
func (b *Budget) allowed(requests float64) float64 { return b.ratio*requests + b.slack() }

// SetRatio changes the share of requests that may be repeated.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// State returns the windows of all pools, ordered by name.
func (b *Budget) State() []BudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]BudgetState, 0, len(b.pools))
	for pool := range b.pools {
		requests, repeats := b.window(pool).sum()
		all = append(all, BudgetState{Pool: pool, Requests: requests, Repeats: repeats, Allowed: b.allowed(requests)})
	}
	slices.SortFunc(all, func(a, b BudgetState) int { return strings.Compare(a.Pool, b.Pool) })
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
func (b *Budget) window(pool string) *window {
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
