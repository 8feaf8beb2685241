package fleetsize

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// site is a simulated platform: orders take effect after the boot time.
type site struct {
	t     *testing.T
	sizer *Sizer
	pool  Pool
	now   time.Time
	// unavailable are the data centres without spot upstreams to be had.
	unavailable map[string]bool
	arrivals    []arrival
	orders      int
}

type arrival struct {
	Order
	at time.Time
}

const (
	bootTime = 4 * time.Second
	tick     = 500 * time.Millisecond
)

func newSite(t *testing.T, spotRatio float64) *site {
	return &site{
		t: t, sizer: NewSizer(Config{}), now: time.Unix(0, 0), unavailable: make(map[string]bool),
		pool: Pool{
			Centres: []Centre{{Name: "a", Regular: 10, Price: 0.85}, {Name: "b", Regular: 10, Price: 1.2}, {Name: "c", Regular: 10, Price: 1}},
			Min:     1, Max: 20, SpotRatio: spotRatio, BootTime: bootTime,
		},
	}
}

func (s *site) centre(name string) *Centre {
	for i := range s.pool.Centres {
		if s.pool.Centres[i].Name == name {
			return &s.pool.Centres[i]
		}
	}
	s.t.Fatalf("no data centre %s", name)
	return nil
}

// run lets time pass at a constant demand. check is called at each step.
func (s *site) run(d time.Duration, demand float64, check func()) {
	s.t.Helper()
	s.pool.Demand = demand
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tick) {
		s.arrive()
		for _, o := range s.sizer.Decide(s.pool, s.now) {
			s.place(o)
		}
		for _, c := range s.pool.Centres {
			require.LessOrEqual(s.t, c.Regular+c.Spot, s.pool.Max)
		}
		if check != nil {
			check()
		}
	}
}

func (s *site) place(o Order) {
	s.orders++
	if o.Spot && s.unavailable[o.Centre] && o.Count > s.centre(o.Centre).Spot {
		s.sizer.Refused(o.Centre, s.now)
		return
	}
	s.sizer.Placed(o, true, s.now)
	c := s.centre(o.Centre)
	have := &c.Regular
	if o.Spot {
		have = &c.Spot
	}
	if o.Count <= *have {
		*have = o.Count
		return
	}
	s.arrivals = append(s.arrivals, arrival{o, s.now.Add(bootTime)})
}

func (s *site) arrive() {
	var later []arrival
	for _, a := range s.arrivals {
		switch {
		case s.now.Before(a.at):
			later = append(later, a)
		case a.Spot:
			s.centre(a.Centre).Spot = a.Count
		default:
			s.centre(a.Centre).Regular = a.Count
		}
	}
	s.arrivals = later
}

func (s *site) size() int { return s.pool.size() }

func (s *site) regular() int {
	n := 0
	for _, c := range s.pool.Centres {
		n += c.Regular
	}
	return n
}

// Regular upstreams are replaced by spot ones before the demand is known, and no moment has fewer
// upstreams than there were.
func TestSpotUpstreamsReplaceRegularOnes(t *testing.T) {
	s := newSite(t, 0.15)
	s.run(15*time.Second, 0, func() { require.GreaterOrEqual(t, s.size(), 30) })
	require.Zero(t, s.regular())
	require.Equal(t, 30, s.size())
	require.LessOrEqual(t, s.orders, 6)
}

// Without spot upstreams the number follows the demand, only after it has been observed.
func TestRegularUpstreamsFollowTheDemand(t *testing.T) {
	s := newSite(t, 0)
	s.run(15*time.Second, 6, func() { require.Equal(t, 30, s.size()) })
	s.run(60*time.Second, 6, nil)
	require.Equal(t, 8, s.size())
	s.run(10*time.Second, 12, nil)
	require.Equal(t, 16, s.size(), "twice the demand")
}

