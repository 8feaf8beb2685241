package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/entry/inflight"
	"tamarackchute/journal"
	"tamarackchute/orders"
)

type fixedOrders struct{ snapshot orders.Snapshot }

func (f *fixedOrders) Snapshot() *orders.Snapshot { return &f.snapshot }

// An entry is killed after it has acknowledged a drain, and its replacement starts while
// the log is down. Guards against sending a request to the draining engine, which the
// role change would cut off: the drains that a peer reports must apply until the log
// has been read.
func TestPeerDrainsApplyUntilTheLogIsRead(t *testing.T) {
	log := &fixedOrders{orders.Snapshot{Engines: map[string]orders.Engine{}}}
	caughtUp := make(chan struct{})
	drains := newPeerDrains(log, caughtUp)
	counter := inflight.NewCounter(drains, func() journal.Position { return journal.Position{} }, []string{"e1", "e2"})
	drains.ExcludeDraining([]string{"e1"})
	drains.ExcludeDraining(nil) // another peer, which hasn't applied the drain yet
	require.False(t, counter.Reserve("e1"))
	require.True(t, counter.Reserve("e2"))
	require.Equal(t, []string{"e1"}, drains.Draining(), "peers get the reported drains too")

	close(caughtUp)
	require.True(t, counter.Reserve("e1"))
	drains.ExcludeDraining([]string{"e2"}) // a late report has no effect
	require.True(t, counter.Reserve("e2"))
	require.Empty(t, drains.Draining())
}
