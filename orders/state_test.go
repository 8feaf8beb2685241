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

// leaders is the authority at the place being folded: scope to number.
type leaders map[string]uint64

// Scope implements Leases.
func (l leaders) Scope(name string) lease.ScopeState {
	fence, ok := l[name]
	return lease.ScopeState{Known: ok, Held: ok, FencingToken: fence}
}

// book folds records one after the other.
type book struct {
	*State
	next infra.Offset
}

func newBook(l leaders) *book { return &book{State: NewState(l), next: 100} }

func (b *book) apply(r Record) bool {
	b.next++
	p := journal.LogEntry{
		Position: journal.Position{Offset: b.next},
		Entry:    journal.Entry{Kind: journal.KindOrder, Body: r.Encode()},
	}
	_, ok := b.Apply(p)
	return ok
}

// step makes the record of a phase of a change after the engine's last one.
func (b *book) step(engine, id, scope string, fence uint64, p Phase, reserve *Reservation) Record {
	e := b.Engine(engine)
	return Record{Engine: engine, After: e.LastPosition, Scope: scope, FencingToken: fence, Change: &Change{
		ID: id, Engine: engine, Kind: upstream.OrderRole, Phase: p, Scope: scope, FencingToken: fence, Reservation: reserve,
		Target: Settings{Role: upstream.RoleDecode},
	}}
}

func TestOneOpenChangeWhoeverLeads(t *testing.T) {
	l := leaders{"a": 7}
	b := newBook(l)
	require.True(t, b.apply(b.step("e", "c1", "a", 7, PhaseDraining, nil)))
	assert.False(t, b.Engine("e").TakesWork())
	assert.False(t, b.apply(b.step("e", "c2", "a", 7, PhaseDraining, nil)), "a second change")
	assert.False(t, b.apply(b.step("e", "c1", "a", 7, PhaseOrdered, nil)), "ordered before drained")
	stale := b.step("e", "c1", "a", 7, PhaseDrained, nil)
	late := b.step("e", "c1", "a", 7, PhaseUndone, nil)

	l["a"] = 9 // another leader
	assert.False(t, b.apply(stale), "a former leader's record lands late")
	require.True(t, b.apply(b.step("e", "c1", "a", 9, PhaseDrained, nil)))
	l["a"] = 7
	assert.False(t, b.apply(late), "names a record that isn't the last")
	l["a"] = 9
	require.True(t, b.apply(b.step("e", "c1", "a", 9, PhaseOrdered, nil)))
	require.True(t, b.apply(b.step("e", "c1", "a", 9, PhaseConfirmed, nil)))
	assert.True(t, b.Engine("e").TakesWork())
	assert.False(t, b.apply(b.step("e", "c1", "a", 9, PhaseUndone, nil)), "ended already")
	require.True(t, b.apply(b.step("e", "c2", "a", 9, PhaseDraining, nil)))
}

// Leaders of two data centres load models at the same time. Together they must
// not read the weight store faster than its limit, and neither knows of the
// other but by the journal.
func TestLoadsShareOneBudget(t *testing.T) {
	b := newBook(leaders{"a": 1, "b": 2})
	most := &Reservation{Bytes: 100, BytesPerSec: 60, LimitPerSec: 100}
	for _, x := range []struct {
		engine, scope string
		fence         uint64
	}{{"ea", "a", 1}, {"eb", "b", 2}} {
		require.True(t, b.apply(b.step(x.engine, x.engine, x.scope, x.fence, PhaseDraining, nil)))
		require.True(t, b.apply(b.step(x.engine, x.engine, x.scope, x.fence, PhaseDrained, nil)))
	}
	require.True(t, b.apply(b.step("ea", "ea", "a", 1, PhaseOrdered, most)))
	assert.False(t, b.apply(b.step("eb", "eb", "b", 2, PhaseOrdered, most)))
	little := &Reservation{Bytes: 100, BytesPerSec: 40, LimitPerSec: 100}
	assert.True(t, b.apply(b.step("eb", "eb", "b", 2, PhaseOrdered, little)))
	require.True(t, b.apply(b.step("ea", "ea", "a", 1, PhaseConfirmed, nil)))
	assert.True(t, b.apply(b.step("eb", "eb", "b", 2, PhaseOrdered, most)))
}

