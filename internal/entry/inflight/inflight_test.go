package inflight

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/journal"
	"tamarackchute/orders"
)

// fakeOrders calls before, if set, on each read of the snapshot.
type fakeOrders struct {
	snapshot orders.Snapshot
	before   func()
}

func (f *fakeOrders) Snapshot() *orders.Snapshot {
	if f.before != nil {
		f.before()
	}
	s := f.snapshot
	return &s
}

// Guards against a role change that cuts off a request: the drain is applied and
// acknowledged between the pick of the engine and the count of the request. A request
// that is admitted must be in every report of a later position, whatever happens
// between the count and the check of the orders.
func TestDrainBetweenPickAndSend(t *testing.T) {
	drained := orders.Snapshot{
		Position: journal.Position{Offset: 9},
		Engines: map[string]orders.Engine{
			"e1": {Name: "e1", Change: &orders.Change{Phase: orders.PhaseDraining}},
		},
	}
	o := &fakeOrders{snapshot: orders.Snapshot{Position: journal.Position{Offset: 8}}}
	counter := NewCounter(o, func() journal.Position { return o.snapshot.Position }, []string{"e1"})

	o.before = func() {
		o.before = nil
		_, busy := counter.Status()
		require.Equal(t, map[string]int{"e1": 1}, busy, "counted before the check")
		o.snapshot = drained
	}
	require.False(t, counter.Reserve("e1"))
	applied, busy := counter.Status()
	require.Equal(t, journal.Position{Offset: 9}, applied)
	require.Empty(t, busy)

	o.snapshot = orders.Snapshot{}
	require.True(t, counter.Reserve("e1"))
	counter.Release("e1")
	require.False(t, counter.Reserve("unknown"))
	require.Panics(t, func() { counter.Release("e1") })
}
