package inflight

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/journal"
	"tamarackchute/orders"
)

// fakeOrders runs a step at each look at the snapshot.
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

// A driver's answer is cut off by a planned role change. The entry picked the
// engine, then the drain was applied and the entry reported nothing in flight
// there, and only then did it count and send the request. The order went out on
// that report. Whatever happens between the count and the look at the orders,
// a request that is let through must stand in every report of a later position.
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
		require.Equal(t, map[string]int{"e1": 1}, busy, "counted before the look")
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
