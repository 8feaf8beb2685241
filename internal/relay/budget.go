package relay

import (
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
	ratio float64
	slack func() float64
	slot  time.Duration
	now   func() time.Time

	mu    sync.Mutex
	pools map[string]*window
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
	var requests, repeats float64
	for _, s := range w.slots {
		requests += s.requests
		repeats += s.repeats
	}
	if repeats+1 > b.ratio*requests+b.slack() {
		return false
	}
	w.slots[w.at%budgetSlots].repeats++
	return true
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
