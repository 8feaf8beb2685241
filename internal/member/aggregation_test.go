package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

func testLoads(running int, sent uint32) wire.UpstreamLoads {
	return wire.UpstreamLoads{{Upstream: 1, Load: placement.Load{Running: running, PrefillSent: sent}}}
}

// applyReport applies a report and returns the totals in the answer.
func applyReport(t *testing.T, aggregate *loadAggregate, m wire.LoadReport, now time.Time) wire.LoadTotals {
	t.Helper()
	totals, ok := aggregate.applyReport(m, now)
	require.True(t, ok)
	return totals
}

// Each daemon gets the load of the others without its own; a silent one is removed, and a full
// report makes up for lost ones.
func TestTotalsExcludeOwnLoad(t *testing.T) {
	aggregate := newLoadAggregate()
	now := time.Unix(1000, 0)
	require.Equal(t, testLoads(0, 0), applyReport(t, aggregate, wire.LoadReport{PeerAddress: "a", Loads: testLoads(1, 10)}, now).Loads)
	require.Equal(t, testLoads(1, 10), applyReport(t, aggregate, wire.LoadReport{PeerAddress: "b", Loads: testLoads(2, 20)}, now).Loads)
	totals := applyReport(t, aggregate, wire.LoadReport{PeerAddress: "c"}, now)
	require.Equal(t, testLoads(3, 30), totals.Loads)
	require.Equal(t, 2, totals.Daemons)

	applyReport(t, aggregate, wire.LoadReport{PeerAddress: "a", Full: true}, now)
	require.Equal(t, testLoads(2, 20), applyReport(t, aggregate, wire.LoadReport{PeerAddress: "c"}, now).Loads)

	now = now.Add(2 * peerTimeout)
	totals = applyReport(t, aggregate, wire.LoadReport{PeerAddress: "c"}, now)
	require.Equal(t, testLoads(0, 0), totals.Loads, "the removal is sent")
	require.Zero(t, totals.Daemons)
}

// Guards against an engine that looks busy for good and stands idle, as a daemon failed during a
// long stream there and the others weren't sent the removal of its load.
func TestLoadOfFailedDaemonIsRemoved(t *testing.T) {
	aggregate := newLoadAggregate()
	now := time.Unix(1000, 0)
	applyReport(t, aggregate, wire.LoadReport{PeerAddress: "dead", Loads: testLoads(5, 10)}, now)
	require.Equal(t, testLoads(5, 10), applyReport(t, aggregate, wire.LoadReport{PeerAddress: "a"}, now).Loads)
	for range 40 {
		now = now.Add(peerTimeout / 20)
		for _, l := range applyReport(t, aggregate, wire.LoadReport{PeerAddress: "a"}, now).Loads {
			if l.Load == (placement.Load{}) {
				return
			}
		}
	}
	t.Fatal("the removal was never sent")
}

// Daemons join, change their load, lose reports and fall silent in any order. The answers that
// one has received must add up to the load of the others; a full report makes up for a lost
// answer.
func TestAnswersMatchTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aggregate := newLoadAggregate()
		now := time.Unix(1000, 0)
		current := make(map[string]map[placement.Key]placement.Load)
		known := make(map[placement.Key]placement.Load)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			from := rapid.SampledFrom([]string{"a", "b", "c", "me"}).Draw(t, "from")
			if current[from] == nil {
				current[from] = make(map[placement.Key]placement.Load)
			}
			at := placement.Key(rapid.IntRange(1, 3).Draw(t, "at"))
			l := placement.Load{Running: rapid.IntRange(0, 5).Draw(t, "running"), PrefillSent: rapid.Uint32Range(0, 9).Draw(t, "sent")}
			current[from][at] = l
			m := wire.LoadReport{PeerAddress: from, Loads: []placement.UpstreamLoad{{Upstream: at, Load: l}}, Full: rapid.IntRange(0, 4).Draw(t, "full") == 0}
			if m.Full {
				m.Loads = nil
				for at, l := range current[from] {
					m.Loads = append(m.Loads, placement.UpstreamLoad{Upstream: at, Load: l})
				}
			}
			lost := from == "me" && !m.Full && rapid.IntRange(0, 9).Draw(t, "lost") == 0
			answer, ok := aggregate.applyReport(m, now)
			require.True(t, ok)
			if from != "me" || lost {
				continue
			}
			for _, l := range answer.Loads {
				known[l.Upstream] = l.Load
			}
		}
		m := wire.LoadReport{PeerAddress: "me", Full: true}
		for at, l := range current["me"] {
			m.Loads = append(m.Loads, placement.UpstreamLoad{Upstream: at, Load: l})
		}
		answer, ok := aggregate.applyReport(m, now)
		require.True(t, ok)
		for _, l := range answer.Loads {
			known[l.Upstream] = l.Load
		}
		want := make(map[placement.Key]placement.Load)
		for from, loads := range current {
			for at, l := range loads {
				if from != "me" {
					want[at] = want[at].Plus(l)
				}
			}
		}
		for at, l := range known {
			require.Equal(t, want[at], l)
		}
		for at, l := range want {
			require.Equal(t, known[at], l)
		}
	})
}

