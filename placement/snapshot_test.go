package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// All daemons have started again. The engines keep what they kept; the daemons took it
// to be missing, had it read again, and took the engines for several times faster than
// they are, as nothing had to be read.
func TestNoLearningWithUnknownCache(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	b := NewTracker(c.now)
	members := fleet(upstream.RolePrefill, upstream.RolePrefill)
	b.Sync(members)
	require.Len(t, b.UnknownCaches(), 2)
	before := b.PrefillMillis("p", upstream.RolePrefill, tokens(10_000))
	ticket := b.Begin("e0", Work{Prefill: tokens(10_000), Parts: prompt(2).Parts})
	c.pass(time.Millisecond)
	ticket.PrefillDone()
	require.InDelta(t, before, b.PrefillMillis("p", upstream.RolePrefill, tokens(10_000)), 0)

	b.SetCachedParts("e0", []Part{{ID: 3, Tokens: 4000}})
	require.Equal(t, []Key{b.KeyOf("e1")}, b.UnknownCaches())
	require.Equal(t, 5000, b.Engines(ids(members))[0].Cached(sharedParts(prompt(3).Parts)).Ready)
	ticket = b.Begin("e0", Work{Prefill: tokens(10_000), Parts: prompt(2).Parts})
	c.pass(time.Second)
	ticket.PrefillDone()
	require.Greater(t, b.PrefillMillis("p", upstream.RolePrefill, tokens(10_000)), before)
}

// A daemon that starts while others serve takes over what they believe: what engines
// keep, whatever the order, and how fast they are.
func TestSnapshotAndRestore(t *testing.T) {
	members := fleet(upstream.RoleDecode, upstream.RolePrefill)
	old := trainedTracker(&clock{time.Unix(1, 0)}, members)
	ticket := old.Begin("e0", Work{Prefill: tokens(5000), Parts: prompt(2).Parts})
	ticket.PrefillDone()
	ticket.End(Done)

	fresh := NewTracker(nil)
	fresh.Sync(members)
	missing := fresh.UnknownCaches()
	require.Len(t, missing, 2)
	fresh.Restore("old", old.Snapshot(missing))
	require.Empty(t, fresh.UnknownCaches())
	require.Equal(t, 5000, fresh.Engines(ids(members))[0].Cached(sharedParts(prompt(2).Parts)).Ready)
	for _, role := range []upstream.Role{upstream.RoleDecode, upstream.RolePrefill} {
		want := old.PrefillMillis("p", role, tokens(8000))
		require.InEpsilon(t, want, fresh.PrefillMillis("p", role, tokens(8000)), 0.05)
	}

	// One that knows nothing itself says nothing of engines.
	untrained := NewTracker(nil)
	untrained.Sync(members)
	require.Empty(t, untrained.Snapshot(missing).Cached)

	// An engine that appears later has just started, and keeps nothing.
	fresh.AssumeNewEnginesEmpty()
	fresh.Sync(fleet(upstream.RoleDecode, upstream.RolePrefill, upstream.RoleDecode))
	require.Empty(t, fresh.UnknownCaches())
}

// A second daemon asks for a prompt while the first one's is being read at another
// engine: it goes there too, and isn't read twice.
func TestPendingPrefillCountsAsCached(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	members := fleet(upstream.RoleDecode, upstream.RoleDecode)
	a, b := trainedTracker(c, members), trainedTracker(c, members)
	ticket := a.Begin("e1", Work{Prefill: tokens(6000), Parts: prompt(2).Parts})
	a.LocalLoads(false)
	b.ApplyPeerUpdate("a", nil, a.PrefillEvents())
	cached := b.Engines(ids(members))[1].Cached(sharedParts(prompt(2).Parts))
	require.Equal(t, CachedPrefix{Expected: 5000}, cached)

	ticket.End(Cancelled)
	b.ApplyPeerUpdate("a", nil, a.PrefillEvents())
	require.Zero(t, b.Engines(ids(members))[1].Cached(sharedParts(prompt(2).Parts)))

	// The first daemon ends without a word.
	a.Begin("e1", Work{Prefill: tokens(6000), Parts: prompt(3).Parts})
	b.ApplyPeerUpdate("a", nil, a.PrefillEvents())
	c.pass(inProgressTimeout + time.Millisecond)
	require.Zero(t, b.Engines(ids(members))[1].Cached(sharedParts(prompt(3).Parts)))
}
