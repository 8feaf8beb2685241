package placement

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// averageOverSeeds runs a load pattern with several seeds and returns the mean shares of
// completed streams, for the longest tenth and the others, and of prompts that met their
// objective.
func averageOverSeeds(timeScale float64, set func(p *batchReplay), rates func(at time.Duration) (streams, prompts float64)) (longest, others, prompts float64) {
	const seeds = 3
	for seed := range uint64(seeds) {
		p := newBatchReplay(12, timeScale, seed)
		set(p)
		p.play(40*time.Second, rates)
		l, o, r := p.completeByLength()
		longest, others, prompts = longest+l/seeds, others+o/seeds, prompts+r/seeds
	}
	return longest, others, prompts
}

// alternatingMix switches between long responses and long prompts every three seconds.
func alternatingMix(at time.Duration) (streams, prompts float64) {
	if at/(3*time.Second)%2 == 0 {
		return 20, 250
	}
	return 8, 500
}

// Guards against cutting the longest responses at their deadline: a stream on an engine
// three quarters full, which also prefills and serves short responses, keeps its
// first-event and gap objectives but takes 92 ms per event rather than 42 ms, and 170
// events are due within 15 s.
func TestLongestResponsesComplete(t *testing.T) {
	for _, timeScale := range []float64{0.3, 1, 5} {
		longest, others, prompts := averageOverSeeds(timeScale, func(*batchReplay) {}, alternatingMix)
		t.Logf("time scale %v: complete of the longest tenth %.3f, of the others %.3f; prompts within the objective %.3f", timeScale, longest, others, prompts)
		assert.GreaterOrEqual(t, longest, 0.95*others)
		assert.GreaterOrEqual(t, others, 0.99, "no worse than without regard to deadlines")
		assert.GreaterOrEqual(t, prompts, 0.99, "no worse than without regard to deadlines")
	}
}

// Some engines of a pool are slower than the others: 42 to 44 ms per event rather than 31
// to 33, with 322 events due within 13.3 s. If all get equally many streams, the slow
// engines miss the deadlines.
func TestLongestResponsesCompleteOnUnequalEngines(t *testing.T) {
	slowEngines := func(p *batchReplay) {
		for i, e := range p.engines {
			if i%4 == 1 {
				e.slowdown = 1.6
			}
		}
	}
	longest, others, prompts := averageOverSeeds(1, slowEngines, alternatingMix)
	t.Logf("complete of the longest tenth %.3f, of the others %.3f; prompts within the objective %.3f", longest, others, prompts)
	assert.GreaterOrEqual(t, longest, 0.95*others)
	assert.GreaterOrEqual(t, others, 0.99)
	assert.GreaterOrEqual(t, prompts, 0.99)
}

// A cost that rises from one decode engine to the next fills the first ones until they are
// slower by as much: the first ran 26 streams, the sixth 10, and thirteen of fifteen missed
// deadlines were on the first. Long prompts increase the effect.
func TestDedicatedEnginesShareLongStreams(t *testing.T) {
	p := newBatchReplay(12, 1, 1)
	for range 300 {
		p.tracker.model("p").LearnPrefill(enginemodel.PrefillSample{
			Role: upstream.RoleDecode, Prompt: enginemodel.Prompt{Tokens: 200_000}, Took: fromMillis(p.prefillMillis(upstream.RoleDecode, 200_000)), QueueEmpty: true,
		})
	}
	for i := range 100 {
		p.tracker.model("p").LearnLongResponse(eventTokens*maxEvents*i/100, maxTimeout)
	}
	for _, e := range p.engines {
		if e.Role == upstream.RoleDecode {
			p.tracker.ApplyPeerUpdate("other", []UpstreamLoad{{Upstream: KeyOf(e.ID, time.Time{}), Load: Load{Running: 8, LongStreams: 8}}}, nil)
		}
	}
	for range 40 {
		p.requestStream()
	}
	var running []int
	for _, e := range p.engines {
		if e.Role == upstream.RoleDecode {
			running = append(running, 8+len(e.streams))
		}
	}
	t.Log("streams by engine", running)
	assert.LessOrEqual(t, slices.Max(running)-slices.Min(running), 1)
}

// If streams hardly slow each other, but even a single one is too slow for the longest
// responses, one stream must not count as a full engine. The demand for decode engines then
// exceeded their number (19.89 of 16) and left one prefill engine in a burst of long
// prompts.
func TestStreamCapacityWithoutSlowdown(t *testing.T) {
	tracker := NewTracker((&clock{time.Unix(1000, 0)}).now)
	tracker.Sync([]Member{{ID: "e", Pool: "p", Role: upstream.RoleDecode, Slots: 32}})
	m := tracker.model("p")
	for i := range 100 {
		m.LearnInterval(i%20, fromMillis(30+0.1*float64(i%20)))
		m.LearnStream(eventTokens*300, 300, 9*time.Second)
		m.LearnLongResponse(eventTokens*300, 10*time.Second)
	}
	require.InDelta(t, LongSlots(32), longStreamCapacity(&tracker.Engines([]string{"e"})[0]), 0.01)
}

// Each daemon sees only a few of an engine's streams, so decode slowdown is derived from
// the observations of all. They are reported with the load, but don't cause a report by
// themselves, as there are too many events.
func TestDecodeSlowdownIsReported(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	one, other := NewTracker(c.now), NewTracker(c.now)
	members := []Member{{ID: "slow", Pool: "p", Role: upstream.RoleDecode}, {ID: "e", Pool: "p", Role: upstream.RoleDecode}}
	one.Sync(members)
	other.Sync(members)
	for range 200 {
		one.model("p").LearnInterval(0, 40*time.Millisecond)
	}
	stream := one.Begin("slow", Work{OutputTokens: 1000, LongStream: true})
	one.LocalLoads(false)
	for range 100 {
		stream.RecordGap(60 * time.Millisecond)
	}
	require.Empty(t, one.LocalLoads(false))
	stream.End(Done)
	other.ApplyPeerUpdate("one", one.LocalLoads(false), nil)
	engines := other.Engines([]string{"slow", "e"})
	require.Greater(t, engines[0].DecodeSlowdown, 1.2)
	require.InDelta(t, 1, engines[1].DecodeSlowdown, 0.01)
}

// Observations of single events must not be lost to rounding in the reported unit, whatever
// the engines' speed.
func TestDecodeSlowdownAtAnySpeed(t *testing.T) {
	for _, interval := range []float64{0.3, 4, 600} {
		var l Load
		for range 100_000 {
			l.recordEventTime(1.4*interval, interval)
		}
		require.InDelta(t, 1.4, l.decodeSlowdown(), 0.06, "%v ms between events", interval)
		require.Less(t, float64(l.ExpectedEventTime)*2000, float64(math.MaxUint32), "the sums of two thousand daemons must fit")
	}
}
