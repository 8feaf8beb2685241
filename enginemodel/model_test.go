package enginemodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// truth is an engine as it is: what a reading takes, by figures that differ from site
// to site.
type trueCost struct{ start, token, pair float64 }

func (e trueCost) prefillMillis(p Prompt) float64 {
	return e.start + e.token*float64(p.Tokens) + e.pair*p.pairs()
}

// engines are a tenth as fast to ten times as fast as one that reads 60 tokens a
// millisecond.
var engines = map[string]trueCost{
	"slow": {start: 80, token: 0.16, pair: 3},
	"even": {start: 12, token: 0.016, pair: 0.3},
	"fast": {start: 3, token: 0.0016, pair: 0.03},
}

func randomPrompt(r *rand.Rand) Prompt {
	return Prompt{Tokens: 200 + int(3000*r.ExpFloat64()), Context: r.IntN(3) * 6000}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// learn shows a model some readings with a tenth of noise, of which a share goes wrong.
func train(m *Model, e trueCost, r *rand.Rand, n int, wrong float64) {
	for range n {
		p := randomPrompt(r)
		took := e.prefillMillis(p) * (0.95 + 0.1*r.Float64())
		if r.Float64() < wrong {
			took *= []float64{0.1, 5, 20}[r.IntN(3)]
		}
		m.LearnPrefill(PrefillSample{Role: upstream.RolePrefill, Prompt: p, Took: millis(took), QueueEmpty: true})
	}
}

func worstRatio(m *Model, e trueCost, r *rand.Rand) float64 {
	worst := 0.0
	for range 50 {
		p := randomPrompt(r)
		got := m.Parameters().StartMillis(upstream.RolePrefill) + m.Parameters().PrefillMillis(upstream.RolePrefill, p)
		worst = max(worst, got/e.prefillMillis(p), e.prefillMillis(p)/got)
	}
	return worst
}

// Engines a tenth to ten times as fast as usual are known after some tens of prompts;
// the estimate isn't fenced in around any engine's figures.
func TestLearnsAnySpeed(t *testing.T) {
	for name, e := range engines {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			m := New()
			train(m, e, r, 60, 0)
			require.Less(t, worstRatio(m, e, r), 1.35)
			require.Less(t, m.Error(upstream.RolePrefill).P50, 0.3)
		})
	}
}

// One prompt in ten was kept already, or stood behind a stalled engine. A few such ones
// made a daemon believe that all prompts take alike; it let everything in.
func TestOutliersCountLittle(t *testing.T) {
	for name, e := range engines {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(3, 4))
			m := New()
			train(m, e, r, 200, 0.1)
			require.Less(t, worstRatio(m, e, r), 1.6)
		})
	}
}

// All daemons start again at once and read in a crowd: the first readings take ten
// times what they do afterwards. Predicted far too short, they outweighed all later
// ones, and for ten seconds most requests were refused or late.
func TestFirstSamplesAreSuperseded(t *testing.T) {
	e := engines["even"]
	r := rand.New(rand.NewPCG(5, 6))
	m := New()
	crowded := e
	crowded.start *= 20
	train(m, crowded, r, 10, 0)
	train(m, e, r, 60, 0)
	require.Less(t, worstRatio(m, e, r), 1.6)
}

