package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/upstream"
)

// leaders maps each scope that has a leader to the leader's fencing token.
type leaders map[string]uint64

// Scope implements Leases.
func (l leaders) Scope(name string) lease.ScopeState {
	token, ok := l[name]
	return lease.ScopeState{Known: ok, Held: ok, FencingToken: token}
}

// stateFixture applies records at increasing offsets.
type stateFixture struct {
	*State
	next infra.Offset
}

func newStateFixture(l leaders) *stateFixture { return &stateFixture{State: NewState(l), next: 100} }

func (f *stateFixture) apply(r Record) bool {
	f.next++
	p := journal.LogEntry{
		Position: journal.Position{Offset: f.next},
		Entry:    journal.Entry{Kind: journal.KindOrder, Body: r.Encode()},
	}
	_, ok := f.Apply(p)
	return ok
}

// step returns a record that moves a change to a phase and follows the engine's
// last record.
func (f *stateFixture) step(engine, id, scope string, token uint64, p Phase, reservation *Reservation) Record {
	e := f.Engine(engine)
	return Record{Engine: engine, After: e.LastPosition, Scope: scope, FencingToken: token, Change: &Change{
		ID: id, Engine: engine, Kind: upstream.OrderRole, Phase: p, Scope: scope, FencingToken: token, Reservation: reservation,
		Target: Settings{Role: upstream.RoleDecode},
	}}
}

func TestOneOpenChangePerEngineAcrossLeaders(t *testing.T) {
	l := leaders{"a": 7}
	f := newStateFixture(l)
	require.True(t, f.apply(f.step("e", "c1", "a", 7, PhaseDraining, nil)))
	assert.False(t, f.Engine("e").TakesWork())
	assert.False(t, f.apply(f.step("e", "c2", "a", 7, PhaseDraining, nil)), "a second change")
	assert.False(t, f.apply(f.step("e", "c1", "a", 7, PhaseOrdered, nil)), "ordered before drained")
	stale := f.step("e", "c1", "a", 7, PhaseDrained, nil)
	late := f.step("e", "c1", "a", 7, PhaseUndone, nil)

	l["a"] = 9 // another leader
	assert.False(t, f.apply(stale), "a former leader's record lands late")
	require.True(t, f.apply(f.step("e", "c1", "a", 9, PhaseDrained, nil)))
	l["a"] = 7
	assert.False(t, f.apply(late), "names a record that isn't the last")
	l["a"] = 9
	require.True(t, f.apply(f.step("e", "c1", "a", 9, PhaseOrdered, nil)))
	require.True(t, f.apply(f.step("e", "c1", "a", 9, PhaseConfirmed, nil)))
	assert.True(t, f.Engine("e").TakesWork())
	assert.False(t, f.apply(f.step("e", "c1", "a", 9, PhaseUndone, nil)), "ended already")
	require.True(t, f.apply(f.step("e", "c2", "a", 9, PhaseDraining, nil)))
}

// Leaders of two data centres load models at the same time and know of each other
// only through the journal. Together they must not exceed the weight store's rate.
func TestLoadsShareOneBudget(t *testing.T) {
	f := newStateFixture(leaders{"a": 1, "b": 2})
	most := &Reservation{Bytes: 100, BytesPerSec: 60, LimitPerSec: 100}
	for _, x := range []struct {
		engine, scope string
		token         uint64
	}{{"ea", "a", 1}, {"eb", "b", 2}} {
		require.True(t, f.apply(f.step(x.engine, x.engine, x.scope, x.token, PhaseDraining, nil)))
		require.True(t, f.apply(f.step(x.engine, x.engine, x.scope, x.token, PhaseDrained, nil)))
	}
	require.True(t, f.apply(f.step("ea", "ea", "a", 1, PhaseOrdered, most)))
	assert.False(t, f.apply(f.step("eb", "eb", "b", 2, PhaseOrdered, most)))
	little := &Reservation{Bytes: 100, BytesPerSec: 40, LimitPerSec: 100}
	assert.True(t, f.apply(f.step("eb", "eb", "b", 2, PhaseOrdered, little)))
	require.True(t, f.apply(f.step("ea", "ea", "a", 1, PhaseConfirmed, nil)))
	assert.True(t, f.apply(f.step("eb", "eb", "b", 2, PhaseOrdered, most)))
}

