package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// An engine that another daemon has filled gets no more requests.
func TestPeersLoadCounts(t *testing.T) {
	tracker := NewTracker(nil)
	members := fleet(upstream.RoleDecode, upstream.RoleDecode)
	tracker.Sync(members)
	tracker.ApplyPeerUpdate("other", []UpstreamLoad{{Upstream: KeyOf("e0", time.Time{}), Load: Load{Running: 4}}}, nil)
	plan, ok := Pick(tracker.Engines(ids(members)), prompt(2))
	require.True(t, ok)
	require.Equal(t, "e1", plan.Engine)
	tracker.ApplyPeerUpdate("other", []UpstreamLoad{{Upstream: KeyOf("e1", time.Time{}), Load: Load{Running: 4}}}, nil)
	_, ok = Pick(tracker.Engines(ids(members)), prompt(2))
	require.False(t, ok)
	tracker.ForgetPeer("other")
	_, ok = Pick(tracker.Engines(ids(members)), prompt(2))
	require.True(t, ok)
}

// Prefill work that one daemon sends makes the engine look busy to the others, even if a
// report is lost; a restarted peer counts from zero.
func TestPeerPrefillQueues(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	a, b := NewTracker(c.now), NewTracker(c.now)
	members := fleet(upstream.RolePrefill)
	a.Sync(members)
	b.Sync(members)
	queue := func() float64 { return b.Engines(ids(members))[0].QueueMillis }
	first := a.LocalLoads(true)
	b.ApplyPeerUpdate("a", append(first, UpstreamLoad{Upstream: KeyOf("e0", time.Time{})}), nil)
	prefill := a.PrefillMillis("p", upstream.RolePrefill, tokens(4300))
	a.Begin("e0", Work{Prefill: tokens(4300)})
	a.LocalLoads(false) // this report is lost
	a.Begin("e0", Work{Prefill: tokens(4300)})
	b.ApplyPeerUpdate("a", a.LocalLoads(false), nil)
	require.InDelta(t, 2*prefill, queue(), 0.1)
	c.pass(fromMillis(1.5 * prefill))
	require.InDelta(t, 0.5*prefill, queue(), 0.1, "the engine works off its queue")
	c.pass(fromMillis(prefill))
	require.Zero(t, queue())
	b.ApplyPeerUpdate("a", []UpstreamLoad{{Upstream: KeyOf("e0", time.Time{}), Load: Load{PrefillSent: 10}}}, nil)
	require.Zero(t, queue())
}

// Most prefill events would report parts that the engine has already cached. Only the first
// prefill of a part is reported at its start, but each one at its end, since unused parts
// get evicted.
func TestRedundantPrefillEventsAreOmitted(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Sync(fleet(upstream.RoleDecode))
	reported := func(o Outcome, prefilled bool) (states []PrefillState) {
		ticket := tracker.Begin("e0", Work{Prefill: tokens(100), Parts: prompt(2).Parts})
		if prefilled {
			ticket.PrefillDone()
		}
		ticket.End(o)
		for _, r := range tracker.PrefillEvents() {
			states = append(states, r.State)
		}
		return states
	}
	require.Equal(t, []PrefillState{PrefillStarted, PrefillAbandoned}, reported(Failed, false))
	require.Equal(t, []PrefillState{PrefillStarted, PrefillFinished}, reported(Done, true))
	require.Equal(t, []PrefillState{PrefillFinished}, reported(Done, true))
	require.Empty(t, reported(Failed, false))
}

// The last call to a plain server ends before a full report. The report must include the
// empty load: peers would otherwise see the server as busy until its next call.
func TestEndOfLastCallIsReported(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Sync([]Member{{ID: "s", Pool: "p", Slots: 4}})
	call := tracker.Begin("s", Work{})
	require.Equal(t, 1, tracker.LocalLoads(true)[0].Load.Running)
	call.End(Done)
	require.Equal(t, []UpstreamLoad{{Upstream: tracker.KeyOf("s")}}, tracker.LocalLoads(true))
	require.Empty(t, tracker.LocalLoads(true))
	require.Empty(t, tracker.LocalLoads(false))
}

// An engine's entry shows its new role, while other daemons still report for seconds that
// it is about to change. It must get work nevertheless.
func TestUnavailableEndsWithRoleChange(t *testing.T) {
	tracker := NewTracker(nil)
	members := fleet(upstream.RoleDecode, upstream.RoleDecode)
	tracker.Sync(members)
	tracker.MarkUnavailable(KeyOf("e0", time.Time{}), upstream.RolePrefill, time.Minute)
	require.True(t, tracker.Unavailable("e0"))
	require.Len(t, tracker.Engines(ids(members)), 1)
	members[0].Role = upstream.RolePrefill
	tracker.Sync(members)
	require.Len(t, tracker.Engines(ids(members)), 2)
	tracker.MarkUnavailable(KeyOf("e0", time.Time{}), upstream.RolePrefill, time.Minute)
	require.Len(t, tracker.Engines(ids(members)), 2, "an outdated report keeps an engine idle")
	tracker.MarkUnavailable(KeyOf("e0", time.Time{}), "", time.Minute)
	require.Len(t, tracker.Engines(ids(members)), 1)
}

// An engine crashes and restarts under the same ID. Without a reset it would get prompts
// for parts that it has lost, and be avoided for failures before the restart.
func TestRestartClearsState(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	tracker := NewTracker(c.now)
	tracker.AssumeNewEnginesEmpty()
	members := fleet(upstream.RoleDecode)
	members[0].Started = time.Unix(100, 0)
	tracker.Sync(members)
	old := tracker.Begin("e0", Work{Prefill: tokens(5000), Parts: prompt(2).Parts, ReservedKVTokens: 6000})
	old.PrefillDone()
	tracker.ApplyPeerUpdate("peer", []UpstreamLoad{{Upstream: tracker.KeyOf("e0"), Load: Load{Running: 3}}}, nil)
	for range unreachableLimit {
		tracker.Begin("e0", Work{}).End(Unreachable)
	}
	require.Empty(t, tracker.Engines(ids(members)))
	oldKey := tracker.KeyOf("e0")

	members[0].Started = time.Unix(200, 0)
	tracker.Sync(members)
	e := tracker.Engines(ids(members))
	require.Len(t, e, 1)
	require.Zero(t, e[0].Running)
	require.Zero(t, e[0].ReservedKVTokens)
	require.Zero(t, e[0].Cached(sharedParts(prompt(2).Parts)))

	// Reports about the previous start still arrive, and its request ends.
	tracker.ApplyPeerUpdate("peer", []UpstreamLoad{{Upstream: oldKey, Load: Load{Running: 3}}}, []PrefillEvent{{Engine: oldKey, State: PrefillFinished, LastShared: Part{ID: 2, Tokens: 5000}}})
	old.End(Done)
	e = tracker.Engines(ids(members))
	require.Zero(t, e[0].Running)
	require.Zero(t, e[0].Cached(sharedParts(prompt(2).Parts)))
}
