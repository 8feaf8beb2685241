package admission

import "time"

// The parts of a retry budget beside the share: how many retries may be saved
// up, and how many a second are given whatever the traffic, so that a quiet
// entry can retry at all.
const (
	maxBudgetTokens       = 20.0
	budgetRefillPerSecond = 0.5
)

// budget is a token bucket filled by requests. A fault that makes each attempt
// fail would otherwise double the load on what is left, just when that is
// least able to bear it; with the budget the load grows by the share at most.
type budget struct {
	ratio  float64
	tokens float64
	last   time.Time
}

// earn counts a first attempt.
func (b *budget) earn(now time.Time) {
	b.refill(now)
	b.tokens = min(maxBudgetTokens, b.tokens+b.ratio)
}

// spend reports whether a retry may be made, and counts it.
func (b *budget) spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.tokens = maxBudgetTokens / 2
	} else {
		b.tokens = min(maxBudgetTokens, b.tokens+budgetRefillPerSecond*now.Sub(b.last).Seconds())
	}
	b.last = now
}
