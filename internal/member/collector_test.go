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

func loadsOf(running int, sent uint32) wire.UpstreamLoads {
	return wire.UpstreamLoads{{Upstream: 1, Load: placement.Load{Running: running, PrefillSent: sent}}}
}

// reported books a report and returns the totals in the answer.
func reported(t *testing.T, c *tally, m wire.LoadReport, now time.Time) wire.LoadTotals {
	t.Helper()
	totals, ok := c.take(m, now)
	require.True(t, ok)
	return totals
}

// Each daemon is told what the others have, not its own; one that falls silent is
// forgotten, and a full report makes up for lost ones.
func TestTotalsOfTheOthers(t *testing.T) {
	c := newTally()
	now := time.Unix(1000, 0)
	require.Equal(t, loadsOf(0, 0), reported(t, c, wire.LoadReport{PeerAddress: "a", Loads: loadsOf(1, 10)}, now).Loads)
	require.Equal(t, loadsOf(1, 10), reported(t, c, wire.LoadReport{PeerAddress: "b", Loads: loadsOf(2, 20)}, now).Loads)
	totals := reported(t, c, wire.LoadReport{PeerAddress: "c"}, now)
	require.Equal(t, loadsOf(3, 30), totals.Loads)
	require.Equal(t, 2, totals.Daemons)

	reported(t, c, wire.LoadReport{PeerAddress: "a", Full: true}, now)
	require.Equal(t, loadsOf(2, 20), reported(t, c, wire.LoadReport{PeerAddress: "c"}, now).Loads)

	now = now.Add(2 * silentAfter)
	totals = reported(t, c, wire.LoadReport{PeerAddress: "c"}, now)
	require.Equal(t, loadsOf(0, 0), totals.Loads, "all are told that nobody has work there")
	require.Zero(t, totals.Daemons)
}

// A daemon dies with a long stream at an engine that nobody else uses. If the
// others weren't told that this work is gone, the engine would look busy to them
// for good, and stand idle.
func TestWorkOfTheDeadIsTakenBack(t *testing.T) {
	c := newTally()
	now := time.Unix(1000, 0)
	reported(t, c, wire.LoadReport{PeerAddress: "dead", Loads: loadsOf(5, 10)}, now)
	require.Equal(t, loadsOf(5, 10), reported(t, c, wire.LoadReport{PeerAddress: "a"}, now).Loads)
	for range 40 {
		now = now.Add(silentAfter / 20)
		for _, l := range reported(t, c, wire.LoadReport{PeerAddress: "a"}, now).Loads {
			if l.Load == (placement.Load{}) {
				return
			}
		}
	}
	t.Fatal("never told")
}

