package admission

import "time"

// A budget holds at most maxBudgetTokens retries, and refills by
// budgetRefillPerSecond whatever the traffic, so that an idle process can retry.
const (
	maxBudgetTokens       = 20.0
	budgetRefillPerSecond = 0.5
)

// budget is a token bucket of retries, filled by a ratio of the requests. A fault
// that fails every attempt would otherwise double the load on the remaining
// upstreams; with the budget, the load grows by the ratio at most.
type budget struct {
	ratio  float64
	tokens float64
	last   time.Time
}

// earn records a first attempt.
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