func TestReaderOfATrimmedLogStartsAtACheckpoint(t *testing.T) {
	b := newBook(leaders{"a": 1})
	require.True(t, b.apply(b.step("e", "c", "a", 1, PhaseDraining, nil)))
	e := b.Engine("e")
	again := CheckpointOf(e)
	late := newBook(leaders{}) // knows of no leader yet
	late.next = b.next
	require.True(t, b.apply(again))
	require.True(t, late.apply(again))
	assert.Equal(t, e.Change.DrainStart, late.Engine("e").Change.DrainStart)
	assert.Equal(t, b.Engine("e").LastPosition, late.Engine("e").LastPosition)
	other := again
	other.Change = &Change{ID: "c", Engine: "e", Phase: PhaseUndone, Scope: "a", FencingToken: 1}
	other.After = b.Engine("e").LastPosition
	assert.False(t, b.apply(other), "a checkpoint changes nothing")
}

// situation is one of a leader with number 5 over a checked engine.
func situation(c *Change, now time.Time) Input {
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

// An engine restarts and has forgotten the fencing number. An outdated order
// that is still under way would now be obeyed; the leader must see that the
// number is gone and raise it again.
func TestNumberIsRaisedAgainAfterARestart(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var c Session
	s := situation(nil, now)
	require.Equal(t, ActionRaiseToken, Next(s, &c).Kind)
	c.RaiseDone(nil, now, s.Limits.RetryDelay)
	require.Equal(t, ActionRead, Next(s, &c).Kind)
	c.ReadDone(upstream.EngineState{FencingToken: 5, Role: "mixed"}, nil, now, now, s.Limits)
	require.Equal(t, ActionAppend, Next(s, &c).Kind, "believed settings")
	c.ReadDone(upstream.EngineState{Role: "mixed"}, nil, now, now, s.Limits)
	assert.Equal(t, ActionRaiseToken, Next(s, &c).Kind)
}

// The reply to an order is lost, and the engine doesn't show the order. It may
// still arrive, so nothing else may be ordered until it can't: a checked engine
// needs a higher number first, another one must have answered for a while.
func TestOrderWithoutReply(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	ch := &Change{
		ID: "c", Engine: "e", Kind: upstream.OrderRole, Target: Settings{Role: upstream.RoleDecode},
		Phase: PhaseOrdered, Scope: "a", FencingToken: 5, Attempt: 1, Incarnation: "1",
	}
	seen := upstream.EngineState{Role: upstream.RoleMixed, FencingToken: 5, Incarnation: "1"}
	for _, checked := range []bool{true, false} {
		var c Session
		at := func(d time.Duration) Input {
			s := situation(ch, start.Add(d))
			s.EnforcesFencing = checked
			return s
		}
		readAt := func(d time.Duration) {
			c.ReadDone(seen, nil, start.Add(d), start.Add(d), at(d).Limits)
		}
		Next(at(0), &c) // takes note of the number
		c.RaiseDone(nil, start, 0)
		readAt(0)
		require.Equal(t, ActionSend, Next(at(0), &c).Kind)
		c.SendDone(*ch, upstream.ErrBroken, start, start, time.Second/2)
		require.Equal(t, ActionWait, Next(at(100*time.Millisecond), &c).Kind)
		require.Equal(t, ActionRead, Next(at(time.Second), &c).Kind)
		readAt(time.Second)
		if checked {
			assert.Equal(t, ActionRenumber, Next(at(time.Second), &c).Kind)
			continue
		}
		assert.Equal(t, ActionWait, Next(at(time.Second), &c).Kind)
		readAt(1900 * time.Millisecond)
		assert.Equal(t, ActionWait, Next(at(1900*time.Millisecond), &c).Kind)
		readAt(2 * time.Second)
		next := Next(at(2*time.Second), &c)
		require.Equal(t, ActionAppend, next.Kind)
		assert.Equal(t, 2, next.Record.Change.Attempt)
	}
}
