package relay

import (
	"context"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever the timing of requests, no span of a window's length has more retries than
// the ratio of the requests in it and in the window before, plus the slack.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		now := time.Unix(1000, 0)
		slack := rapid.Float64Range(0, 20).Draw(t, "slack")
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		b := NewRetryBudget(ratio, func() float64 { return slack }, window, func() time.Time { return now })
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("p")
				requests = append(requests, now)
			} else if b.AllowRetry("p") {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			inWindow := func(times []time.Time, length time.Duration) float64 {
				n := 0.0
				for _, at := range times {
					if !at.After(end) && at.After(end.Add(-length)) {
						n++
					}
				}
				return n
			}
			require.LessOrEqual(t, inWindow(retries, window), ratio*inWindow(requests, 2*window)+slack)
		}
	})
}

// Guards against a daemon that starts anew and uses its share of the slack once more, while the
// retries of the process before it still count: the sum over all daemons, as kills, starts and
// added daemons are drawn.
func TestBudgetHoldsOverAllDaemonsAcrossRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			window  = 10 * time.Second
			ratio   = 0.2
			slack   = 54.0
			daemons = 7
		)
		now := time.Unix(1000, 0)
		start := func() *RetryBudget {
			b := NewRetryBudget(ratio, func() float64 { return slack / daemons }, window, func() time.Time { return now })
			b.AssumeSlackSpent()
			return b
		}
		var site []*RetryBudget
		for range daemons {
			site = append(site, start())
		}
		var requests, retries []time.Time
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(50, 1000).Draw(t, "ms")) * time.Millisecond)
			for i, b := range site {
				if rapid.IntRange(0, 20).Draw(t, "kill") == 0 {
					site[i] = start()
				}
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					b.RecordRequest("p")
					requests = append(requests, now)
				}
				for b.AllowRetry("p") {
					retries = append(retries, now)
				}
			}
		}
		within := func(times []time.Time, from, to time.Time) (n float64) {
			for _, at := range times {
				if at.After(from) && !at.After(to) {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			mostRequests := 0.0
			for _, shift := range []time.Duration{0, window / 2, window} {
				mostRequests = max(mostRequests, within(requests, end.Add(-window-shift), end.Add(-shift)))
			}
			require.LessOrEqual(t, within(retries, end.Add(-window), end), ratio*mostRequests+slack)
		}
	})
}

// budgetSite is a site of daemons whose processes end and start, as its retry budgets see it.
type budgetSite struct {
	ratio, slack float64
	window       time.Duration
	now          time.Time
	daemons      []*RetryBudget
	// requests and retries are the times of all daemons'.
	requests, retries []time.Time
}

// newBudgetSite returns a site that has run for a while.
func newBudgetSite(daemons int, ratio, slack float64, window time.Duration) *budgetSite {
	s := &budgetSite{ratio: ratio, slack: slack, window: window, now: time.Unix(1000, 0)}
	for range daemons {
		s.daemons = append(s.daemons, s.start(daemons))
	}
	s.now = s.now.Add(2 * window)
	return s
}

// start returns the budget of a new process that knows of a number of daemons.
func (s *budgetSite) start(known int) *RetryBudget {
	const minAssumedDaemons = 10
	share := s.slack / float64(max(minAssumedDaemons, known))
	b := NewRetryBudget(s.ratio, func() float64 { return share }, s.window, func() time.Time { return s.now })
	b.AssumeSlackSpent()
	return b
}

func (s *budgetSite) request(daemon int) {
	s.daemons[daemon].RecordRequest("p")
	s.requests = append(s.requests, s.now)
}

func (s *budgetSite) retry(daemon int) {
	if s.daemons[daemon].AllowRetry("p") {
		s.retries = append(s.retries, s.now)
	}
}

// check requires of every window that it has no more retries than the ratio of the requests in it, in
// the window before it or in that half a window before it, whichever has most, plus the slack.
func (s *budgetSite) check(t require.TestingT) {
	for _, end := range s.retries {
		requests := 0
		for _, shift := range []time.Duration{0, s.window / 2, s.window} {
			requests = max(requests, countIn(s.requests, end.Add(-s.window-shift), end.Add(-shift)))
		}
		require.LessOrEqual(t, float64(countIn(s.retries, end.Add(-s.window), end)), s.ratio*float64(requests)+s.slack, "the window that ends at %v", end)
	}
}

// countIn counts the times after one and not after another; they are in order.
func countIn(times []time.Time, after, until time.Time) int {
	notAfter := func(limit time.Time) int {
		return sort.Search(len(times), func(i int) bool { return times[i].After(limit) })
	}
	return notAfter(until) - notAfter(after)
}

// Guards against processes that spend anew what the processes before them have spent in the same
// window: drawn series of failures, kills of some and of all daemons, and daemons that join.
func TestRetriesOfOldAndNewProcessesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		s := newBudgetSite(rapid.IntRange(1, 7).Draw(t, "daemons"), rapid.Float64Range(0, 0.5).Draw(t, "ratio"), rapid.Float64Range(10, 54).Draw(t, "slack"), 10*time.Second)
		for range rapid.IntRange(2, 10).Draw(t, "phases") {
			perStep := rapid.IntRange(0, 3).Draw(t, "requests per step and daemon")
			failed := rapid.SampledFrom([]int{0, 3}).Draw(t, "failures per step and daemon")
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				s.now = s.now.Add(step)
				for i := range s.daemons {
					for range perStep {
						s.request(i)
					}
					for range failed {
						s.retry(i)
					}
				}
			}
			switch rapid.SampledFrom([]string{"all restart", "all restart", "one restarts", "one joins", "none"}).Draw(t, "change") {
			case "all restart":
				for i := range s.daemons {
					s.daemons[i] = s.start(len(s.daemons))
				}
			case "one restarts":
				i := rapid.IntRange(0, len(s.daemons)-1).Draw(t, "killed")
				s.daemons[i] = s.start(len(s.daemons))
			case "one joins":
				if len(s.daemons) < 10 {
					s.daemons = append(s.daemons, s.start(1))
				}
			}
		}
		s.check(t)
	})
}