// Load pattern: a data centre loses all its spot upstreams, and has no others for ten seconds.
// What is left must carry the demand.
func TestReclaimOfADataCentre(t *testing.T) {
	s := newSite(t, 0.15)
	s.run(60*time.Second, 6, nil)
	require.GreaterOrEqual(t, s.size(), 15)
	s.centre("a").Spot = 0
	s.unavailable["a"] = true
	s.run(10*time.Second, 6, func() { require.GreaterOrEqual(t, s.size(), 10) })
	require.GreaterOrEqual(t, s.size(), 15, "replaced in the other data centres")
	require.Zero(t, s.regular())
	s.unavailable["a"] = false
	s.run(60*time.Second, 6, nil)
	require.GreaterOrEqual(t, s.centre("a").Spot, 5)
	require.LessOrEqual(t, s.size(), 24, "three times half of what must be left")
}

// Load pattern: no data centre has spot upstreams to be had after one has lost all its own. Regular
// ones do the work for which the others are too few, and no more.
func TestReclaimWithNoneToBeHad(t *testing.T) {
	s := newSite(t, 0.15)
	s.run(60*time.Second, 6, nil)
	s.centre("b").Spot = 0
	for _, name := range []string{"a", "b", "c"} {
		s.unavailable[name] = true
	}
	s.run(15*time.Second, 6, func() { require.GreaterOrEqual(t, s.size(), 10) })
	require.LessOrEqual(t, s.regular(), s.pool.Min, "the others carry the demand")
	s.run(20*time.Second, 13, nil)
	require.GreaterOrEqual(t, s.size(), 18)
	require.LessOrEqual(t, s.size(), 19)
	require.Positive(t, s.regular())
	clear(s.unavailable)
	s.run(60*time.Second, 6, nil)
	require.Zero(t, s.regular())
}

// Load pattern: two of three data centres lose all their spot upstreams within half a second. Spot
// upstreams of the third and then regular ones carry the demand until there are others.
func TestReclaimOfTwoDataCentres(t *testing.T) {
	s := newSite(t, 0.15)
	s.run(60*time.Second, 20, nil)
	for _, name := range []string{"b", "c"} {
		s.centre(name).Spot = 0
		s.unavailable[name] = true
		s.run(tick, 20, nil)
	}
	s.run(bootTime+2*time.Second, 20, nil)
	require.GreaterOrEqual(t, s.size(), 20)
	require.Equal(t, 20, s.centre("a").Spot, "as many as there may be")
	clear(s.unavailable)
	s.run(30*time.Second, 20, nil)
	require.Zero(t, s.regular())
	require.GreaterOrEqual(t, s.size(), 40)
}

// Guards against regular upstreams that are cancelled before they have booted, each time spot ones are
// asked for again.
func TestRegularUpstreamsAreNotCancelledWhileSpotOnesAreRefused(t *testing.T) {
	s := newSite(t, 0.15)
	s.run(60*time.Second, 20, nil)
	for _, name := range []string{"a", "b", "c"} {
		s.unavailable[name] = true
	}
	s.centre("b").Spot, s.centre("c").Spot = 0, 0
	s.run(bootTime+2*time.Second, 20, nil)
	const work = 27 // a demand of 20 at the utilisation of defaultWorkUtilisation
	s.run(20*time.Second, 20, func() { require.GreaterOrEqual(t, s.size(), work) })
}

// Load pattern: a fifth of the upstreams crash for good.
func TestCrashedUpstreamsAreReplaced(t *testing.T) {
	s := newSite(t, 0.15)
	s.run(60*time.Second, 6, nil)
	before := s.size()
	for i := range s.pool.Centres {
		s.pool.Centres[i].Spot -= s.pool.Centres[i].Spot / 5
	}
	require.Less(t, s.size(), before)
	s.run(20*time.Second, 6, nil)
	require.Equal(t, before, s.size())
}

