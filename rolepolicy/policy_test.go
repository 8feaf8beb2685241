package rolepolicy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/upstream"
)

var testConfig = Config{ChangeWeight: 1, Dwell: 30 * time.Second, ChangeDuration: 5 * time.Second,
	MaxAtOnce: 1, MaxReportAge: 10 * time.Second}

func gainPolicy() Policy  { return NewGain(testConfig) }
func fixedPolicy() Policy { return Fixed{} }

// A fleet with fixed roles serves two thirds of an alternating mix. The policy must
// serve most of the rest, even if reports are 5 s old and each engine's rates are
// wrong by up to 30%.
func TestGainFollowsSwings(t *testing.T) {
	cases := []struct {
		name  string
		lag   time.Duration
		wrong float64
	}{
		{"true reports", 0, 0},
		{"reports 5 s old, rates wrong by 30%", 5 * time.Second, 0.3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				run := func(p func() Policy) outcome {
					f := newFluid(seed, []int{3, 3, 2}, testConfig.ChangeDuration)
					f.lag, f.wrong = c.lag, c.wrong
					return f.run(swings(8, seed), p)
				}
				ours, fixed := run(gainPolicy), run(fixedPolicy)
				assert.Greater(t, ours.served, 1.25*fixed.served, "seed %d", seed)
			}
		})
	}
}

// A steady mix that the fleet can serve must not cause any change.
func TestGainLeavesSteadyMixAlone(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		f := newFluid(seed, []int{3, 3, 3, 2}, testConfig.ChangeDuration)
		o := f.run([]phase{mix(20*time.Minute, 11, 0.18, 0.18, 20)}, gainPolicy)
		assert.Zero(t, o.changes, "seed %d", seed)
	}
}

// shortOfPrefill returns a policy with settled demand that needs prefill engines.
func shortOfPrefill(t *testing.T, centre string) (*Gain, State, time.Time) {
	f := newFluid(1, []int{3, 3, 2}, testConfig.ChangeDuration)
	f.step(phase{}, time.Unix(1000, 0))
	g := NewGain(testConfig)
	now := time.Unix(1000, 0)
	s := State{DataCentre: centre, Engines: f.engines}
	for range 60 {
		now = now.Add(time.Second)
		s.Demand = []Demand{{Entry: "a", Model: "m", At: now,
			PromptPerSec: 6.5 * fluidP, OutputPerSec: fluidD, RequestsPerSec: 20}}
		if len(g.Decide(s, now)) > 0 {
			break
		}
	}
	require.Len(t, g.Decide(s, now), 1)
	return g, s, now
}

func TestGainIgnoresUnreliableState(t *testing.T) {
	cases := map[string]func(s *State, now time.Time){
		"demand older than the bound": func(s *State, now time.Time) {
			s.Demand[0].At = now.Add(-11 * time.Second)
		},
		"no engine's rates known": func(s *State, _ time.Time) {
			for i := range s.Engines {
				s.Engines[i].Name += "-replaced"
				s.Engines[i].Reported = Rates{}
			}
		},
		"one entry of two silent": func(s *State, now time.Time) {
			s.Demand = append(s.Demand, Demand{Entry: "b", Model: "m", At: now.Add(-time.Minute)})
		},
		"half of the engines' reports too old": func(s *State, _ time.Time) {
			for i := range 4 {
				s.Engines[i].ReportAge = 11 * time.Second
			}
		},
		"half of the engines out of service": func(s *State, _ time.Time) {
			for i := range 4 {
				s.Engines[i].InService = false
			}
		},
		"a change going on": func(s *State, _ time.Time) {
			s.Engines[0].Changing, s.Engines[0].To = true, upstream.RolePrefill
		},
		"all engines changed recently": func(s *State, now time.Time) {
			for i := range s.Engines {
				s.Engines[i].LastChange = now.Add(-29 * time.Second)
			}
		},
	}
	for name, modify := range cases {
		t.Run(name, func(t *testing.T) {
			g, s, now := shortOfPrefill(t, "dc0")
			modify(&s, now)
			assert.Empty(t, g.Decide(s, now))
		})
	}
}

// Guards against entries that no longer exist. The leader still holds their last
// demand, which must not make the present demand count as stale.
func TestExpiredEntriesAreIgnored(t *testing.T) {
	g, s, now := shortOfPrefill(t, "dc0")
	for _, name := range []string{"old-1", "old-2"} {
		s.Demand = append(s.Demand, Demand{Entry: name, Model: "m", At: now.Add(-time.Hour)})
	}
	assert.Len(t, g.Decide(s, now), 1)
}

// Three leaders observe one shortage that a single engine ends. Leaders that don't
// coordinate would change three engines at once.
func TestOneShortageIsAnsweredOnce(t *testing.T) {
	f := newFluid(1, []int{3, 3, 2}, testConfig.ChangeDuration)
	policies := []Policy{gainPolicy(), gainPolicy(), gainPolicy()}
	now := time.Unix(1000, 0)
	for i := range f.engines {
		f.engines[i].Role = roleNames[i%2]
	}
	f.step(phase{}, now)
	total := 0
	for second := range 330 {
		now = now.Add(time.Second)
		demand := Demand{Entry: "a", Model: "m", At: now,
			PromptPerSec: 3.2 * fluidP, OutputPerSec: 2 * fluidD, RequestsPerSec: 20}
		if second >= 300 {
			demand.PromptPerSec = 4.6 * fluidP
		}
		for dc, p := range policies {
			s := State{DataCentre: fmt.Sprintf("dc%d", dc), Engines: f.engines, Demand: []Demand{demand}}
			total += len(p.Decide(s, now))
		}
		if total > 0 {
			break
		}
	}
	assert.Equal(t, 1, total)
}

