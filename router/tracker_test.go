package router

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/upstream"
)

// testClock is a clock that tests advance.
type testClock struct{ at time.Time }

func (c *testClock) now() time.Time          { return c.at }
func (c *testClock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newTestTracker(names ...string) (*Tracker, *testClock) {
	clock := &testClock{testNow}
	var ups []Upstream
	for _, n := range names {
		ups = append(ups, engine(n, func(u *Upstream) { u.ReportAt = time.Time{} }))
	}
	return NewTracker(testConfig(), ups, clock.now), clock
}

func report(running, queued int, age time.Duration) upstream.LoadReport {
	return upstream.LoadReport{InService: true, Role: upstream.RoleMixed, Running: running, QueuedPrompt: queued,
		PrefillPerSecond: 5000, DecodePerSecond: 640, MaxBatch: 32, AgeMillis: age.Milliseconds()}
}

var testRequest = Request{Pool: "p", Model: "m", PromptTokens: 1000, OutputTokens: 50}

// A 3 s old report includes the request begun 4 s ago, which ended 1 s ago, and
// lacks the one begun 2 s ago. Without the correction the engine would look idle
// although a prompt waits there, and the ended request would count for another 3 s.
func TestLocalWorkCorrectsALateReport(t *testing.T) {
	tr, clock := newTestTracker("a")
	plan := Plan{Engine: "a"}
	old := tr.Begin(plan, testRequest)
	clock.advance(2 * time.Second)
	young := tr.Begin(plan, testRequest)
	clock.advance(time.Second)
	old.End(OutcomeOK)
	clock.advance(time.Second)
	tr.SetLoadReport("a", report(1, 1000, 3*time.Second), clock.now())

	work := func() Work {
		n := tr.Snapshot().byName["a"]
		u := n.state.Load()
		return n.currentWork(&tr.cfg, u, 0)
	}
	require.Equal(t, Work{Requests: 1, PromptTokens: 1000, KVTokens: 1050, OutputTokens: 50}, work())
	u, _ := tr.Snapshot().Upstream("a", clock.now())
	require.Equal(t, 0, u.LocalDelta.Requests, "one begun and one ended since the report")
	require.Equal(t, 1, u.InFlight)

	young.FirstToken()
	require.Equal(t, 0, work().PromptTokens)
	young.End(OutcomeOK)
	require.Equal(t, 0, work().Requests)
	tr.SetLoadReport("a", report(7, 0, 10*time.Second), clock.now())
	require.Equal(t, 0, work().Requests, "an older report must not replace a newer one")
}

// Callers request many tokens and receive a third. With the requested number as
// the estimate, requests would be refused that would meet their deadlines.
func TestOutputEstimateLearnsActualLength(t *testing.T) {
	tr, clock := newTestTracker("a")
	r := testRequest
	r.OutputTokens = 300
	estimate := func() time.Duration {
		plan, err := tr.Pick(r)
		require.NoError(t, err)
		return plan.Estimate.Unloaded
	}
	before := estimate()
	for range 300 {
		k := tr.Begin(Plan{Engine: "a"}, r)
		clock.advance(time.Second)
		k.FirstToken()
		k.Tokens(100)
		k.End(OutcomeOK)
	}
	require.InDelta(t, 0.35, estimate().Seconds()/before.Seconds(), 0.05)
}

// The counters must return to zero for any order of begin, first token, end and
// reports, with concurrent goroutines.
func TestCountersReturnToZero(t *testing.T) {
	tr, _ := newTestTracker("a", "b", "c")
	tr.now = time.Now
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(g), 3))
			for range 300 {
				plan, err := tr.Pick(testRequest)
				if err != nil {
					continue
				}
				if rnd.IntN(4) == 0 {
					plan.Prefill, plan.Engine = "a", "b"
				}
				k := tr.Begin(plan, testRequest)
				if rnd.IntN(2) == 0 {
					k.PrefillDone()
					k.FirstToken()
					k.Tokens(rnd.IntN(80))
				}
				tr.SetLoadReport("c", report(rnd.IntN(9), rnd.IntN(9999), time.Duration(rnd.IntN(100))*time.Millisecond), time.Now())
				k.End(Outcome(rnd.IntN(3)))
				k.End(OutcomeBroken)
			}
		})
	}
	wg.Wait()
	for _, b := range tr.all {
		l := &b.node.live
		require.Zero(t, l.inFlight.Load())
		require.Zero(t, l.localPrompt.Load())
		require.Zero(t, l.localKV.Load())
		require.Zero(t, l.localOutput.Load())
		require.Zero(t, l.probes.Load())
	}
}

// An engine that has died fails requests and therefore looks idle, which would draw
// more of them. It must be excluded at once, tried by single requests, and return
// to service soon after it answers.
func TestUnreachableUpstreamRecoversByProbe(t *testing.T) {
	tr, clock := newTestTracker("a", "b")
	tr.Begin(Plan{Engine: "a"}, testRequest).End(OutcomeBroken)
	for range 20 {
		plan, err := tr.Pick(testRequest)
		require.NoError(t, err)
		require.Equal(t, "b", plan.Engine)
	}
	clock.advance(2 * time.Second)
	probes := 0
	rnd := testRand()
	for range 20 {
		plan, err := Pick(tr.Snapshot(), testRequest, clock.now(), rnd)
		require.NoError(t, err)
		if plan.Engine == "a" {
			probes++
			tr.Begin(plan, testRequest)
		}
	}
	require.Equal(t, 1, probes, "one probe at a time")

	u, _ := tr.Snapshot().Upstream("a", clock.now())
	require.True(t, u.Probing)
	for range 2 {
		tr.Begin(Plan{Engine: "a"}, testRequest).End(OutcomeOK)
	}
	u, _ = tr.Snapshot().Upstream("a", clock.now())
	require.False(t, u.Probing || u.Ejected)
}