// Guards against an oscillation while prompts and answers swap every few seconds: the number
// follows the envelope of the demand, not its moments.
func TestSwappingDemandGivesNoOrders(t *testing.T) {
	s := newSite(t, 0.15)
	s.run(60*time.Second, 10, nil)
	before := s.orders
	for i := range 20 {
		s.run(2800*time.Millisecond, []float64{6, 10}[i%2], nil)
	}
	require.Equal(t, before, s.orders)
}

// A new lease holder goes on from the upstreams that there are.
func TestSuccessorKeepsTheNumber(t *testing.T) {
	s := newSite(t, 0.15)
	s.run(60*time.Second, 6, nil)
	before := s.size()
	s.sizer = NewSizer(Config{})
	s.orders = 0
	s.run(15*time.Second, 6, nil)
	require.Equal(t, before, s.size())
	require.LessOrEqual(t, s.orders, 3)
}

// Without any demand at least the minimum is kept.
func TestMinimumIsKept(t *testing.T) {
	s := newSite(t, 0.15)
	s.run(30*time.Second, 6, nil)
	s.run(3*time.Minute, 0, nil)
	for _, c := range s.pool.Centres {
		require.GreaterOrEqual(t, c.Spot+c.Regular, s.pool.Min)
	}
}

// Guards against orders that are repeated at once because their outcome isn't known.
func TestUnknownOutcomeIsRetriedAtIntervals(t *testing.T) {
	s := NewSizer(Config{})
	p := newSite(t, 0.15).pool
	first := s.Decide(p, time.Unix(0, 0))
	require.Len(t, first, 3)
	for _, o := range first {
		require.True(t, o.Spot, "regular upstreams stay until spot ones serve")
		s.Placed(o, false, time.Unix(0, 0))
	}
	require.Empty(t, s.Decide(p, time.Unix(0, 0).Add(tick)))
	require.Len(t, s.Decide(p, time.Unix(1, 0)), 3)
}

// Guards against a change of the whole fleet at once, of which daemons learn too slowly.
func TestLargeFleetChangesInSteps(t *testing.T) {
	s := newSite(t, 0.3)
	s.pool.Max = 2000
	for i := range s.pool.Centres {
		s.pool.Centres[i].Regular = 1000
	}
	const step = 20
	steps := int(30*time.Second/bootTime) + 1
	former := slices.Clone(s.pool.Centres)
	s.run(30*time.Second, 10, func() {
		for i, c := range s.pool.Centres {
			require.LessOrEqual(t, former[i].Regular-c.Regular, step)
			require.LessOrEqual(t, c.Spot-former[i].Spot, step)
		}
		former = slices.Clone(s.pool.Centres)
	})
	require.GreaterOrEqual(t, s.pool.Centres[0].Regular, 1000-steps*step, "a step waits for the effect of the last one")
	require.Less(t, s.pool.Centres[0].Regular, 1000, "the change goes on")
}

// Guards against a limit on changes that delays the replacement of lost upstreams.
func TestMissingUpstreamsAreOrderedAtOnce(t *testing.T) {
	s := newSite(t, 0.3)
	s.pool.Max = 2000
	s.run(90*time.Second, 300, nil)
	for i := range s.pool.Centres {
		s.pool.Centres[i].Regular, s.pool.Centres[i].Spot = 0, 5
		s.unavailable[s.pool.Centres[i].Name] = true
	}
	s.run(bootTime+4*tick, 300, nil)
	require.GreaterOrEqual(t, s.size(), 400)
}

func BenchmarkDecide(b *testing.B) {
	s := NewSizer(Config{})
	p := Pool{Min: 1, Max: 1000, SpotRatio: 0.15, BootTime: bootTime, Demand: 2000}
	for i := range 10 {
		p.Centres = append(p.Centres, Centre{Name: string(rune('a' + i)), Regular: 690, Price: 1})
	}
	for b.Loop() {
		s.Decide(p, time.Unix(0, 0))
	}
}
