package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callsDuring simulates the readers of one daemon during an outage of the store, and returns the
// number of their calls.
func callsDuring(outage time.Duration, daemons int) int {
	b := newBackoff(func() int { return daemons })
	const readers = 4
	start := time.Unix(1000, 0)
	calls := 0
	for range readers { // all calls are in progress when it starts
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

// Guards against a large site whose many readers each retry every half second while the store
// refuses a third of its daemons for eight seconds. All daemons together must call hardly more
// often than those of a small site.
func TestOutageCallsDoNotGrowWithSite(t *testing.T) {
	const outage = 8 * time.Second
	small := 7 * callsDuring(outage, 7)
	large := 95 / 3 * callsDuring(outage, 95)
	t.Logf("calls during the outage: %d of 7 daemons, %d of 31 of 95", small, large)
	require.Less(t, small, 7*30)
	require.Less(t, large, 2*7*30)
}

// Guards against readers that wait out their interval although one of them has had an answer.
func TestSuccessfulProbeReleasesAllCallers(t *testing.T) {
	b := newBackoff(oneDaemon)
	now := time.Unix(1000, 0)
	require.Zero(t, b.reserve(now))
	b.recordFailure(now, now)
	now = b.retryAt
	require.Zero(t, b.reserve(now), "one probes")
	require.Positive(t, b.reserve(now), "the others wait for it")
	b.recordSuccess(now)
	require.Zero(t, b.reserve(now))
	require.Zero(t, b.reserve(now))
}

// Guards against a probe that hangs and keeps all other readers from the store.
func TestHangingProbeIsReplaced(t *testing.T) {
	b := newBackoff(oneDaemon)
	now := time.Unix(1000, 0)
	b.recordFailure(now, now)
	now = b.retryAt
	require.Zero(t, b.reserve(now))
	require.Zero(t, b.reserve(now.Add(probeTimeout)))
}

// Guards against a topic that fails, as the store is down in part, and keeps the others waiting at a
// large site, where the mean wait is seconds.
func TestFailingTopicDoesntDelayOthers(t *testing.T) {
	failing := newBackoff(func() int { return 300 })
	other := failing.another()
	now := time.Unix(1000, 0)
	end := now.Add(time.Minute)
	nextRead, failures, late := now, 0, 0
	for ; now.Before(end); now = now.Add(wakeInterval) {
		if failing.reserve(now) <= 0 {
			failures++
			failing.recordFailure(now, now.Add(time.Millisecond))
		}
		if now.Before(nextRead) {
			continue
		}
		if other.reserve(now) > 0 {
			late++
			continue
		}
		other.recordSuccess(now)
		nextRead = now.Add(500 * time.Millisecond)
	}
	require.Less(t, late*int(wakeInterval), int(10*time.Second), "the other one waits only until both have been tried")
	require.Less(t, failures, 40, "the failing topic backs off")
}
