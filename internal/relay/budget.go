package relay

import (
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackchute/retrybudget"
)

// RetryBudget limits the retries of one daemon towards each pool, so that the sum over all daemons
// stays within a ratio of the pool's requests plus a fixed slack in any window.
type RetryBudget struct {
	slack  func() float64
	window time.Duration
	now    func() time.Time

	mu    sync.Mutex
	ratio float64
	pools map[string]*retrybudget.Account
	// slackFrom is when the slack may be used.
	slackFrom time.Time
}

// RetryBudgetState is the current state of a pool's window.
type RetryBudgetState struct {
	Pool string
	// Requests and Retries count those of this daemon in the window; Allowed is the
	// limit of Retries if the requests come steadily.
	Requests, Retries, Allowed float64
}

// NewRetryBudget returns a budget whose windows have the given length. In each it allows
// ratio times the requests as retries and slack() more, this daemon's current share. now
// is the clock; nil means time.Now.
func NewRetryBudget(ratio float64, slack func() float64, length time.Duration, now func() time.Time) *RetryBudget {
	if now == nil {
		now = time.Now
	}
	return &RetryBudget{ratio: ratio, slack: slack, window: length, now: now, pools: make(map[string]*retrybudget.Account)}
}

// RecordRequest counts a request to a pool, retries not included.
func (b *RetryBudget) RecordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(pool).Request(b.limit(), b.now())
}

// AllowRetry reports whether one more retry towards a pool is within the budget, and
// counts it if so.
func (b *RetryBudget) AllowRetry(pool string) bool { return b.AllowRetries(pool, 1) }

// AllowRetries reports whether n more retries towards a pool are within the budget, and counts them if
// so.
func (b *RetryBudget) AllowRetries(pool string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(pool).Retries(n, b.limit(), b.now())
}

// AssumeSlackSpent withholds the slack for a window: the process of this daemon before this one may
// have used it just before its end.
func (b *RetryBudget) AssumeSlackSpent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slackFrom = b.now().Add(b.window)
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
		all = append(all, b.state(pool))
	}
	slices.SortFunc(all, func(a, b RetryBudgetState) int { return strings.Compare(a.Pool, b.Pool) })
	return all
}

// PoolState returns the state of one pool.
func (b *RetryBudget) PoolState(pool string) RetryBudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(pool)
}

// state returns the state of a pool. The caller holds b.mu.
func (b *RetryBudget) state(pool string) RetryBudgetState {
	limit, now := b.limit(), b.now()
	requests, retries := b.account(pool).Recent(limit, now)
	allowed := limit.Ratio * float64(requests)
	if !now.Before(limit.SlackFrom) {
		allowed += limit.Slack
	}
	return RetryBudgetState{Pool: pool, Requests: float64(requests), Retries: float64(retries), Allowed: allowed}
}

// limit returns what this daemon may spend on each pool. The caller holds b.mu.
func (b *RetryBudget) limit() retrybudget.Limit {
	return retrybudget.Limit{Ratio: b.ratio, Slack: b.slack(), Window: b.window, SlackFrom: b.slackFrom}
}

// account returns a pool's account. The caller holds b.mu.
func (b *RetryBudget) account(pool string) *retrybudget.Account {
	a := b.pools[pool]
	if a == nil {
		a = &retrybudget.Account{}
		b.pools[pool] = a
	}
	return a
}
