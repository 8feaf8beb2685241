package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callsDuring plays the readers of one daemon against a store that fails from a time on
// for a while, and returns how often they call it meanwhile.
func callsDuring(outage time.Duration, daemons int) int {
	b := newBackoff(func() int { return daemons })
	const readers = 4
	start := time.Unix(1000, 0)
	calls := 0
	for range readers { // all are under way when it begins
		b.recordFailure(start, start.Add(time.Millisecond))
	}
	for now := start; now.Before(start.Add(outage)); now = now.Add(wakeInterval) {
		for range readers {
			if b.reserve(now) <= 0 {
				calls++
				b.recordFailure(now, now.Add(time.Millisecond))
			}
		}
	}
	return calls
}

// The store turns a third of a large site away for eight seconds. Each of its daemons has
// several readers, each of which called again every half a second: most calls of the day
// were these. All daemons together must call hardly more often than those of a small site.
func TestOutagesOfLargeSitesCostFewCalls(t *testing.T) {
	const outage = 8 * time.Second
	small := 7 * callsDuring(outage, 7)
	large := 95 / 3 * callsDuring(outage, 95)
	t.Logf("calls during the outage: %d of 7 daemons, %d of 31 of 95", small, large)
	require.Less(t, small, 7*30)
	require.Less(t, large, 2*7*30)
}

// The store is back: one reader looks, and the others don't wait their time out.
func TestAllGoOnOnceOneHasAnAnswer(t *testing.T) {
	b := newBackoff(oneDaemon)
	now := time.Unix(1000, 0)
	require.Zero(t, b.reserve(now))
	b.recordFailure(now, now)
	now = b.retryAt
	require.Zero(t, b.reserve(now), "one looks")
	require.Positive(t, b.reserve(now), "the others wait for it")
	b.recordSuccess()
	require.Zero(t, b.reserve(now))
	require.Zero(t, b.reserve(now))
}

// The reader that looks is held up. Another one looks then: a call that hangs must not keep
// the daemon from the store for longer than it may take.
func TestAHangingLookIsntWaitedFor(t *testing.T) {
	b := newBackoff(oneDaemon)
	now := time.Unix(1000, 0)
	b.recordFailure(now, now)
	now = b.retryAt
	require.Zero(t, b.reserve(now))
	require.Zero(t, b.reserve(now.Add(probeTimeout)))
}