// Daemons come, change what they have, lose reports and fall silent in any order.
// What one knows by the answers it got must be what the others have; an answer
// that is lost is made up for by the next full report.
func TestAnswersAddUpToTheTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTally()
		now := time.Unix(1000, 0)
		have := make(map[string]map[placement.Key]placement.Load)
		known := make(map[placement.Key]placement.Load)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			from := rapid.SampledFrom([]string{"a", "b", "c", "me"}).Draw(t, "from")
			if have[from] == nil {
				have[from] = make(map[placement.Key]placement.Load)
			}
			at := placement.Key(rapid.IntRange(1, 3).Draw(t, "at"))
			l := placement.Load{Running: rapid.IntRange(0, 5).Draw(t, "running"), PrefillSent: rapid.Uint32Range(0, 9).Draw(t, "sent")}
			have[from][at] = l
			m := wire.LoadReport{PeerAddress: from, Loads: []placement.UpstreamLoad{{Upstream: at, Load: l}}, Full: rapid.IntRange(0, 4).Draw(t, "full") == 0}
			if m.Full {
				m.Loads = nil
				for at, l := range have[from] {
					m.Loads = append(m.Loads, placement.UpstreamLoad{Upstream: at, Load: l})
				}
			}
			lost := from == "me" && !m.Full && rapid.IntRange(0, 9).Draw(t, "lost") == 0
			answer, ok := c.take(m, now)
			require.True(t, ok)
			if from != "me" || lost {
				continue
			}
			for _, l := range answer.Loads {
				known[l.Upstream] = l.Load
			}
		}
		m := wire.LoadReport{PeerAddress: "me", Full: true}
		for at, l := range have["me"] {
			m.Loads = append(m.Loads, placement.UpstreamLoad{Upstream: at, Load: l})
		}
		answer, ok := c.take(m, now)
		require.True(t, ok)
		for _, l := range answer.Loads {
			known[l.Upstream] = l.Load
		}
		want := make(map[placement.Key]placement.Load)
		for from, loads := range have {
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

// All daemons come to the same line of collectors, whatever order they learnt the
// others in: those with the most capacity first.
func TestLineOfCollectors(t *testing.T) {
	all := site(30)
	for i := range all {
		all[i].Capacity = i % 3
	}
	line := ranked(all)
	require.Equal(t, 2, line[0].Capacity)
	require.Equal(t, 0, line[29].Capacity)
	for i := range all {
		turned := append(append([]wire.MemberAddress{}, all[i:]...), all[:i]...)
		require.Equal(t, line, ranked(turned))
	}
}

// BenchmarkTotals measures what one report costs the collector of a large site:
// each daemon has work at 20 of the upstreams.
func BenchmarkTotals(b *testing.B) {
	for _, size := range []struct{ daemons, upstreams int }{{74, 34}, {300, 3000}} {
		b.Run(fmt.Sprintf("%d daemons, %d upstreams", size.daemons, size.upstreams), func(b *testing.B) {
			t := newTally()
			now := time.Now()
			reports := make([]wire.LoadReport, size.daemons)
			for i := range reports {
				reports[i] = wire.LoadReport{PeerAddress: fmt.Sprint("daemon ", i), Full: true}
				for j := range 20 {
					at := placement.KeyOf(fmt.Sprint((i*7+j*13)%size.upstreams), time.Time{})
					reports[i].Loads = append(reports[i].Loads, placement.UpstreamLoad{Upstream: at, Load: placement.Load{Running: 1, PrefillSent: uint32(i + j)}})
				}
				t.take(reports[i], now)
			}
			b.ResetTimer()
			for i := range b.N {
				r := reports[i%size.daemons]
				r.Full = false
				r.Loads = r.Loads[:3]
				t.take(r, now)
			}
		})
	}
}

// fullRounds is the number of rounds of which one is in full.
const fullRounds = 20

// tree is the daemons of a site, of which each reports to the first in its line that
// is alive.
type tree struct {
	all     []wire.MemberAddress
	tallies map[string]*tally
	have    map[string]map[placement.Key]placement.Load
	dead    map[string]bool
	// told is what each daemon was told.
	told map[string][]wire.LoadTotals
	now  time.Time
}

func newTree(all []wire.MemberAddress) *tree {
	s := &tree{all: all, tallies: map[string]*tally{}, have: map[string]map[placement.Key]placement.Load{}, dead: map[string]bool{}, told: map[string][]wire.LoadTotals{}, now: time.Unix(1000, 0)}
	for _, a := range all {
		s.tallies[a.Peers] = newTally()
		s.have[a.Peers] = map[placement.Key]placement.Load{}
	}
	return s
}

// above is whom a daemon reports to.
func (s *tree) above(self wire.MemberAddress) (string, bool) {
	for _, a := range reportLine(self, s.all) {
		if !s.dead[a.Peers] {
			return a.Peers, true
		}
	}
	return "", false
}

// round lets each daemon that lives report once, in any order.
func (s *tree) round(t require.TestingT, order []wire.MemberAddress, full bool) {
	s.now = s.now.Add(40 * time.Millisecond)
	for _, a := range order {
		if s.dead[a.Peers] {
			continue
		}
		c := s.tallies[a.Peers]
		own := wire.LoadReport{PeerAddress: a.Peers, Full: full, Daemons: 1}
		for at, l := range s.have[a.Peers] {
			own.Loads = append(own.Loads, placement.UpstreamLoad{Upstream: at, Load: l})
		}
		answer, ok := c.take(own, s.now)
		require.True(t, ok)
		s.told[a.Peers] = append(s.told[a.Peers], answer)
		above, ok := s.above(a)
		if !ok {
			continue
		}
		answer, ok = s.tallies[above].take(c.reportAbove(a.Peers, full, s.now), s.now)
		require.True(t, ok)
		c.takeAbove(answer, s.now)
		s.told[a.Peers] = append(s.told[a.Peers], c.totalsFor(a.Peers, s.now))
	}
}

// others is what a daemon knows of the others.
func (s *tree) others(t require.TestingT, self string) map[placement.Key]placement.Load {
	c := s.tallies[self]
	c.reports[self].told = 0
	known := make(map[placement.Key]placement.Load)
	for _, l := range c.totalsFor(self, s.now).Loads {
		if l.Load != (placement.Load{}) {
			known[l.Upstream] = l.Load
		}
	}
	return known
}

// Daemons of several data centres change what they have and die, those that add up
// for others among them. A moment later each must know what all others that live have
// in flight, each once: work counted twice leaves engines idle, work not counted
// overloads them.
func TestTotalsOverDataCentres(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := site(rapid.IntRange(2, 24).Draw(t, "daemons"))
		for i := range all {
			all[i].Capacity = rapid.IntRange(0, 2).Draw(t, "capacity")
		}
		s := newTree(all)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			for _, a := range all {
				if rapid.Bool().Draw(t, "changes") {
					at := placement.Key(rapid.IntRange(1, 3).Draw(t, "at"))
					s.have[a.Peers][at] = placement.Load{Running: rapid.IntRange(0, 5).Draw(t, "running")}
				}
			}
			if rapid.Bool().Draw(t, "dies") {
				s.dead[rapid.SampledFrom(all).Draw(t, "dead").Peers] = true
			}
			order := rapid.Permutation(all).Draw(t, "order")
			for i := range 60 { // the dead are silent for long enough
				s.round(t, order, i%fullRounds == 0)
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
				for at, l := range s.have[other.Peers] {
					if want[at] = want[at].Plus(l); want[at] == (placement.Load{}) {
						delete(want, at)
					}
				}
			}
			require.Equal(t, want, s.others(t, a.Peers))
		}
	})
}