// A daemon that has just started has seen nothing. What the others have observed is
// enough to know the engines; what it says of itself meanwhile takes nothing away.
func TestObservationsAreShared(t *testing.T) {
	e := engines["even"]
	r := rand.New(rand.NewPCG(7, 8))
	old, fresh := New(), New()
	train(old, e, r, 100, 0)
	old.LearnHandoff(10_000, 0, 30*time.Millisecond)
	old.LearnInterval(4, 50*time.Millisecond)
	old.LearnStream(100, 10, 400*time.Millisecond)
	old.LearnLongResponse(100, 2*time.Second)
	fresh.Merge("old", old.LocalObservations())
	require.True(t, fresh.Parameters().Known(upstream.RolePrefill))
	require.Less(t, worstRatio(fresh, e, r), 1.35)
	require.InEpsilon(t, old.Parameters().DecodeMillis(100), fresh.Parameters().DecodeMillis(100), 0.01)
	require.InEpsilon(t, 10, fresh.Parameters().Events(100), 0.01)
	require.InEpsilon(t, old.Parameters().LongResponseTokens(), fresh.Parameters().LongResponseTokens(), 0.01)
	require.InEpsilon(t, 2000, fresh.Parameters().LongResponseMillis(), 0.01)
	require.InEpsilon(t, old.Parameters().HandoffMillis(10_000, 0), fresh.Parameters().HandoffMillis(10_000, 0), 0.01)

	// The old daemon starts again and knows little: what it knew before stays.
	restarted := New()
	train(restarted, e, r, 1, 1)
	fresh.Merge("old", restarted.LocalObservations())
	require.Less(t, worstRatio(fresh, e, r), 1.35)

	// All are lost, but what they knew together was kept.
	stored, ok := fresh.AllObservations()
	require.True(t, ok)
	restored := New()
	restored.Merge("store", stored)
	require.Less(t, worstRatio(restored, e, r), 1.35)
	_, ok = New().AllObservations()
	require.False(t, ok)
}

// All engines of a pool generate and are fast. Nobody has seen one that only reads: it
// must not look slower than they are, or none is ever given that role.
func TestUnobservedRole(t *testing.T) {
	m := New()
	for range 20 {
		m.LearnPrefill(PrefillSample{Role: upstream.RoleDecode, Prompt: Prompt{Tokens: 30_000}, Took: 6 * time.Millisecond, QueueEmpty: true})
	}
	f := m.Parameters()
	p := Prompt{Tokens: 30_000}
	require.Less(t, f.PrefillMillis(upstream.RolePrefill, p), f.PrefillMillis(upstream.RoleDecode, p))
}

// Statistics of a process that models engines in another way are left out.
func TestIncompatibleStatisticsAreIgnored(t *testing.T) {
	m := New()
	before := m.Parameters().Coefficients()
	m.Merge("other", Observations{Prefill: Stats{Normal: []float64{1}, Right: []float64{1, 2}, Count: 99}})
	require.Equal(t, before, m.Parameters().Coefficients())
}

// Reading rates and attention are told apart: an engine reads a prompt slower the
// longer the context behind which it stands.
func TestContextSlowsPrefill(t *testing.T) {
	e := trueCost{start: 10, token: 0.016, pair: 1}
	r := rand.New(rand.NewPCG(9, 10))
	m := New()
	train(m, e, r, 200, 0)
	short := m.Parameters().PrefillMillis(upstream.RolePrefill, Prompt{Tokens: 3000})
	long := m.Parameters().PrefillMillis(upstream.RolePrefill, Prompt{Tokens: 3000, Context: 12_000})
	require.Greater(t, long, 1.4*short, fmt.Sprint(m.Parameters().Coefficients()))
}

// BenchmarkLearn is the cost of one reading that was seen.
func BenchmarkLearn(b *testing.B) {
	m := New()
	r := rand.New(rand.NewPCG(1, 2))
	for b.Loop() {
		train(m, engines["even"], r, 1, 0)
	}
}

// What the longest answers are is known from all processes' answers, each of which sees few.
func TestLongResponsesOfAllProcesses(t *testing.T) {
	one, other, all := New(), New(), New()
	require.Zero(t, all.Parameters().LongResponseTokens())
	r := rand.New(rand.NewPCG(9, 10))
	train(one, engines["even"], r, 1, 0)
	train(other, engines["even"], r, 1, 0)
	for range 5 * responseMemory {
		one.LearnLongResponse(r.IntN(1000), time.Second)
		other.LearnLongResponse(1000+r.IntN(1000), time.Second)
	}
	all.Merge("one", one.LocalObservations())
	all.Merge("other", other.LocalObservations())
	// The lengths are spread evenly from 0 to 2000; some hundred of them are remembered.
	require.InEpsilon(t, 1000+longestDeviations*2000/math.Sqrt(12), all.Parameters().LongResponseTokens(), 0.1)
}
