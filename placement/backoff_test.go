package placement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// backoffTracker is a tracker of plain upstreams of one pool, with its own clock.
type backoffTracker struct {
	*Tracker
	t     *testing.T
	clock time.Time
}

func newBackoffTracker(t *testing.T, ids ...string) *backoffTracker {
	r := &backoffTracker{t: t, clock: time.Now()}
	r.Tracker = NewTracker(func() time.Time { return r.clock })
	r.sync(ids...)
	return r
}

func (r *backoffTracker) sync(ids ...string) {
	var members []Member
	for _, id := range ids {
		members = append(members, Member{ID: id, Pool: "app", Slots: 4})
	}
	r.Sync(members)
}

func (r *backoffTracker) pass(d time.Duration) { r.clock = r.clock.Add(d) }

// pick returns the upstream chosen for a request, empty if there is none.
func (r *backoffTracker) pick() string {
	id, _, _ := r.PickService("app", Request{})
	return id
}

// noStart is the start time of upstreams that don't state it.
var noStart time.Time

// Guards against all callers coming back to an upstream at once when its backoff ends.
func TestUpstreamIsProbedByOneRequestAfterBackoff(t *testing.T) {
	r := newBackoffTracker(t, "a")
	require.True(t, r.BackOff("a", noStart, 3*time.Second))
	r.pass(3*time.Second - 1)
	require.Empty(t, r.pick())
	r.pass(2)
	require.Equal(t, "a", r.pick())
	probe := r.Begin("a", Work{})
	require.Empty(t, r.pick(), "the probe isn't answered yet")
	probe.End(Cancelled)
	require.Equal(t, "a", r.pick(), "the probe says nothing")
	r.Begin("a", Work{}).End(Done)
	r.Begin("a", Work{})
	require.Equal(t, "a", r.pick())
}

// A response to a request from before the backoff doesn't end the probing.
func TestEarlierRequestIsNoProbe(t *testing.T) {
	r := newBackoffTracker(t, "a")
	earlier := r.Begin("a", Work{})
	r.BackOff("a", noStart, time.Second)
	r.pass(2 * time.Second)
	earlier.End(Done)
	r.Begin("a", Work{})
	require.Empty(t, r.pick())
}

// A long stream must not hold up all other requests after a backoff: its first event is answer
// enough. After failures, the whole stream has to succeed.
func TestFirstEventEndsProbingAfterBackoff(t *testing.T) {
	engines := func() *backoffTracker {
		r := newBackoffTracker(t)
		r.Sync([]Member{{ID: "e", Pool: "app", Role: upstream.RoleDecode, Slots: 4, KVTokens: 1000}})
		return r
	}
	r := engines()
	r.BackOff("e", noStart, time.Second)
	r.pass(2 * time.Second)
	probe := r.Begin("e", Work{})
	require.Empty(t, r.Engines([]string{"e"}))
	probe.PrefillDone()
	require.Len(t, r.Engines([]string{"e"}), 1)

	r = engines()
	for range unreachableLimit {
		r.Begin("e", Work{}).End(Unreachable)
	}
	r.BackOff("e", noStart, time.Second)
	r.pass(2 * time.Second)
	r.Begin("e", Work{}).PrefillDone()
	require.Empty(t, r.Engines([]string{"e"}))
}

// Of several responses the one with the later end counts, whichever comes first.
func TestLaterEndOfBackoffCounts(t *testing.T) {
	r := newBackoffTracker(t, "a")
	require.True(t, r.BackOff("a", noStart, 3*time.Second))
	require.False(t, r.BackOff("a", noStart, time.Second))
	require.Equal(t, 3*time.Second, r.BackoffLeft("a", noStart))
	r.pass(time.Second)
	require.True(t, r.BackOff("a", noStart, 3*time.Second))
	require.Equal(t, 3*time.Second, r.BackoffLeft("a", noStart))
	r.pass(3*time.Second - 1)
	require.Empty(t, r.pick())
	r.pass(1)
	require.Zero(t, r.BackoffLeft("a", noStart))
}

