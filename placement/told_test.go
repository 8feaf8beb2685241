package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// Peers' work counts: an engine that another daemon has filled gets no more.
func TestPeersLoadCounts(t *testing.T) {
	b := NewBooks(nil)
	members := fleet(upstream.RoleDecode, upstream.RoleDecode)
	b.Sync(members)
	b.NotePeer("other", []LoadAt{{At: KeyOf("e0", time.Time{}), Load: Load{Running: 4}}}, nil)
	plan, ok := Pick(b.Engines(ids(members)), prompt(2))
	require.True(t, ok)
	require.Equal(t, "e1", plan.Engine)
	b.NotePeer("other", []LoadAt{{At: KeyOf("e1", time.Time{}), Load: Load{Running: 4}}}, nil)
	_, ok = Pick(b.Engines(ids(members)), prompt(2))
	require.False(t, ok)
	b.ForgetPeer("other")
	_, ok = Pick(b.Engines(ids(members)), prompt(2))
	require.True(t, ok)
}

// What one daemon sends to an engine makes the engine look busy to the others,
// also if a state was lost on the way; a peer's new start counts from nothing.
func TestPeersQueue(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	a, b := NewBooks(c.now), NewBooks(c.now)
	members := fleet(upstream.RolePrefill)
	a.Sync(members)
	b.Sync(members)
	queue := func() float64 { return b.Engines(ids(members))[0].QueueMillis }
	first := a.Own(true)
	b.NotePeer("a", append(first, LoadAt{At: KeyOf("e0", time.Time{})}), nil)
	reading := a.Reading("p", upstream.RolePrefill, tokens(4300))
	a.Begin("e0", Work{Read: tokens(4300)})
	a.Own(false) // lost on the way
	a.Begin("e0", Work{Read: tokens(4300)})
	b.NotePeer("a", a.Own(false), nil)
	require.InDelta(t, 2*reading, queue(), 0.1)
	c.pass(millis(1.5 * reading))
	require.InDelta(t, 0.5*reading, queue(), 0.1, "the engine works meanwhile")
	c.pass(millis(reading))
	require.Zero(t, queue())
	b.NotePeer("a", []LoadAt{{At: KeyOf("e0", time.Time{}), Load: Load{Sent: 10}}}, nil)
	require.Zero(t, queue())
}

// Most of what daemons tell each other of prompts was that parts are being read which the
// engine keeps already. Only the first reading of a part is told before it is over, and
// each one that is over, as parts that aren't used yield.
func TestOnlyNewReadingsAreTold(t *testing.T) {
	b := NewBooks(nil)
	b.Sync(fleet(upstream.RoleDecode))
	told := func(o Outcome, read bool) (states []ReadState) {
		ticket := b.Begin("e0", Work{Read: tokens(100), Parts: prompt(2).Parts})
		if read {
			ticket.PromptRead()
		}
		ticket.End(o)
		for _, r := range b.Reads() {
			states = append(states, r.State)
		}
		return states
	}
	require.Equal(t, []ReadState{Begun, Abandoned}, told(Failed, false))
	require.Equal(t, []ReadState{Begun, Finished}, told(Done, true))
	require.Equal(t, []ReadState{Finished}, told(Done, true))
	require.Empty(t, told(Failed, false))
}

// The last call to a plain server ends while a whole state is told. Peers must hear that
// nothing is left there: left out, it would look busy to them until its next call.
func TestTheEndOfTheLastCallIsTold(t *testing.T) {
	b := NewBooks(nil)
	b.Sync([]Member{{ID: "s", Pool: "p", Slots: 4}})
	call := b.Begin("s", Work{})
	require.Equal(t, 1, b.Own(true)[0].Load.Running)
	call.End(Done)
	require.Equal(t, []LoadAt{{At: b.KeyOf("s")}}, b.Own(true))
	require.Empty(t, b.Own(true))
	require.Empty(t, b.Own(false))
}

// An engine has changed its role, and its entry says so. Other daemons still pass
// on for seconds that it is about to: it must get work all the same.
func TestAwayEndsWithTheChange(t *testing.T) {
	b := NewBooks(nil)
	members := fleet(upstream.RoleDecode, upstream.RoleDecode)
	b.Sync(members)
	b.SendAway(KeyOf("e0", time.Time{}), upstream.RolePrefill, time.Minute)
	require.True(t, b.Away("e0"))
	require.Len(t, b.Engines(ids(members)), 1)
	members[0].Role = upstream.RolePrefill
	b.Sync(members)
	require.Len(t, b.Engines(ids(members)), 2)
	b.SendAway(KeyOf("e0", time.Time{}), upstream.RolePrefill, time.Minute)
	require.Len(t, b.Engines(ids(members)), 2, "old news keeps an engine idle")
	b.SendAway(KeyOf("e0", time.Time{}), "", time.Minute)
	require.Len(t, b.Engines(ids(members)), 1)
}

// An engine has crashed and started again under its ID. Prompts were still sent there
// for the parts that it had kept, and it was left alone for the failures of before.
func TestNewStartKnowsNothingOfTheFormer(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	b := NewBooks(c.now)
	b.Inform()
	members := fleet(upstream.RoleDecode)
	members[0].Started = time.Unix(100, 0)
	b.Sync(members)
	old := b.Begin("e0", Work{Read: tokens(5000), Parts: prompt(2).Parts, Held: 6000})
	old.PromptRead()
	b.NotePeer("peer", []LoadAt{{At: b.KeyOf("e0"), Load: Load{Running: 3}}}, nil)
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
	require.Zero(t, e[0].HeldTokens)
	require.Zero(t, e[0].Cached(sharedParts(prompt(2).Parts)))

	// Word of the former start still comes in, and its request ends.
	b.NotePeer("peer", []LoadAt{{At: former, Load: Load{Running: 3}}}, []Read{{At: former, State: Finished, Last: Part{ID: 2, Tokens: 5000}}})
	old.End(Done)
	e = b.Engines(ids(members))
	require.Zero(t, e[0].Running)
	require.Zero(t, e[0].Cached(sharedParts(prompt(2).Parts)))
}