// All daemons must compute the same ranking, in whatever order they learned of the others:
// highest capacity first.
func TestAggregatorRankingIsConsistent(t *testing.T) {
	all := testSite(30)
	for i := range all {
		all[i].Capacity = i % 3
	}
	line := rankAggregators(all)
	require.Equal(t, 2, line[0].Capacity)
	require.Equal(t, 0, line[29].Capacity)
	for i := range all {
		turned := append(append([]wire.MemberAddress{}, all[i:]...), all[:i]...)
		require.Equal(t, line, rankAggregators(turned))
	}
}

// BenchmarkTotals measures one report at the root of a large site: each daemon has load at 20 of
// the upstreams.
func BenchmarkTotals(b *testing.B) {
	for _, size := range []struct{ daemons, upstreams int }{{74, 34}, {300, 3000}} {
		b.Run(fmt.Sprintf("%d daemons, %d upstreams", size.daemons, size.upstreams), func(b *testing.B) {
			aggregate := newLoadAggregate()
			now := time.Now()
			reports := make([]wire.LoadReport, size.daemons)
			for i := range reports {
				reports[i] = wire.LoadReport{PeerAddress: fmt.Sprint("daemon ", i), Full: true}
				for j := range 20 {
					at := placement.KeyOf(fmt.Sprint((i*7+j*13)%size.upstreams), time.Time{})
					reports[i].Loads = append(reports[i].Loads, placement.UpstreamLoad{Upstream: at, Load: placement.Load{Running: 1, PrefillSent: uint32(i + j)}})
				}
				aggregate.applyReport(reports[i], now)
			}
			b.ResetTimer()
			for i := range b.N {
				r := reports[i%size.daemons]
				r.Full = false
				r.Loads = r.Loads[:3]
				aggregate.applyReport(r, now)
			}
		})
	}
}

// fullReportPeriod is the number of rounds of which one has full reports.
const fullReportPeriod = 20

// siteTree simulates the daemons of a site, each of which reports to its first candidate that is
// alive.
type siteTree struct {
	all        []wire.MemberAddress
	aggregates map[string]*loadAggregate
	loads      map[string]map[placement.Key]placement.Load
	dead       map[string]bool
	// received holds the totals that each daemon was sent.
	received map[string][]wire.LoadTotals
	now      time.Time
}

func newTree(all []wire.MemberAddress) *siteTree {
	s := &siteTree{all: all, aggregates: map[string]*loadAggregate{}, loads: map[string]map[placement.Key]placement.Load{}, dead: map[string]bool{}, received: map[string][]wire.LoadTotals{}, now: time.Unix(1000, 0)}
	for _, a := range all {
		s.aggregates[a.Peers] = newLoadAggregate()
		s.loads[a.Peers] = map[placement.Key]placement.Load{}
	}
	return s
}

// parentOf returns the daemon that a daemon reports to.
func (s *siteTree) parentOf(self wire.MemberAddress) (string, bool) {
	for _, a := range parentCandidates(self, s.all) {
		if !s.dead[a.Peers] {
			return a.Peers, true
		}
	}
	return "", false
}

// round lets each live daemon report once, in the given order.
func (s *siteTree) round(t require.TestingT, order []wire.MemberAddress, full bool) {
	s.now = s.now.Add(40 * time.Millisecond)
	for _, a := range order {
		if s.dead[a.Peers] {
			continue
		}
		aggregate := s.aggregates[a.Peers]
		local := wire.LoadReport{PeerAddress: a.Peers, Full: full, Daemons: 1}
		for at, l := range s.loads[a.Peers] {
			local.Loads = append(local.Loads, placement.UpstreamLoad{Upstream: at, Load: l})
		}
		answer, ok := aggregate.applyReport(local, s.now)
		require.True(t, ok)
		s.received[a.Peers] = append(s.received[a.Peers], answer)
		parent, ok := s.parentOf(a)
		if !ok {
			continue
		}
		answer, ok = s.aggregates[parent].applyReport(aggregate.parentReport(a.Peers, full, s.now), s.now)
		require.True(t, ok)
		aggregate.applyParentTotals(answer, s.now)
		s.received[a.Peers] = append(s.received[a.Peers], aggregate.totalsFor(a.Peers, s.now))
	}
}

