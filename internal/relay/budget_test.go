package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever comes when, in no span of a window's length are there more repeats than
// the share of the requests in it and in the window before, and the slack.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		now := time.Unix(1000, 0)
		slack := rapid.Float64Range(0, 20).Draw(t, "slack")
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		b := NewRetryBudget(ratio, func() float64 { return slack }, window, func() time.Time { return now })
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("p")
				requests = append(requests, now)
			} else if b.AllowRetry("p") {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			inWindow := func(times []time.Time, length time.Duration) float64 {
				n := 0.0
				for _, at := range times {
					if !at.After(end) && at.After(end.Add(-length)) {
						n++
					}
				}
				return n
			}
			// A window counted in pieces can be short by one piece.
			short := window - window/budgetSlots
			require.LessOrEqual(t, inWindow(repeats, short), ratio*inWindow(requests, 2*window)+slack)
		}
	})
}

func TestBudgetsOfPoolsAreApart(t *testing.T) {
	b := NewRetryBudget(0, func() float64 { return 1 }, time.Second, nil)
	require.True(t, b.AllowRetry("a"))
	require.False(t, b.AllowRetry("a"))
	require.True(t, b.AllowRetry("b"))
}

// turns is a try that succeeds as often as there are places.
type turns struct {
	mu     sync.Mutex
	places int
	order  []string
}

func (p *turns) try(name string) func() bool {
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.places == 0 {
			return false
		}
		p.places--
		p.order = append(p.order, name)
		return true
	}
}

func (p *turns) free(q *queue, n int) {
	p.mu.Lock()
	p.places += n
	p.mu.Unlock()
	q.wake()
}

// Requests that can be in time go before late ones, and otherwise who came first
// goes first, also past a newcomer that finds a place free at that moment.
func TestQueueOrder(t *testing.T) {
	q, p := &queue{}, &turns{}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	until := time.Now().Add(time.Minute)
	var wg sync.WaitGroup
	join := func(name string, late bool) {
		before := waitingIn(q)
		wg.Add(1)
		go func() {
			defer wg.Done()
			require.True(t, q.await(ctx, late, until, p.try(name)))
		}()
		require.Eventually(t, func() bool { return waitingIn(q) == before+1 }, 10*time.Second, time.Millisecond)
	}
	join("late", true)
	join("first", false)
	join("second", false)
	p.free(q, 3)
	wg.Wait()
	require.Equal(t, []string{"first", "second", "late"}, p.order)
	require.Zero(t, waitingIn(q))
}

func waitingIn(q *queue) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// A request that gives up, or whose time has come, leaves the line and doesn't
// hold up the one behind it.
func TestLeavingTheQueue(t *testing.T) {
	q, p := &queue{}, &turns{}
	gone, leave := context.WithCancel(context.Background())
	leave()
	require.False(t, q.await(gone, false, time.Now().Add(time.Minute), p.try("gone")))
	require.False(t, q.await(context.Background(), false, time.Now().Add(time.Millisecond), p.try("late")))
	require.Zero(t, waitingIn(q))
	p.free(q, 1)
	require.True(t, q.await(context.Background(), false, time.Now(), p.try("next")))
	require.Equal(t, []string{"next"}, p.order)
}

func TestComebacksAreKnown(t *testing.T) {
	var b patienceBook
	for range 20 {
		require.False(t, b.comeback("r", 2*time.Second))
		require.False(t, b.comeback("r", 1990*time.Millisecond), "about as long")
	}
	for i := range 10 {
		require.True(t, b.comeback("r", time.Duration(1600-40*i)*time.Millisecond))
	}
	require.False(t, b.comeback("r", 2*time.Second))
	require.False(t, b.comeback("other", 1400*time.Millisecond))
	require.False(t, b.comeback("r", 0), "a caller that doesn't say how long it waits")
}

// The callers of one service wait for 2 s, those of another for 15 s, under the
// same rule. The former must not be put behind the latter as if they came back;
// nor must anybody where each caller waits for a time of its own.
func TestCallersMayDifferInPatience(t *testing.T) {
	var b patienceBook
	for range 300 {
		b.comeback("two", 15*time.Second)
		b.comeback("two", 2*time.Second)
	}
	require.False(t, b.comeback("two", 2*time.Second))
	require.False(t, b.comeback("two", 15*time.Second))
	require.True(t, b.comeback("two", 11*time.Second))

	back := 0
	for i := range 1000 {
		if b.comeback("each", time.Duration(1000+(i*7919)%9000)*time.Millisecond) {
			back++
		}
	}
	require.Less(t, back, 20)
}

// One caller in a hundred waits for a minute. The others must not be taken for
// callers that come back.
func TestOnePatientCallerChangesNothing(t *testing.T) {
	var b patienceBook
	for i := range 1000 {
		if i%100 == 0 {
			b.comeback("r", time.Minute)
		}
		require.False(t, b.comeback("r", 2*time.Second) && i > 10)
	}
}
