package reach

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const pool = "p"

// clock is a time that tests advance.
type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newTracker() (*Tracker, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	return NewTracker(Config{}, c.now), c
}

// check runs a check that is due, and fails the test if none is.
func check(t *testing.T, tr *Tracker, tried, reached int) Change {
	t.Helper()
	require.NotEqual(t, NoCheck, tr.BeginCheck(pool), "a check is due")
	return tr.EndCheck(pool, Check{Tried: tried, Reached: reached})
}

// Guards against checks of paths that nothing speaks against.
func TestNoCheckWithoutSuspicion(t *testing.T) {
	tr, c := newTracker()
	require.Equal(t, NoCheck, tr.BeginCheck(pool), "no request was sent")
	for range 100 {
		tr.Sent(pool)
		c.advance(120 * time.Millisecond)
		tr.Answered(pool)
		tr.Ended(pool)
		require.False(t, tr.HasDue())
		require.Equal(t, NoCheck, tr.BeginCheck(pool))
		c.advance(time.Second)
		require.Equal(t, NoCheck, tr.BeginCheck(pool), "nothing is in flight")
	}
}

// Guards against a path that counts as lost because one upstream of several fails or is silent.
func TestOneFailingUpstreamIsNoLostPath(t *testing.T) {
	for _, size := range []int{2, 3, 4, 8} {
		tr, c := newTracker()
		for range 20 {
			tr.Failed(pool)
			require.Equal(t, Unchanged, check(t, tr, size, size-1), "%d upstreams", size)
			c.advance(time.Second)
		}
		require.False(t, tr.IsLost(pool))
	}
}

// Guards against a silent cut that shows only once connections time out.
func TestSilenceWithRequestsInFlightIsChecked(t *testing.T) {
	tr, c := newTracker()
	tr.Sent(pool)
	c.advance(200 * time.Millisecond)
	tr.Answered(pool)
	c.advance(299 * time.Millisecond)
	require.Equal(t, NoCheck, tr.BeginCheck(pool))
	c.advance(time.Millisecond)
	require.Equal(t, CheckResponses, tr.BeginCheck(pool), "connections may be accepted before the cut")
	require.Equal(t, Lost, tr.EndCheck(pool, Check{Tried: 8}))
	require.Equal(t, []string{pool}, tr.LostPools())
}

// Guards against a flood of checks while many connections fail.
func TestChecksAreLimited(t *testing.T) {
	tr, c := newTracker()
	checks := 0
	for range 1000 {
		tr.Failed(pool)
		if tr.BeginCheck(pool) != NoCheck {
			checks++
			require.Equal(t, NoCheck, tr.BeginCheck(pool), "one at a time")
			tr.EndCheck(pool, Check{Tried: 3, Reached: 3})
		}
		c.advance(time.Millisecond)
	}
	require.Equal(t, 10, checks)
}

// checksUntilRegained runs checks that reach all upstreams until the path works again.
func checksUntilRegained(t *testing.T, tr *Tracker, c *clock) int {
	t.Helper()
	for n := 1; ; n++ {
		c.advance(defaultLostCheckInterval)
		if check(t, tr, 4, 4) == Regained {
			return n
		}
		require.Less(t, n, 100)
	}
}

// Guards against a daemon that stays out after its cut has healed, and against one that follows a
// path which comes and goes.
func TestHealedPathIsUsedWithinASecondUnlessItFlaps(t *testing.T) {
	tr, c := newTracker()
	lose := func() {
		tr.Failed(pool)
		c.advance(defaultMinCheckInterval)
		require.Equal(t, Lost, check(t, tr, 4, 0))
	}
	var checks []int
	for range 100 {
		lose()
		checks = append(checks, checksUntilRegained(t, tr, c))
	}
	require.Equal(t, []int{2, 4, 8, 8, 8}, checks[:5])
	require.Equal(t, 8, slices.Min(checks[2:]))
	c.advance(lossMemory + time.Second)
	lose()
	require.Equal(t, 2, checksUntilRegained(t, tr, c), "earlier losses are forgotten")
}

// Guards against a path that counts as working again after a lucky connection.
func TestLostPathNeedsGoodChecksInARow(t *testing.T) {
	tr, c := newTracker()
	tr.Failed(pool)
	require.Equal(t, Lost, check(t, tr, 4, 0))
	for range 10 {
		c.advance(defaultLostCheckInterval)
		require.Equal(t, Unchanged, check(t, tr, 4, 4))
		c.advance(defaultLostCheckInterval)
		require.Equal(t, Unchanged, check(t, tr, 4, 1))
	}
	require.True(t, tr.IsLost(pool))
}

// Guards against a verdict on a pool without upstreams, and against state of pools that are gone.
func TestEmptyPoolsHaveAPath(t *testing.T) {
	tr, _ := newTracker()
	tr.Failed(pool)
	require.Equal(t, Unchanged, check(t, tr, 0, 0))
	require.Empty(t, tr.LostPools())
	tr.Failed(pool)
	tr.Retain(func(string) bool { return false })
	require.Equal(t, NoCheck, tr.BeginCheck(pool), "forgotten")
}

// Guards against responses that a check awaits of busy upstreams because one other has crashed.
func TestFailedConnectionsAreCheckedByConnections(t *testing.T) {
	tr, _ := newTracker()
	tr.Sent(pool)
	tr.Failed(pool)
	require.True(t, tr.HasDue())
	require.Equal(t, CheckConnections, tr.BeginCheck(pool))
	require.False(t, tr.HasDue(), "it is in progress")
}

// The cost that each request bears.
func BenchmarkRequest(b *testing.B) {
	tr := NewTracker(Config{}, nil)
	b.ReportAllocs()
	for b.Loop() {
		tr.Sent(pool)
		tr.Answered(pool)
		tr.Ended(pool)
	}
}

// Guards against a daemon that keeps all of its requests for the one upstream of many that it reaches.
func TestPathToFewOfManyIsLost(t *testing.T) {
	for reached, change := range []Change{Lost, Lost, Lost, Unchanged, Unchanged} {
		tr, _ := newTracker()
		tr.Failed(pool)
		require.Equal(t, change, check(t, tr, 8, reached), "%d of 8", reached)
	}
}

// Guards against a path that passes for cut although some upstreams are reached over it: the others may be
// silent.
func TestPathThatReachesSomeIsNotCut(t *testing.T) {
	now := time.Unix(0, 0)
	tr := NewTracker(Config{}, func() time.Time { return now })
	check := func(reached int) {
		now = now.Add(200 * time.Millisecond)
		tr.Failed("p")
		require.NotEqual(t, NoCheck, tr.BeginCheck("p"))
		tr.EndCheck("p", Check{Tried: 8, Reached: reached})
	}
	check(0)
	check(0)
	require.Equal(t, 200*time.Millisecond, tr.CutFor("p"))
	check(1)
	require.True(t, tr.IsLost("p"))
	require.Zero(t, tr.CutFor("p"))
	check(0)
	check(0)
	require.Equal(t, 200*time.Millisecond, tr.CutFor("p"))
	check(8)
	check(8)
	require.False(t, tr.IsLost("p"))
	require.Zero(t, tr.CutFor("p"))
}
