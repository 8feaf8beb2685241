package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// Peers' work counts: an engine that another daemon has filled gets no more.
func TestPeersLoadCounts(t *testing.T) {
	b := NewTracker(nil)
	members := fleet(upstream.RoleDecode, upstream.RoleDecode)
	b.Sync(members)
	b.ApplyPeerUpdate("other", []UpstreamLoad{{Upstream: KeyOf("e0", time.Time{}), Load: Load{Running: 4}}}, nil)
	plan, ok := Pick(b.Engines(ids(members)), prompt(2))
	require.True(t, ok)
	require.Equal(t, "e1", plan.Engine)
	b.ApplyPeerUpdate("other", []UpstreamLoad{{Upstream: KeyOf("e1", time.Time{}), Load: Load{Running: 4}}}, nil)
	_, ok = Pick(b.Engines(ids(members)), prompt(2))
	require.False(t, ok)
	b.ForgetPeer("other")
	_, ok = Pick(b.Engines(ids(members)), prompt(2))
	require.True(t, ok)
}

// What one daemon sends to an engine makes the engine look busy to the others,
// also if a state was lost on the way; a peer's new start counts from nothing.
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
	a.LocalLoads(false) // lost on the way
	a.Begin("e0", Work{Prefill: tokens(4300)})
	b.ApplyPeerUpdate("a", a.LocalLoads(false), nil)
	require.InDelta(t, 2*prefill, queue(), 0.1)
	c.pass(millis(1.5 * prefill))
	require.InDelta(t, 0.5*prefill, queue(), 0.1, "the engine works meanwhile")
	c.pass(millis(prefill))
	require.Zero(t, queue())
	b.ApplyPeerUpdate("a", []UpstreamLoad{{Upstream: KeyOf("e0", time.Time{}), Load: Load{PrefillSent: 10}}}, nil)
	require.Zero(t, queue())
}

// Most of what daemons tell each other of prompts was that parts are being read which the
// engine keeps already. Only the first reading of a part is told before it is over, and
// each one that is over, as parts that aren't used yield.
func TestRedundantPrefillEventsAreOmitted(t *testing.T) {
	b := NewTracker(nil)
	b.Sync(fleet(upstream.RoleDecode))
	reported := func(o Outcome, prefilled bool) (states []PrefillState) {
		ticket := b.Begin("e0", Work{Prefill: tokens(100), Parts: prompt(2).Parts})
		if prefilled {
			ticket.PrefillDone()
		}
		ticket.End(o)
		for _, r := range b.PrefillEvents() {
			states = append(states, r.State)
		}
		return states
	}
	require.Equal(t, []PrefillState{PrefillStarted, PrefillAbandoned}, reported(Failed, false))
	require.Equal(t, []PrefillState{PrefillStarted, PrefillFinished}, reported(Done, true))
	require.Equal(t, []PrefillState{PrefillFinished}, reported(Done, true))
	require.Empty(t, reported(Failed, false))
}

// The last call to a plain server ends while a whole state is told. Peers must hear that
// nothing is left there: left out, it would look busy to them until its next call.
func TestEndOfLastCallIsReported(t *testing.T) {
	b := NewTracker(nil)
	b.Sync([]Member{{ID: "s", Pool: "p", Slots: 4}})
	call := b.Begin("s", Work{})
	require.Equal(t, 1, b.LocalLoads(true)[0].Load.Running)
	call.End(Done)
	require.Equal(t, []UpstreamLoad{{Upstream: b.KeyOf("s")}}, b.LocalLoads(true))
	require.Empty(t, b.LocalLoads(true))
	require.Empty(t, b.LocalLoads(false))
}

// An engine has changed its role, and its entry says so. Other daemons still pass
// on for seconds that it is about to: it must get work all the same.
func TestUnavailableEndsWithRoleChange(t *testing.T) {
	b := NewTracker(nil)
	members := fleet(upstream.RoleDecode, upstream.RoleDecode)
	b.Sync(members)
	b.MarkUnavailable(KeyOf("e0", time.Time{}), upstream.RolePrefill, time.Minute)
	require.True(t, b.Unavailable("e0"))
	require.Len(t, b.Engines(ids(members)), 1)
	members[0].Role = upstream.RolePrefill
	b.Sync(members)
	require.Len(t, b.Engines(ids(members)), 2)
	b.MarkUnavailable(KeyOf("e0", time.Time{}), upstream.RolePrefill, time.Minute)
	require.Len(t, b.Engines(ids(members)), 2, "old news keeps an engine idle")
	b.MarkUnavailable(KeyOf("e0", time.Time{}), "", time.Minute)
	require.Len(t, b.Engines(ids(members)), 1)
}

// An engine has crashed and started again under its ID. Prompts were still sent there
// for the parts that it had kept, and it was left alone for the failures of before.
func TestRestartClearsState(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	b := NewTracker(c.now)
	b.AssumeNewEnginesEmpty()
	members := fleet(upstream.RoleDecode)
	members[0].Started = time.Unix(100, 0)
	b.Sync(members)
	old := b.Begin("e0", Work{Prefill: tokens(5000), Parts: prompt(2).Parts, ReservedKVTokens: 6000})
	old.PrefillDone()
	b.ApplyPeerUpdate("peer", []UpstreamLoad{{Upstream: b.KeyOf("e0"), Load: Load{Running: 3}}}, nil)
	for range unreachableLimit {
		b.Begin("e0", Work{}).End(Unreachable)
	}
	require.Empty(t, b.Engines(ids(members)))
	former := b.KeyOf("e0")

	members[0].Started = time.Unix(200, 0)
	b.Sync(members)
	e := b.Engines(ids(members))
	require.Len(t, e, 1)
	require.Zero(t, e[0].Running)
	require.Zero(t, e[0].ReservedKVTokens)
	require.Zero(t, e[0].Cached(sharedParts(prompt(2).Parts)))

	// Word of the former start still comes in, and its request ends.
	b.ApplyPeerUpdate("peer", []UpstreamLoad{{Upstream: former, Load: Load{Running: 3}}}, []PrefillEvent{{Engine: former, State: PrefillFinished, LastShared: Part{ID: 2, Tokens: 5000}}})
	old.End(Done)
	e = b.Engines(ids(members))
	require.Zero(t, e[0].Running)
	require.Zero(t, e[0].Cached(sharedParts(prompt(2).Parts)))
}