// Only one daemon of a data centre reports beyond it, and no daemon reports to one
// that reports to it, however long the chain.
func TestReportLinesStayInTheDataCentre(t *testing.T) {
	all := site(40)
	s := newTree(all)
	beyond := map[string]int{}
	roots := 0
	for _, a := range all {
		above, ok := s.above(a)
		if !ok {
			roots++
			continue
		}
		i := slices.IndexFunc(all, func(o wire.MemberAddress) bool { return o.Peers == above })
		if all[i].DataCentre != a.DataCentre {
			beyond[a.DataCentre]++
		}
	}
	require.Equal(t, 1, roots)
	for centre, n := range beyond {
		require.Equal(t, 1, n, centre)
	}
}

// Two daemons that know different capacities of each other report to one another:
// each round would count all work again. The reports come from ever deeper down, and
// are turned away.
func TestReportsInACircleEnd(t *testing.T) {
	a, b := newTally(), newTally()
	now := time.Unix(1000, 0)
	reported(t, a, wire.LoadReport{PeerAddress: "a", Loads: loadsOf(1, 0), Daemons: 1}, now)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if _, ok := b.take(a.reportAbove("a", true, now), now); !ok {
			return
		}
		if _, ok := a.take(b.reportAbove("b", true, now), now); !ok {
			return
		}
	}
	t.Fatal("counted for ever")
}

// A leader orders two dozen of ninety engines to change their role, and tells its
// neighbours. The other daemons see engines without work and send theirs there, to be
// turned away. Each daemon of the site must hear of it, once.
func TestEveryDaemonHearsOfEnginesThatChange(t *testing.T) {
	all := site(30)
	s := newTree(all)
	for range 3 {
		s.round(t, all, false)
	}
	leader := s.tallies[all[17].Peers]
	_, ok := leader.take(wire.LoadReport{PeerAddress: all[17].Peers, Daemons: 1, Unavailable: []wire.UnavailableEngine{{Engine: 7, TargetRole: "prefill", Remaining: changeLimit}}}, s.now)
	require.True(t, ok)
	for range 40 {
		s.round(t, all, false)
	}
	for i, a := range all {
		heard := 0
		for _, told := range s.told[a.Peers] {
			heard += len(told.Unavailable)
		}
		if i != 17 {
			require.Equal(t, 1, heard, "told once")
		}
	}
}

