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

// A driver's answer is cut off by a planned role change. The entry was killed
// after it had acknowledged the drain; its successor starts while the log is
// down, learns the rules from a peer and sends a request to the engine just as
// the order goes out. The peer's drains must hold it back until the log tells.
func TestPeerDrainsApplyUntilTheLogIsRead(t *testing.T) {
	log := &fixedOrders{orders.Snapshot{Engines: map[string]orders.Engine{}}}
	caughtUp := make(chan struct{})
	drains := newPeerDrains(log, caughtUp)
	counter := inflight.NewCounter(drains, func() journal.Position { return journal.Position{} }, []string{"e1", "e2"})
	drains.Avoid([]string{"e1"})
	drains.Avoid(nil) // another peer, which hasn't applied the drain yet
	require.False(t, counter.Reserve("e1"))
	require.True(t, counter.Reserve("e2"))
	require.Equal(t, []string{"e1"}, drains.Draining(), "who asks us must learn it too")

	close(caughtUp)
	require.True(t, counter.Reserve("e1"))
	drains.Avoid([]string{"e2"}) // comes late
	require.True(t, counter.Reserve("e2"))
	require.Empty(t, drains.Draining())
}
