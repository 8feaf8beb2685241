package rolepolicy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackchute/upstream"
)

// fluid simulates a policy against demand that is served according to the capacity
// model: no queues, no network, one step a second. It ranks policies but doesn't
// predict the performance of the system.
type fluid struct {
	engines []Engine
	truth   rateTable
	until   map[string]time.Time
	change  time.Duration
	rng     *rand.Rand
	lag     time.Duration // of the reports
	wrong   float64       // the maximum relative error of an engine's reported rates
	errs    map[string]float64
	past    []Demand
}

// phase is a period with a constant mix, in tokens and requests a second.
type phase struct {
	length                   time.Duration
	prompt, output, requests float64
}

type outcome struct {
	served, offered float64
	changes         int
}

const fluidP, fluidD = 1000.0, 100.0

func newFluid(seed uint64, perCentre []int, change time.Duration) *fluid {
	f := &fluid{until: map[string]time.Time{}, change: change, errs: map[string]float64{},
		rng: rand.New(rand.NewPCG(seed, 1))}
	f.truth = priorTable
	for r := range f.truth {
		f.truth[r].Prefill *= fluidP
		f.truth[r].Decode *= fluidD
	}
	for dc, n := range perCentre {
		for i := range n {
			f.engines = append(f.engines, Engine{Name: fmt.Sprintf("e%d-%d", dc, i),
				DataCentre: fmt.Sprintf("dc%d", dc), Role: upstream.RoleMixed,
				Models: []string{"m"}, InService: true, MaxBatch: 8})
		}
	}
	return f
}

func (f *fluid) run(phases []phase, makePolicy func() Policy) outcome {
	policies := map[string]Policy{}
	for _, e := range f.engines {
		if policies[e.DataCentre] == nil {
			policies[e.DataCentre] = makePolicy()
		}
	}
	now := time.Unix(1000, 0)
	var o outcome
	for _, ph := range phases {
		end := now.Add(ph.length)
		for ; now.Before(end); now = now.Add(time.Second) {
			o.offered += ph.requests
			o.served += ph.requests * f.share(ph)
			f.step(ph, now)
			for _, dc := range slices.Sorted(maps.Keys(policies)) {
				o.changes += f.apply(dc, policies[dc], now)
			}
		}
	}
	return o
}

// share returns the share of the phase's requests that the engines in service serve.
func (f *fluid) share(ph phase) float64 {
	var c counts
	for _, e := range f.engines {
		if e.InService && !e.Changing {
			c[indexOf(e.Role)]++
		}
	}
	return f.truth.served(c, Rates{Prefill: ph.prompt, Decode: ph.output})
}

// step records the demand with noise as from a few requests a second, and completes
// the changes that are due.
func (f *fluid) step(ph phase, now time.Time) {
	noise := func() float64 { return 1 + 0.25*f.rng.NormFloat64() }
	f.past = append(f.past, Demand{Entry: "a", Model: "m", At: now,
		PromptPerSec: ph.prompt * noise(), OutputPerSec: ph.output * noise(), RequestsPerSec: ph.requests})
	for i := range f.engines {
		e := &f.engines[i]
		if e.Changing && !now.Before(f.until[e.Name]) {
			e.Changing, e.Role, e.LastChange = false, e.To, now
		}
		if _, ok := f.errs[e.Name]; !ok {
			f.errs[e.Name] = 1 + f.wrong*(2*f.rng.Float64()-1)
		}
		e.ReportAge = f.lag
		e.Reported = f.truth[indexOf(e.Role)]
		e.Reported.Prefill *= f.errs[e.Name]
		e.Reported.Decode /= f.errs[e.Name]
		load := ph.prompt / (f.truth.capacity(counts{mixed: len(f.engines)}).Prefill)
		e.QueuedPrompt = int(load * e.Reported.Prefill)
		e.Running = int(ph.output / (0.6 * fluidD * float64(len(f.engines))) * float64(e.MaxBatch))
	}
}

// apply calls one data centre's policy and starts the changes that it decides.
func (f *fluid) apply(dc string, p Policy, now time.Time) int {
	s := State{DataCentre: dc, Engines: append([]Engine(nil), f.engines...)}
	at := max(0, len(f.past)-1-int(f.lag/time.Second))
	s.Demand = f.past[at : at+1]
	ds := p.Decide(s, now)
	for _, d := range ds {
		for i := range f.engines {
			if e := &f.engines[i]; e.Name == d.Engine {
				e.Changing, e.To = true, d.To
				f.until[e.Name] = now.Add(f.change)
			}
		}
	}
	return len(ds)
}

// mix returns a phase whose prompt and output tokens are shares of the capacity of
// engines that all have the best role for that kind of work.
func mix(length time.Duration, engines int, prompt, output, requests float64) phase {
	n := float64(engines)
	return phase{length, prompt * n * fluidP, output * n * fluidD, requests}
}

// swings returns 20 minutes of phases that alternate between long prompts and long
// outputs.
func swings(engines int, seed uint64) []phase {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []phase
	for total := time.Duration(0); total < 20*time.Minute; {
		length := time.Duration(100+rng.IntN(140)) * time.Second
		total += length
		if len(out)%2 == 0 {
			out = append(out, mix(length, engines, 0.47, 0.13, 20))
		} else {
			out = append(out, mix(length, engines, 0.1, 0.47, 20))
		}
	}
	return out
}