// knownLoads returns the load of the others as a daemon knows it.
func (s *siteTree) knownLoads(t require.TestingT, self string) map[placement.Key]placement.Load {
	aggregate := s.aggregates[self]
	aggregate.children[self].sentVersion = 0
	known := make(map[placement.Key]placement.Load)
	for _, l := range aggregate.totalsFor(self, s.now).Loads {
		if l.Load != (placement.Load{}) {
			known[l.Upstream] = l.Load
		}
	}
	return known
}

// Daemons of several data centres, aggregators among them, change their load and fail. A moment
// later each must know the load of all other live daemons exactly once: load counted twice
// leaves engines idle, load not counted overloads them.
func TestTotalsAcrossDataCentres(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := testSite(rapid.IntRange(2, 24).Draw(t, "daemons"))
		for i := range all {
			all[i].Capacity = rapid.IntRange(0, 2).Draw(t, "capacity")
		}
		s := newTree(all)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			for _, a := range all {
				if rapid.Bool().Draw(t, "changes") {
					at := placement.Key(rapid.IntRange(1, 3).Draw(t, "at"))
					s.loads[a.Peers][at] = placement.Load{Running: rapid.IntRange(0, 5).Draw(t, "running")}
				}
			}
			if rapid.Bool().Draw(t, "dies") {
				s.dead[rapid.SampledFrom(all).Draw(t, "dead").Peers] = true
			}
			order := rapid.Permutation(all).Draw(t, "order")
			for i := range 60 { // long enough for failed daemons to be dropped
				s.round(t, order, i%fullReportPeriod == 0)
			}
		}
		for _, a := range all {
			if s.dead[a.Peers] {
				continue
			}
			want := make(map[placement.Key]placement.Load)
			for _, other := range all {
				if other.Peers == a.Peers || s.dead[other.Peers] {
					continue
				}
				for at, l := range s.loads[other.Peers] {
					if want[at] = want[at].Plus(l); want[at] == (placement.Load{}) {
						delete(want, at)
					}
				}
			}
			require.Equal(t, want, s.knownLoads(t, a.Peers))
		}
	})
}

// Only one daemon of a data centre may report to another one, and the site must have one root.
func TestOneDaemonReportsBeyondDataCentre(t *testing.T) {
	all := testSite(40)
	s := newTree(all)
	crossing := map[string]int{}
	roots := 0
	for _, a := range all {
		parent, ok := s.parentOf(a)
		if !ok {
			roots++
			continue
		}
		i := slices.IndexFunc(all, func(o wire.MemberAddress) bool { return o.Peers == parent })
		if all[i].DataCentre != a.DataCentre {
			crossing[a.DataCentre]++
		}
	}
	require.Equal(t, 1, roots)
	for centre, n := range crossing {
		require.Equal(t, 1, n, centre)
	}
}

// Guards against load that is counted again in each round, as two daemons that know different
// capacities of each other report to one another. Their reports must be rejected by depth.
func TestCyclicReportsAreRejected(t *testing.T) {
	a, b := newLoadAggregate(), newLoadAggregate()
	now := time.Unix(1000, 0)
	applyReport(t, a, wire.LoadReport{PeerAddress: "a", Loads: testLoads(1, 0), Daemons: 1}, now)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if _, ok := b.applyReport(a.parentReport("a", true, now), now); !ok {
			return
		}
		if _, ok := a.applyReport(b.parentReport("b", true, now), now); !ok {
			return
		}
	}
	t.Fatal("the cycle was never rejected")
}

// Guards against daemons that send requests to engines that a role change has made
// unavailable, as only the neighbours of the lease holder knew of it. Each daemon of the site
// must receive it once.
func TestUnavailableEnginesReachEveryDaemonOnce(t *testing.T) {
	all := testSite(30)
	s := newTree(all)
	for range 3 {
		s.round(t, all, false)
	}
	leader := s.aggregates[all[17].Peers]
	_, ok := leader.applyReport(wire.LoadReport{PeerAddress: all[17].Peers, Daemons: 1, Unavailable: []wire.UnavailableEngine{{Engine: 7, TargetRole: "prefill", Remaining: changeTimeout}}}, s.now)
	require.True(t, ok)
	for range 40 {
		s.round(t, all, false)
	}
	for i, a := range all {
		received := 0
		for _, totals := range s.received[a.Peers] {
			received += len(totals.Unavailable)
		}
		if i != 17 {
			require.Equal(t, 1, received, "received once")
		}
	}
}