func TestReaderOfATrimmedLogStartsAtACheckpoint(t *testing.T) {
	f := newStateFixture(leaders{"a": 1})
	require.True(t, f.apply(f.step("e", "c", "a", 1, PhaseDraining, nil)))
	e := f.Engine("e")
	again := CheckpointOf(e)
	late := newStateFixture(leaders{}) // knows no leader yet
	late.next = f.next
	require.True(t, f.apply(again))
	require.True(t, late.apply(again))
	assert.Equal(t, e.Change.DrainStart, late.Engine("e").Change.DrainStart)
	assert.Equal(t, f.Engine("e").LastPosition, late.Engine("e").LastPosition)
	other := again
	other.Change = &Change{ID: "c", Engine: "e", Phase: PhaseUndone, Scope: "a", FencingToken: 1}
	other.After = f.Engine("e").LastPosition
	assert.False(t, f.apply(other), "a checkpoint changes nothing")
}

// leaderInput returns the input of a leader with fencing token 5 for an engine that
// enforces fencing.
func leaderInput(c *Change, now time.Time) Input {
	return Input{
		Now: now, EnforcesFencing: true, Drained: true,
		Authority: lease.Authority{Scope: "a", FencingToken: 5},
		Engine:    Engine{Name: "e", Known: true, Change: c},
		Limits: Limits{
			DrainTimeout: time.Minute, OrderTimeout: time.Minute, SettleTime: time.Second,
			ReadInterval: time.Second / 2, MaxStateAge: time.Second, RetryDelay: time.Second / 2,
		},
	}
}

// An engine that restarted has lost its fencing token and would accept an outdated
// order still in flight. The leader must detect that and raise the token again.
func TestTokenIsRaisedAgainAfterRestart(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var sess Session
	s := leaderInput(nil, now)
	require.Equal(t, ActionRaiseToken, Next(s, &sess).Kind)
	sess.RaiseDone(nil, now, s.Limits.RetryDelay)
	require.Equal(t, ActionRead, Next(s, &sess).Kind)
	sess.ReadDone(upstream.EngineState{FencingToken: 5, Role: "mixed"}, nil, now, now, s.Limits)
	require.Equal(t, ActionAppend, Next(s, &sess).Kind, "observed settings")
	sess.ReadDone(upstream.EngineState{Role: "mixed"}, nil, now, now, s.Limits)
	assert.Equal(t, ActionRaiseToken, Next(s, &sess).Kind)
}

// The reply to an order is lost and the engine doesn't show the order, which may
// still arrive. No other order may be sent until that is impossible: an engine
// that enforces fencing first needs a higher token, any other engine must have
// answered for SettleTime.
func TestOrderWithoutReply(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	ch := &Change{
		ID: "c", Engine: "e", Kind: upstream.OrderRole, Target: Settings{Role: upstream.RoleDecode},
		Phase: PhaseOrdered, Scope: "a", FencingToken: 5, Attempt: 1, Incarnation: "1",
	}
	state := upstream.EngineState{Role: upstream.RoleMixed, FencingToken: 5, Incarnation: "1"}
	for _, enforces := range []bool{true, false} {
		var sess Session
		at := func(d time.Duration) Input {
			s := leaderInput(ch, start.Add(d))
			s.EnforcesFencing = enforces
			return s
		}
		readAt := func(d time.Duration) {
			sess.ReadDone(state, nil, start.Add(d), start.Add(d), at(d).Limits)
		}
		Next(at(0), &sess) // binds the session to the token
		sess.RaiseDone(nil, start, 0)
		readAt(0)
		require.Equal(t, ActionSend, Next(at(0), &sess).Kind)
		sess.SendDone(*ch, upstream.ErrBroken, start, start, time.Second/2)
		require.Equal(t, ActionWait, Next(at(100*time.Millisecond), &sess).Kind)
		require.Equal(t, ActionRead, Next(at(time.Second), &sess).Kind)
		readAt(time.Second)
		if enforces {
			assert.Equal(t, ActionRenumber, Next(at(time.Second), &sess).Kind)
			continue
		}
		assert.Equal(t, ActionWait, Next(at(time.Second), &sess).Kind)
		readAt(1900 * time.Millisecond)
		assert.Equal(t, ActionWait, Next(at(1900*time.Millisecond), &sess).Kind)
		readAt(2 * time.Second)
		next := Next(at(2*time.Second), &sess)
		require.Equal(t, ActionAppend, next.Kind)
		assert.Equal(t, 2, next.Record.Change.Attempt)
	}
}
