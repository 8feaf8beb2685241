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

// trueCost is the actual prefill cost of a simulated engine.
type trueCost struct{ start, token, pair float64 }

func (e trueCost) prefillMillis(p Prompt) float64 {
	return e.start + e.token*float64(p.Tokens) + e.pair*p.pairs()
}

// engines have a tenth, one and ten times the speed of an engine that prefills 60 tokens
// per millisecond.
var engines = map[string]trueCost{
	"slow": {start: 80, token: 0.16, pair: 3},
	"even": {start: 12, token: 0.016, pair: 0.3},
	"fast": {start: 3, token: 0.0016, pair: 0.03},
}

func randomPrompt(r *rand.Rand) Prompt {
	return Prompt{Tokens: 200 + int(3000*r.ExpFloat64()), Context: r.IntN(3) * 6000}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// train adds n prefill observations with a noise of 10%, and a share of outliers.
func train(m *Model, e trueCost, r *rand.Rand, n int, outliers float64) {
	for range n {
		p := randomPrompt(r)
		took := e.prefillMillis(p) * (0.95 + 0.1*r.Float64())
		if r.Float64() < outliers {
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

// The parameters of engines with a tenth to ten times the usual speed are learned from some
// tens of prompts; the estimate isn't bound to any engine's speed.
func TestLearnsAnySpeed(t *testing.T) {
	for name, e := range engines {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			m := New()
			train(m, e, r, 60, 0)
			require.Less(t, worstRatio(m, e, r), 1.35)
			require.Less(t, m.PredictionErrors(upstream.RolePrefill).P50, 0.3)
		})
	}
}

// One prompt in ten is a cache hit or is queued behind a stalled engine. A few of these
// must not make the model predict the same time for all prompts, with which everything
// would be admitted.
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

// All daemons restart at once, so the first prefills take ten times as long as later ones.
// As their predictions are far too short, they must not outweigh later ones: most requests
// would be refused or late for ten seconds.
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

// A process that has just started learns the engines from the others' observations. If
// another process restarts with few observations, these don't replace its earlier ones.
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

	// The old daemon restarts with few observations: the earlier ones are kept.
	restarted := New()
	train(restarted, e, r, 1, 1)
	fresh.Merge("old", restarted.LocalObservations())
	require.Less(t, worstRatio(fresh, e, r), 1.35)

	// All processes are lost, but their combined observations were stored.
	stored, ok := fresh.AllObservations()
	require.True(t, ok)
	restored := New()
	restored.Merge("store", stored)
	require.Less(t, worstRatio(restored, e, r), 1.35)
	_, ok = New().AllObservations()
	require.False(t, ok)
}

// All engines of a pool decode and are fast. The unobserved prefill role must not look
// slower, or no engine is ever given that role.
func TestUnobservedRole(t *testing.T) {
	m := New()
	for range 20 {
		m.LearnPrefill(PrefillSample{Role: upstream.RoleDecode, Prompt: Prompt{Tokens: 30_000}, Took: 6 * time.Millisecond, QueueEmpty: true})
	}
	f := m.Parameters()
	p := Prompt{Tokens: 30_000}
	require.Less(t, f.PrefillMillis(upstream.RolePrefill, p), f.PrefillMillis(upstream.RoleDecode, p))
}

// Statistics of a process with another model are ignored.
func TestIncompatibleStatisticsAreIgnored(t *testing.T) {
	m := New()
	before := m.Parameters().Coefficients()
	m.Merge("other", Observations{Prefill: Stats{Normal: []float64{1}, Right: []float64{1, 2}, Count: 99}})
	require.Equal(t, before, m.Parameters().Coefficients())
}

// Prefill time per token and attention are learned separately: a prefill takes longer after
// a longer context.
func TestContextSlowsPrefill(t *testing.T) {
	e := trueCost{start: 10, token: 0.016, pair: 1}
	r := rand.New(rand.NewPCG(9, 10))
	m := New()
	train(m, e, r, 200, 0)
	short := m.Parameters().PrefillMillis(upstream.RolePrefill, Prompt{Tokens: 3000})
	long := m.Parameters().PrefillMillis(upstream.RolePrefill, Prompt{Tokens: 3000, Context: 12_000})
	require.Greater(t, long, 1.4*short, fmt.Sprint(m.Parameters().Coefficients()))
}

// BenchmarkLearn measures one prefill observation.
func BenchmarkLearn(b *testing.B) {
	m := New()
	r := rand.New(rand.NewPCG(1, 2))
	for b.Loop() {
		train(m, engines["even"], r, 1, 0)
	}
}

// The length of the longest responses is derived from the observations of all processes,
// each of which sees few.
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
	// The lengths are uniform from 0 to 2000; some hundred are remembered.
	require.InEpsilon(t, 1000+longestDeviations*2000/math.Sqrt(12), all.Parameters().LongResponseTokens(), 0.1)
}