// Most daemons of a large site never heard where a prompt that others share had been
// read, and had it read again elsewhere. Each must hear of each prompt once: one that is
// heard of twice pushes others out of what the engine is believed to keep.
func TestEveryDaemonHearsOfPromptsOnce(t *testing.T) {
	all := site(30)
	s := newTree(all)
	for range 5 {
		s.round(t, all, false)
	}
	read := placement.PrefillEvent{Engine: 3, State: placement.PrefillFinished, LastShared: placement.Part{ID: 9, Tokens: 100}}
	answer, ok := s.tallies[all[17].Peers].take(wire.LoadReport{PeerAddress: all[17].Peers, Daemons: 1, Prefills: []placement.PrefillEvent{read}}, s.now)
	require.True(t, ok)
	require.Empty(t, answer.Prefills)
	for range 10 {
		s.round(t, all, false)
	}
	for i, a := range all {
		var heard []placement.PrefillEvent
		for _, told := range s.told[a.Peers] {
			heard = append(heard, told.Prefills...)
		}
		if i == 17 {
			require.Empty(t, heard, "its own")
			continue
		}
		require.Equal(t, []placement.PrefillEvent{read}, heard, a.Peers)
	}
}

// The leader of a large site took what sixteen neighbours are asked for that of all, and
// callers aren't spread evenly: at one site it changed eleven of sixteen engines to reading
// where another leader changed eight. It must know what all are asked, also between full
// reports.
func TestDemandIsAddedUpOverTheSite(t *testing.T) {
	now := time.Unix(1000, 0)
	asked := func(name string, readers float64) wire.LoadReport {
		return wire.LoadReport{PeerAddress: name, Full: true, Daemons: 1, Demands: map[string]wire.MemberDemand{"p": {PrefillEngines: readers}}}
	}
	leaf, near, first := newTally(), newTally(), newTally()
	reported(t, leaf, asked("leaf", 2), now)
	reported(t, near, asked("near", 3), now)
	reported(t, near, leaf.reportAbove("leaf", true, now), now)
	reported(t, first, asked("first", 1), now)
	reported(t, first, near.reportAbove("near", true, now), now)
	require.Equal(t, wire.MemberDemand{PrefillEngines: 6}, first.demand("p"))
	reported(t, first, near.reportAbove("near", false, now), now)
	require.Equal(t, wire.MemberDemand{PrefillEngines: 6}, first.demand("p"))
	now = now.Add(2 * silentAfter)
	reported(t, first, asked("first", 1), now)
	require.Equal(t, wire.MemberDemand{PrefillEngines: 1}, first.demand("p"), "the others have fallen silent")
}

// A daemon tells its work and wants no answer, as nothing is to be decided there. What others
// have done meanwhile must come with the next answer, and a report without news says so.
func TestWhatWasNotAnsweredIsToldLater(t *testing.T) {
	c := newTally()
	now := time.Unix(1000, 0)
	reported(t, c, wire.LoadReport{PeerAddress: "a"}, now)
	reported(t, c, wire.LoadReport{PeerAddress: "b", Loads: loadsOf(2, 20), Prefills: []placement.PrefillEvent{{Engine: 3}}}, now)
	require.Empty(t, reported(t, c, wire.LoadReport{PeerAddress: "a", Loads: loadsOf(1, 10), NoReply: true}, now))
	totals := reported(t, c, wire.LoadReport{PeerAddress: "a"}, now)
	require.Equal(t, loadsOf(2, 20), totals.Loads)
	require.Len(t, totals.Prefills, 1)
	require.True(t, c.reportAbove("a", false, now).HasUpdates())
	require.False(t, c.reportAbove("a", false, now).HasUpdates())
}

// What a daemon is told of the others it must not report back: at a site with much to
// tell, most of a report would be what its receiver has just said.
func TestWhatComesFromAboveIsntReportedBack(t *testing.T) {
	c := newTally()
	now := time.Unix(1000, 0)
	reported(t, c, wire.LoadReport{PeerAddress: "a", Loads: loadsOf(1, 10), Daemons: 1}, now)
	require.Equal(t, loadsOf(1, 10), c.reportAbove("a", false, now).Loads)
	c.takeAbove(wire.LoadTotals{Loads: append(loadsOf(7, 70), placement.UpstreamLoad{Upstream: 2, Load: placement.Load{Running: 5}})}, now)
	require.Empty(t, c.reportAbove("a", false, now).Loads)
	require.Equal(t, loadsOf(1, 10), c.reportAbove("a", true, now).Loads, "in full only its own")
	reported(t, c, wire.LoadReport{PeerAddress: "a", Loads: loadsOf(2, 20), Daemons: 1}, now)
	require.Equal(t, loadsOf(2, 20), c.reportAbove("a", false, now).Loads)
}
