package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

func loadsOf(running int, sent uint32) []placement.LoadAt {
	return []placement.LoadAt{{At: 1, Load: placement.Load{Running: running, Sent: sent}}}
}

// reported books a report and returns the totals in the answer.
func reported(t *testing.T, c *tally, m wire.LoadReport, now time.Time) wire.LoadTotals {
	t.Helper()
	var totals wire.LoadTotals
	c.take(m, About{}, func(m wire.Message) { totals = m.(wire.LoadTotals) }, now)
	return totals
}

// Each daemon is told what the others have, not its own; one that falls silent is
// forgotten, and a full report makes up for lost ones.
func TestTotalsOfTheOthers(t *testing.T) {
	var c tally
	now := time.Unix(1000, 0)
	require.Empty(t, reported(t, &c, wire.LoadReport{Peers: "a", Loads: loadsOf(1, 10)}, now).Loads)
	require.Equal(t, loadsOf(1, 10), reported(t, &c, wire.LoadReport{Peers: "b", Loads: loadsOf(2, 20)}, now).Loads)
	totals := reported(t, &c, wire.LoadReport{Peers: "c"}, now)
	require.Equal(t, loadsOf(3, 30), totals.Loads)
	require.Equal(t, 2, totals.Senders)

	reported(t, &c, wire.LoadReport{Peers: "a", Full: true}, now)
	require.Equal(t, loadsOf(2, 20), reported(t, &c, wire.LoadReport{Peers: "c"}, now).Loads)

	now = now.Add(2 * silentAfter)
	require.Empty(t, reported(t, &c, wire.LoadReport{Peers: "c"}, now).Loads)
}

// All daemons come to the same line of collectors, whatever order they learnt the
// others in: those with the most capacity first.
func TestLineOfCollectors(t *testing.T) {
	all := site(30)
	for i := range all {
		all[i].Capacity = i % 3
	}
	line := collectors(all)
	require.Equal(t, 2, line[0].Capacity)
	require.Equal(t, 0, line[29].Capacity)
	for i := range all {
		turned := append(append([]wire.MemberAddress{}, all[i:]...), all[:i]...)
		require.Equal(t, line, collectors(turned))
	}
}