// Guards against the same with one example: failures that begin three seconds before all daemons are
// killed, twice within a window.
func TestRetriesStayWithinTheBudgetWhenAllRestartTwice(t *testing.T) {
	s := newBudgetSite(7, 0.2, 54, 10*time.Second)
	for tenth := range 300 {
		s.now = s.now.Add(100 * time.Millisecond)
		if tenth == 150 || tenth == 190 {
			for i := range s.daemons {
				s.daemons[i] = s.start(7)
			}
		}
		for i := range s.daemons {
			s.request(i)
			for range 3 {
				if tenth >= 120 {
					s.retry(i)
				}
			}
		}
	}
	s.check(t)
}

func TestBudgetsArePerPool(t *testing.T) {
	b := NewRetryBudget(0, func() float64 { return 1 }, time.Second, nil)
	require.True(t, b.AllowRetry("a"))
	require.False(t, b.AllowRetry("a"))
	require.True(t, b.AllowRetry("b"))
}

// slots is a counting semaphore that records who acquired it in which order.
type slots struct {
	mu    sync.Mutex
	free  int
	order []string
}

func (s *slots) acquire(name string) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.free == 0 {
			return false
		}
		s.free--
		s.order = append(s.order, name)
		return true
	}
}

func (s *slots) release(q *queue, n int) {
	s.mu.Lock()
	s.free += n
	s.mu.Unlock()
	q.wake()
}

// Requests that can meet their objective go before late ones; among equals the queue is
// first in, first out.
func TestQueueOrder(t *testing.T) {
	q, s := &queue{}, &slots{}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	until := time.Now().Add(time.Minute)
	var wg sync.WaitGroup
	join := func(name string, class waitClass) {
		before := waitingIn(q)
		wg.Add(1)
		go func() {
			defer wg.Done()
			require.True(t, q.await(ctx, turn{class: class}, until, s.acquire(name)))
		}()
		require.Eventually(t, func() bool { return waitingIn(q) == before+1 }, 10*time.Second, time.Millisecond)
	}
	join("late", lateRequest)
	join("first", onTime)
	join("second", onTime)
	s.release(q, 3)
	wg.Wait()
	require.Equal(t, []string{"first", "second", "late"}, s.order)
	require.Zero(t, waitingIn(q))
}

func waitingIn(q *queue) int {
	return q.length()
}

// A waiter that is cancelled or times out is removed from the queue and doesn't block
// the next one.
func TestAbandonedWaiterIsRemoved(t *testing.T) {
	q, s := &queue{}, &slots{}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	require.False(t, q.await(cancelled, turn{class: onTime}, time.Now().Add(time.Minute), s.acquire("gave up")))
	require.False(t, q.await(context.Background(), turn{class: onTime}, time.Now().Add(time.Millisecond), s.acquire("timed out")))
	require.Zero(t, waitingIn(q))
	s.release(q, 1)
	require.True(t, q.await(context.Background(), turn{class: onTime}, time.Now(), s.acquire("next")))
	require.Equal(t, []string{"next"}, s.order)
}

func TestCallerRetriesAreDetected(t *testing.T) {
	var b timeoutStats
	for range 20 {
		require.False(t, b.isRetry("r", 2*time.Second))
		require.False(t, b.isRetry("r", 1990*time.Millisecond), "nearly the same timeout")
	}
	for i := range 10 {
		require.True(t, b.isRetry("r", time.Duration(1600-40*i)*time.Millisecond))
	}
	require.False(t, b.isRetry("r", 2*time.Second))
	require.False(t, b.isRetry("other", 1400*time.Millisecond))
	require.False(t, b.isRetry("r", 0), "a caller that states no timeout")
}

// Under one rule some callers have a timeout of 2 s, others of 15 s. The former must not
// be taken for retries of the latter, nor may callers whose timeouts all differ.
func TestCallersMayDifferInTimeout(t *testing.T) {
	var b timeoutStats
	for range 300 {
		b.isRetry("two", 15*time.Second)
		b.isRetry("two", 2*time.Second)
	}
	require.False(t, b.isRetry("two", 2*time.Second))
	require.False(t, b.isRetry("two", 15*time.Second))
	require.True(t, b.isRetry("two", 11*time.Second))

	retries := 0
	for i := range 1000 {
		if b.isRetry("each", time.Duration(1000+(i*7919)%9000)*time.Millisecond) {
			retries++
		}
	}
	require.Less(t, retries, 20)
}

// One caller in a hundred has a timeout of a minute. The others must not be taken for
// callers that retry.
func TestRareLongTimeoutIsIgnored(t *testing.T) {
	var b timeoutStats
	for i := range 1000 {
		if i%100 == 0 {
			b.isRetry("r", time.Minute)
		}
		require.False(t, b.isRetry("r", 2*time.Second) && i > 10)
	}
}
