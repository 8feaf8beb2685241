package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// After a restart of all daemons the engines still have their caches. Daemons that assumed
// empty caches sent prompts again, took cache hits for fast prefill, and estimated the
// engines to be several times faster than they are.
func TestNoLearningWithUnknownCache(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	tracker := NewTracker(c.now)
	members := fleet(upstream.RolePrefill, upstream.RolePrefill)
	tracker.Sync(members)
	require.Len(t, tracker.UnknownCaches(), 2)
	before := tracker.PrefillMillis("p", upstream.RolePrefill, tokens(10_000))
	ticket := tracker.Begin("e0", Work{Prefill: tokens(10_000), Parts: prompt(2).Parts})
	c.pass(time.Millisecond)
	ticket.PrefillDone()
	require.InDelta(t, before, tracker.PrefillMillis("p", upstream.RolePrefill, tokens(10_000)), 0)

	tracker.SetCachedParts("e0", []Part{{ID: 3, Tokens: 4000}})
	require.Equal(t, []Key{tracker.KeyOf("e1")}, tracker.UnknownCaches())
	require.Equal(t, 5000, tracker.Engines(ids(members))[0].Cached(sharedParts(prompt(3).Parts)).Ready)
	ticket = tracker.Begin("e0", Work{Prefill: tokens(10_000), Parts: prompt(2).Parts})
	c.pass(time.Second)
	ticket.PrefillDone()
	require.Greater(t, tracker.PrefillMillis("p", upstream.RolePrefill, tokens(10_000)), before)
}

// A daemon that starts while others run takes over their learned state: the engines' cached
// parts and speed.
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

	// A daemon without observations reports no caches.
	untrained := NewTracker(nil)
	untrained.Sync(members)
	require.Empty(t, untrained.Snapshot(missing).Cached)

	// An engine that appears later has just started with an empty cache.
	fresh.AssumeNewEnginesEmpty()
	fresh.Sync(fleet(upstream.RoleDecode, upstream.RolePrefill, upstream.RoleDecode))
	require.Empty(t, fresh.UnknownCaches())
}

// A second daemon places a prompt whose parts another daemon has just sent to an engine. It
// must go to the same engine, so that the parts are prefilled once.
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

	// The first daemon stops without a further report.
	a.Begin("e1", Work{Prefill: tokens(6000), Parts: prompt(3).Parts})
	b.ApplyPeerUpdate("a", nil, a.PrefillEvents())
	c.pass(inProgressTimeout + time.Millisecond)
	require.Zero(t, b.Engines(ids(members))[1].Cached(sharedParts(prompt(3).Parts)))
}