// A backoff is the wish of a healthy upstream: it neither counts as a failure nor shortens an
// ejection.
func TestBackoffIsNoFailure(t *testing.T) {
	r := newBackoffTracker(t, "a")
	for range 5 {
		r.BackOff("a", noStart, time.Second)
		r.pass(2 * time.Second)
	}
	health := &r.byID["a"].health
	require.Zero(t, health.failureRate)
	r.Begin("a", Work{}).End(Failed)
	require.Zero(t, health.ejections, "one failure, no ejection")
	require.Equal(t, "a", r.pick())
	require.True(t, health.probing, "a failure is no answer")
	r.Begin("a", Work{}).End(Done)
	require.False(t, health.probing)
	require.Positive(t, health.failureRate, "the failure is forgotten")
	for range unreachableLimit {
		r.Begin("a", Work{}).End(Unreachable)
	}
	until := health.ejectedUntil
	r.BackOff("a", noStart, time.Millisecond)
	require.Equal(t, until, health.ejectedUntil)
}

// A backoff outlasts the lapse of the upstream's entry, and binds no other start under its ID.
func TestBackoffOutlastsLapse(t *testing.T) {
	r := newBackoffTracker(t, "a", "b")
	r.BackOff("a", noStart, 3*time.Second)
	r.sync("b")
	r.pass(time.Second)
	r.sync("a")
	require.Empty(t, r.pick())
	require.Equal(t, 2*time.Second, r.BackoffLeft("a", noStart))
	restarted := Member{ID: "a", Pool: "app", Slots: 4, Started: time.UnixMilli(5000)}
	r.Sync([]Member{restarted})
	require.Equal(t, "a", r.pick())
	require.Zero(t, r.BackoffLeft(restarted.ID, restarted.Started))
}

// Backoffs that are over aren't kept.
func TestOldBackoffsAreDropped(t *testing.T) {
	r := newBackoffTracker(t, "a", "b")
	r.BackOff("a", noStart, time.Second)
	r.pass(time.Second)
	r.BackOff("b", noStart, time.Second)
	require.Len(t, r.backoffs, 1)
}

// A pool is in backoff if all upstreams that could run a request are: until the first one is back.
func TestPoolBackoff(t *testing.T) {
	engine := func(id string, role upstream.Role, draining bool) Member {
		return Member{ID: id, Pool: "app", Role: role, Slots: 4, KVTokens: 1000, Draining: draining}
	}
	r := newBackoffTracker(t)
	requireAwake := func() {
		t.Helper()
		_, ok := r.PoolBackoff("app", nil)
		require.False(t, ok)
	}
	requireBackoff := func(first, firstUsable time.Duration, exclude ...string) {
		t.Helper()
		backoff, ok := r.PoolBackoff("app", exclude)
		require.True(t, ok)
		require.Equal(t, PoolBackoff{First: first, FirstUsable: firstUsable}, backoff)
	}
	requireAwake()
	r.Sync([]Member{engine("p", upstream.RolePrefill, false), engine("d1", upstream.RoleDecode, false), engine("d2", upstream.RoleDecode, false), engine("d3", upstream.RoleDecode, true)})
	requireAwake()
	r.BackOff("d1", noStart, 3*time.Second)
	requireAwake()
	r.BackOff("d2", noStart, 2*time.Second)
	requireBackoff(2*time.Second, 2*time.Second)
	requireBackoff(2*time.Second, 3*time.Second, "d2")
	requireBackoff(2*time.Second, math.MaxInt64, "d2", "d1")
	r.pass(2 * time.Second)
	requireAwake()
	r.Sync([]Member{engine("p", upstream.RolePrefill, false), engine("d3", upstream.RoleDecode, true)})
	requireAwake()
}

// The cache contents of an engine that is draining aren't asked for.
func TestDrainingEnginesHaveNoUnknownCaches(t *testing.T) {
	r := newBackoffTracker(t)
	r.Sync([]Member{{ID: "d", Pool: "app", Role: upstream.RoleDecode, Draining: true}})
	require.Empty(t, r.UnknownCaches())
}