func TestDecisionsKeepTheLimits(t *testing.T) {
	roles := rapid.SampledFrom([]upstream.Role{upstream.RolePrefill, upstream.RoleDecode, upstream.RoleMixed})
	rapid.Check(t, func(t *rapid.T) {
		c := testConfig
		c.MaxAtOnce = rapid.IntRange(1, 3).Draw(t, "at once")
		g := NewGain(c)
		now := time.Unix(1000, 0)
		s := State{DataCentre: "dc0"}
		for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
			s.Engines = append(s.Engines, Engine{Name: fmt.Sprint("e", i), Models: []string{"m"},
				DataCentre: fmt.Sprint("dc", i%2), Role: roles.Draw(t, "role"), To: roles.Draw(t, "to"),
				Reported:  Rates{Prefill: fluidP, Decode: fluidD},
				InService: rapid.Bool().Draw(t, "in"), Changing: rapid.IntRange(0, 5).Draw(t, "c") == 0,
				LastChange: now.Add(-time.Duration(rapid.IntRange(0, 90).Draw(t, "ago")) * time.Second)})
		}
		p := rapid.Float64Range(0, 10*fluidP).Draw(t, "prompt")
		for range 40 {
			now = now.Add(time.Second)
			s.Demand = []Demand{{Entry: "a", Model: "m", At: now, PromptPerSec: p, OutputPerSec: fluidD, RequestsPerSec: 20}}
			checkLimits(t, c, s, g.Decide(s, now), now)
		}
	})
}

func checkLimits(t *rapid.T, c Config, s State, ds []Decision, now time.Time) {
	assert.LessOrEqual(t, len(ds), max(0, c.MaxAtOnce-changing(s)))
	for _, d := range ds {
		for _, e := range s.Engines {
			if e.Name != d.Engine {
				continue
			}
			ok := e.DataCentre == s.DataCentre && e.InService && !e.Changing &&
				now.Sub(e.LastChange) >= c.Dwell && e.Role == d.From && d.From != d.To
			assert.True(t, ok, "%+v for %+v", d, e)
		}
		assert.Greater(t, d.Gain, d.Cost)
		assert.NotEmpty(t, d.Reason)
	}
}

func TestSplitsDifferInFewEngines(t *testing.T) {
	f := newFluid(1, []int{3, 3, 2}, 0)
	a := Split{Prefill: 6, Decode: 2}.Assign(f.engines)
	b := Split{Prefill: 2, Decode: 5, Mixed: 1}.Assign(f.engines)
	differ := 0
	for i := range a {
		if a[i] != b[i] {
			differ++
		}
	}
	assert.Equal(t, 4, differ)
}

func TestScheduleAppliesCurrentStep(t *testing.T) {
	f := newFluid(1, []int{3, 3, 2}, 0)
	start := time.Unix(1000, 0)
	p := NewSchedule(Plan{{At: start.Add(time.Minute), Split: Split{Prefill: 8}}, {At: start, Split: Split{Mixed: 8}}})
	s := State{DataCentre: "dc1", Engines: f.engines}
	assert.Empty(t, p.Decide(s, start.Add(-time.Second)))
	assert.Empty(t, p.Decide(s, start.Add(59*time.Second)))
	assert.Len(t, p.Decide(s, start.Add(60*time.Second)), 3)
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{11, 500} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			f := newFluid(1, []int{n / 2, n - n/2}, testConfig.ChangeDuration)
			f.step(phase{}, time.Unix(1000, 0))
			g := NewGain(testConfig)
			now := time.Unix(1000, 0)
			s := State{DataCentre: "dc0", Engines: f.engines}
			for b.Loop() {
				now = now.Add(time.Second)
				s.Demand = []Demand{{Entry: "a", Model: "m", At: now, PromptPerSec: 0.7 * float64(n) * fluidP,
					OutputPerSec: 0.2 * float64(n) * fluidD, RequestsPerSec: 20}}
				g.Decide(s, now)
			}
		})
	}
}

// By the settings a change takes 5 s, but draining adds 25 s. A policy that doesn't
// measure this assumes a sixth of each change's cost.
func TestChangeDurationsAreLearned(t *testing.T) {
	d := newDurations(5 * time.Second)
	now := time.Unix(1000, 0)
	for range 10 {
		d.observe([]Engine{{Name: "a", Changing: true}}, now)
		now = now.Add(30 * time.Second)
		d.observe([]Engine{{Name: "a"}}, now)
	}
	assert.InDelta(t, 30, d.mean.Seconds(), 1)
	d.observe([]Engine{{Name: "a", Changing: true}}, now)
	d.observe(nil, now)
	assert.Empty(t, d.begun)
}
