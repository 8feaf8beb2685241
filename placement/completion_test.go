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

// playSeeds plays a pattern with some seeds, and returns the mean shares of the longest tenth
// of the streams and of the others that were whole, and of the prompts answered in time.
func averageOverSeeds(slow float64, set func(p *batchReplay), rates func(at time.Duration) (streams, prompts float64)) (longest, others, prompts float64) {
	const seeds = 3
	for seed := range uint64(seeds) {
		p := newBatchReplay(12, slow, seed)
		set(p)
		p.play(40*time.Second, rates)
		l, o, r := p.completeByLength()
		longest, others, prompts = longest+l/seeds, others+o/seeds, prompts+r/seeds
	}
	return longest, others, prompts
}

// turns is a mix that swings between long answers and long prompts every three seconds.
func alternatingMix(at time.Duration) (streams, prompts float64) {
	if at/(3*time.Second)%2 == 0 {
		return 20, 250
	}
	return 8, 500
}

// Of the longest answers far fewer arrive whole than of the others: their callers see a
// stream that runs at an even pace and is cut at their deadline. Bursts of long answers and
// of long prompts take turns. Each stream begins in time and pauses no longer than it may,
// so nothing kept it from an engine that was three quarters full of others, whose last places
// short answers took, and which read beside them: an event then took 92 ms, and 170 of them
// are due within 15 s. Attempts said "expected_gap_ms":84, "beside":31, "events":156,
// "lasted_ms":14529, "left_ms":14528, and their engine, alone, makes an event in 42 ms.
func TestLongestResponsesComplete(t *testing.T) {
	for _, slow := range []float64{0.3, 1, 5} {
		longest, others, prompts := averageOverSeeds(slow, func(*batchReplay) {}, alternatingMix)
		t.Logf("times %v: whole of the longest tenth %.3f, of the others %.3f; prompts in time %.3f", slow, longest, others, prompts)
		assert.GreaterOrEqual(t, longest, 0.95*others)
		assert.GreaterOrEqual(t, others, 0.99, "no worse than where nothing asks when they are whole")
		assert.GreaterOrEqual(t, prompts, 0.99, "no worse than where nothing asks when streams are whole")
	}
}

// Some engines of a pool take longer for all than the others, and nobody knew: streams that
// were cut at their deadline ran on these alone. An event took 42 to 44 ms there, 31 to 33
// elsewhere, and the longest answers have 322 events, due within 13.3 s; engines taken for
// alike got alike many streams.
func TestLongestResponsesCompleteOnUnequalEngines(t *testing.T) {
	slower := func(p *batchReplay) {
		for i, e := range p.engines {
			if i%4 == 1 {
				e.slowdown = 1.6
			}
		}
	}
	longest, others, prompts := averageOverSeeds(1, slower, alternatingMix)
	t.Logf("whole of the longest tenth %.3f, of the others %.3f; prompts in time %.3f", longest, others, prompts)
	assert.GreaterOrEqual(t, longest, 0.95*others)
	assert.GreaterOrEqual(t, others, 0.99)
	assert.GreaterOrEqual(t, prompts, 0.99)
}

// The first of the engines that generate ran 26 streams on average and the sixth 10; thirteen
// of the fifteen streams cut at their deadline ran on the first. Each next engine cost more, so
// that the first ones were filled up until they were slower by as much: the more, the longer
// the prompts that the engines read.
func TestDedicatedEnginesShareLongStreams(t *testing.T) {
	p := newBatchReplay(12, 1, 1)
	for range 300 {
		p.tracker.model("p").LearnPrefill(enginemodel.PrefillSample{
			Role: upstream.RoleDecode, Prompt: enginemodel.Prompt{Tokens: 200_000}, Took: millis(p.prefillMillis(upstream.RoleDecode, 200_000)), QueueEmpty: true,
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

// Engines whose events hardly come later beside other streams, and too late for the longest
// answers even alone: each counted as taken up by one stream. The leader then saw more
// generating than there were engines ("generating":19.89 of 16), and left one engine to read
// ("prefill":1) in a burst of long prompts.
func TestStreamCapacityWithoutSlowdown(t *testing.T) {
	b := NewTracker((&clock{time.Unix(1000, 0)}).now)
	b.Sync([]Member{{ID: "e", Pool: "p", Role: upstream.RoleDecode, Slots: 32}})
	m := b.model("p")
	for i := range 100 {
		m.LearnInterval(i%20, millis(30+0.1*float64(i%20)))
		m.LearnStream(eventTokens*300, 300, 9*time.Second)
		m.LearnLongResponse(eventTokens*300, 10*time.Second)
	}
	require.InDelta(t, LongSlots(32), longStreamCapacity(&b.Engines([]string{"e"})[0]), 0.01)
}

// An engine's pace is known from the streams of all daemons, as each sees only a few there; it
// goes with what is told of the work, and is no news by itself: events are many.
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

// Engines of any speed: what one event says isn't lost in the unit in which it is told.
func TestDecodeSlowdownAtAnySpeed(t *testing.T) {
	for _, interval := range []float64{0.3, 4, 600} {
		var l Load
		for range 100_000 {
			l.recordEventTime(1.4*interval, interval)
		}
		require.InDelta(t, 1.4, l.decodeSlowdown(), 0.06, "%v ms between events", interval)
		require.Less(t, float64(l.ExpectedEventTime)*2000, float64(math.MaxUint32), "two thousand daemons' sums")
	}
}