// All upstreams fail alike, for example because of what the callers request.
// Ejecting all of them would turn that into an outage.
func TestEjectionStopsAtMaxFraction(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	tr, clock := newTestTracker(names...)
	for range 10 {
		for _, n := range names {
			tr.Begin(Plan{Engine: n}, testRequest).End(OutcomeTimeout)
		}
	}
	out := 0
	for _, u := range tr.Snapshot().Upstreams(clock.now()) {
		if u.Ejected {
			out++
		}
	}
	require.Equal(t, 2, out)
}

// Ejection times double while probes fail, and stay short enough for a return
// within 10 s of the fault's end.
func TestEjectionTimesGrow(t *testing.T) {
	tr, clock := newTestTracker("a", "b")
	var times []time.Duration
	for range 5 {
		for range 3 {
			tr.Begin(Plan{Engine: "a"}, testRequest).End(OutcomeTimeout)
		}
		until := tr.byName["a"].node.live.ejectedUntil.Load()
		times = append(times, time.Unix(0, until).Sub(clock.now()))
		clock.at = time.Unix(0, until)
	}
	s := time.Second
	require.Equal(t, []time.Duration{2 * s, 4 * s, 8 * s, 8 * s, 8 * s}, times)
}

func TestInstanceListAndDraining(t *testing.T) {
	tr, _ := newTestTracker("a", "b")
	pick := func() string {
		plan, err := tr.Pick(testRequest)
		if err != nil {
			return ""
		}
		return plan.Engine
	}
	tr.SetInstances([]infra.Instance{{Name: "a", Terminating: true}, {Name: "b"}})
	require.Equal(t, "b", pick())
	tr.SetDraining("b", true)
	require.Equal(t, "", pick())
	tr.SetDraining("b", false)
	tr.SetInstances([]infra.Instance{{Name: "a"}})
	require.Equal(t, "a", pick(), "b is no longer listed")
	tr.SetInstances(nil)
	require.Equal(t, "", pick())
}

// Events arrive late and with gaps, and an engine restarts with an empty cache: the
// confidence of entries must fall accordingly, and the index must stay bounded.
func TestPrefixIndexConfidence(t *testing.T) {
	blocks := []uint64{1, 2, 3, 4}
	stored := func(from uint64, ids ...uint64) []upstream.CacheEvent {
		var out []upstream.CacheEvent
		for i, b := range ids {
			out = append(out, upstream.CacheEvent{Seq: from + uint64(i), Block: b, Stored: true})
		}
		return out
	}
	confidence := func(x *PrefixIndex, now time.Time) float64 {
		for _, m := range x.lookup(nil, blocks, now) {
			if m.Engine == 0 {
				return m.Confidence * float64(m.Blocks) / 4
			}
		}
		return 0
	}
	cases := []struct {
		name      string
		do        func(x *PrefixIndex)
		after     time.Duration
		low, high float64
	}{
		{"stored", func(x *PrefixIndex) {}, 0, 1, 1},
		{"half-life", func(x *PrefixIndex) {}, time.Minute, 0.49, 0.51},
		{"gap as large as the cache", func(x *PrefixIndex) { x.apply(0, stored(9, 77), testNow) }, 0, 0.49, 0.51},
		{"restart", func(x *PrefixIndex) { x.apply(0, stored(1, 77), testNow) }, 0, 0, 0},
		{"evicted", func(x *PrefixIndex) { x.apply(0, []upstream.CacheEvent{{Seq: 5, Block: 4}}, testNow) }, 0, 0.7, 0.8},
		{"stored again", func(x *PrefixIndex) { x.apply(0, stored(9, 1, 2, 3, 4), testNow) }, 0, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := NewPrefixIndex(1000, time.Minute)
			x.apply(0, stored(1, blocks...), testNow)
			c.do(x)
			got := confidence(x, testNow.Add(c.after))
			require.GreaterOrEqual(t, got, c.low)
			require.LessOrEqual(t, got, c.high)
		})
	}
	x := NewPrefixIndex(160, time.Minute)
	for i := range uint64(10000) {
		x.addPredicted(int32(i%9), []uint64{i}, testNow)
	}
	require.LessOrEqual(t, x.Len(), 160)
}

func TestPrefixBlocks(t *testing.T) {
	long := wordsOf(64)
	require.Len(t, PrefixBlocks(long), 4)
	require.Len(t, PrefixBlocks(long[:6*31]), 1, "an incomplete block has no hash")
	require.Equal(t, PrefixBlocks(long)[:2], PrefixBlocks(wordsOf(32)), "chained from the start")
	other := PrefixBlocks("x" + long)
	require.NotEqual(t, PrefixBlocks(long)[3], other[3])
}