// Guards against repeated prefills of shared prompts, as daemons of a large site don't know
// where one was prefilled. Each must receive each event once: a second one would evict other
// prompts from the assumed content of the engine's cache.
func TestPrefillEventsReachEveryDaemonOnce(t *testing.T) {
	all := testSite(30)
	s := newTree(all)
	for range 5 {
		s.round(t, all, false)
	}
	event := placement.PrefillEvent{Engine: 3, State: placement.PrefillFinished, LastShared: placement.Part{ID: 9, Tokens: 100}}
	answer, ok := s.aggregates[all[17].Peers].applyReport(wire.LoadReport{PeerAddress: all[17].Peers, Daemons: 1, Prefills: []placement.PrefillEvent{event}}, s.now)
	require.True(t, ok)
	require.Empty(t, answer.Prefills)
	for range 10 {
		s.round(t, all, false)
	}
	for i, a := range all {
		var received []placement.PrefillEvent
		for _, totals := range s.received[a.Peers] {
			received = append(received, totals.Prefills...)
		}
		if i == 17 {
			require.Empty(t, received, "its own event")
			continue
		}
		require.Equal(t, []placement.PrefillEvent{event}, received, a.Peers)
	}
}

// Guards against a lease holder that extrapolates the demand of a large site from its sixteen
// neighbours, though callers are spread unevenly, and changes too many engines: eleven of
// sixteen rather than eight at one site. It must know the demand of all, also between full
// reports.
func TestDemandIsSummedOverSite(t *testing.T) {
	now := time.Unix(1000, 0)
	demandReport := func(name string, readers float64) wire.LoadReport {
		return wire.LoadReport{PeerAddress: name, Full: true, Daemons: 1, Demands: map[string]wire.MemberDemand{"p": {PrefillEngines: readers, DecodeEngines: 2 * readers}}}
	}
	leaf, aggregator, root := newLoadAggregate(), newLoadAggregate(), newLoadAggregate()
	applyReport(t, leaf, demandReport("leaf", 2), now)
	applyReport(t, aggregator, demandReport("near", 3), now)
	applyReport(t, aggregator, leaf.parentReport("leaf", true, now), now)
	applyReport(t, root, demandReport("first", 1), now)
	applyReport(t, root, aggregator.parentReport("near", true, now), now)
	require.Equal(t, wire.MemberDemand{PrefillEngines: 6, DecodeEngines: 2 * 6}, root.demand("p"))
	applyReport(t, root, aggregator.parentReport("near", false, now), now)
	require.Equal(t, wire.MemberDemand{PrefillEngines: 6, DecodeEngines: 2 * 6}, root.demand("p"))
	now = now.Add(2 * peerTimeout)
	applyReport(t, root, demandReport("first", 1), now)
	require.Equal(t, wire.MemberDemand{PrefillEngines: 1, DecodeEngines: 2 * 1}, root.demand("p"), "the others are silent")
}

// A daemon may report without asking for an answer. Changes of others meanwhile must come with
// the next answer, and a report without changes must say so.
func TestUnansweredReportDelaysTotals(t *testing.T) {
	aggregate := newLoadAggregate()
	now := time.Unix(1000, 0)
	applyReport(t, aggregate, wire.LoadReport{PeerAddress: "a"}, now)
	applyReport(t, aggregate, wire.LoadReport{PeerAddress: "b", Loads: testLoads(2, 20), Prefills: []placement.PrefillEvent{{Engine: 3}}}, now)
	require.Empty(t, applyReport(t, aggregate, wire.LoadReport{PeerAddress: "a", Loads: testLoads(1, 10), NoReply: true}, now))
	totals := applyReport(t, aggregate, wire.LoadReport{PeerAddress: "a"}, now)
	require.Equal(t, testLoads(2, 20), totals.Loads)
	require.Len(t, totals.Prefills, 1)
	require.True(t, aggregate.parentReport("a", false, now).HasUpdates())
	require.False(t, aggregate.parentReport("a", false, now).HasUpdates())
}

// Guards against totals received from the parent that are reported back to it and make up most
// of a report.
func TestParentTotalsAreNotReportedBack(t *testing.T) {
	aggregate := newLoadAggregate()
	now := time.Unix(1000, 0)
	applyReport(t, aggregate, wire.LoadReport{PeerAddress: "a", Loads: testLoads(1, 10), Daemons: 1}, now)
	require.Equal(t, testLoads(1, 10), aggregate.parentReport("a", false, now).Loads)
	aggregate.applyParentTotals(wire.LoadTotals{Loads: append(testLoads(7, 70), placement.UpstreamLoad{Upstream: 2, Load: placement.Load{Running: 5}})}, now)
	require.Empty(t, aggregate.parentReport("a", false, now).Loads)
	require.Equal(t, testLoads(1, 10), aggregate.parentReport("a", true, now).Loads, "a full report has only its own")
	applyReport(t, aggregate, wire.LoadReport{PeerAddress: "a", Loads: testLoads(2, 20), Daemons: 1}, now)
	require.Equal(t, testLoads(2, 20), aggregate.parentReport("a", false, now).Loads)
}
