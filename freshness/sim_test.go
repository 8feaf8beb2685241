package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sourceScheme says where a simulated site's daemons seek their proofs.
type sourceScheme struct {
	name string
	// read, ask and askAny say which steps of the search are taken; readsAll lets each daemon read
	// the source as often as the first.
	read, ask, askAny, readsAll bool
}

var schemes = []sourceScheme{
	{name: "own reads", read: true, readsAll: true},
	{name: "peers", ask: true, askAny: true},
	{name: "mix", read: true, ask: true, askAny: true},
}

// simDaemon is a daemon of a simulated site.
type simDaemon struct {
	freshness Tracker
	search    Search
	parent    *simDaemon
	// cut says that it doesn't reach the source.
	cut bool
}

// simSite simulates a site by steps of simStep, in which each message takes one step.
type simSite struct {
	scheme  sourceScheme
	daemons []*simDaemon
	now     time.Duration
	reads   int
	// unusable adds up the time in which daemons couldn't use their keys.
	unusable time.Duration
	worstAge time.Duration
}

const simStep = 10 * time.Millisecond

// newSimSite returns a site of daemons that report to the first of their data centre, and these to the
// first of all.
func newSimSite(s sourceScheme, shares Shares, daemons, centres int, rng *rand.Rand) *simSite {
	site := &simSite{scheme: s}
	for i := range daemons {
		d := &simDaemon{search: Search{Limit: NewLimit(bound), Shares: shares, Spread: rng.Float64()}}
		switch {
		case i == 0:
		case i < centres:
			d.parent = site.daemons[0]
		default:
			d.parent = site.daemons[i%centres]
		}
		site.daemons = append(site.daemons, d)
	}
	return site
}

func (s *simSite) run(d time.Duration, rng *rand.Rand) {
	for end := s.now + d; s.now < end; s.now += simStep {
		for _, d := range s.daemons {
			s.step(d, rng)
		}
	}
}

func (s *simSite) step(d *simDaemon, rng *rand.Rand) {
	age := d.freshness.Age(s.now)
	first := d.parent == nil
	step := d.search.Next(s.now, age, first || s.scheme.readsAll)
	if step.Read && (s.scheme.read || first) {
		s.reads++
		if !d.cut {
			d.freshness.Record(Proof{SentAt: s.now}, 0)
		}
	}
	if step.Ask && s.scheme.ask {
		s.learn(d, d.parent)
	}
	if step.AskAny && s.scheme.askAny {
		s.learn(d, s.daemons[rng.IntN(len(s.daemons))])
	}
	if !d.search.Limit.Allows(d.freshness.Age(s.now)) {
		s.unusable += simStep
		return
	}
	s.worstAge = max(s.worstAge, age)
}

// learn takes over another daemon's proof.
func (s *simSite) learn(d, from *simDaemon) {
	if latest, ok := from.freshness.Latest(); ok && from != d {
		d.freshness.Record(Proof{SentAt: latest.SentAt - simStep}, 0)
	}
}

// The mix needs a fraction of the calls of own reads, and unlike proofs by peers alone it bears the loss
// of the daemon that reads for the others; a part of the daemons without the source costs nothing.
func TestSourcesOfProofs(t *testing.T) {
	for _, size := range []struct{ daemons, centres int }{{82, 3}, {1700, 10}} {
		calls := make(map[string]int)
		unusable := make(map[string]time.Duration)
		for _, scheme := range schemes {
			rng := rand.New(rand.NewPCG(1, uint64(size.daemons)))
			site := newSimSite(scheme, KeyShares, size.daemons, size.centres, rng)
			site.run(5*time.Second, rng)
			site.reads, site.unusable, site.worstAge = 0, 0, 0
			site.run(20*time.Second, rng)
			calls[scheme.name] = site.reads / 20
			require.Zero(t, site.unusable)
			worst := site.worstAge
			for i, d := range site.daemons {
				d.cut = i == 0 || i%3 == 1
			}
			site.run(9*time.Second, rng)
			unusable[scheme.name] = site.unusable
			t.Logf("%d daemons, %s: %d calls a second, oldest proof %v; a third and the first without the source for 9 s: %.1f%% of the time unusable",
				size.daemons, scheme.name, calls[scheme.name], worst, 100*site.unusable.Seconds()/(9*float64(size.daemons)))
		}
		require.Less(t, calls["mix"]*10, calls["own reads"])
		require.Zero(t, unusable["mix"])
		require.Positive(t, unusable["own reads"])
		require.Positive(t, unusable["peers"])
	}
}

// Guards against calls to the store that grow with the number of daemons, and against daemons that
// learn too late that their copy is outdated, also while those that read for the others don't reach
// the store.
func TestConfirmationsOfTheConfiguration(t *testing.T) {
	for _, size := range []struct{ daemons, centres int }{{7, 3}, {95, 5}, {300, 5}, {1717, 10}} {
		rng := rand.New(rand.NewPCG(2, uint64(size.daemons)))
		site := newSimSite(sourceScheme{read: true, ask: true, askAny: true}, ConfigShares, size.daemons, size.centres, rng)
		site.run(3*time.Second, rng)
		site.reads, site.worstAge = 0, 0
		site.run(10*time.Second, rng)
		calls, worst := float64(site.reads)/10, site.worstAge
		for i, d := range site.daemons {
			d.cut = i == 0 || i%3 == 1
		}
		site.reads, site.worstAge, site.unusable = 0, 0, 0
		site.run(10*time.Second, rng)
		t.Logf("%d daemons: %.1f calls a second, oldest proof %v; a third and the first without the store: %.1f calls, %v",
			size.daemons, calls, worst, float64(site.reads)/10, site.worstAge)
		require.LessOrEqual(t, calls, 2.0)
		require.Less(t, worst, bound/2)
		require.Zero(t, site.unusable)
	}
}
