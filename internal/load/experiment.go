package load

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"tamarackchute/internal/settings"
	"tamarackchute/rolepolicy"
)

// Trial is one run of an experiment: one deployment, policy, mix and seed.
type Trial struct {
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Mix        string  `json:"mix"`
	Seed       uint64  `json:"seed"`
	Faults     bool    `json:"faults"`
	Scale      float64 `json:"scale"`
	// Split holds the initial roles.
	Split rolepolicy.Split `json:"split"`
	// Speed is that of one engine, at full efficiency and unscaled.
	Speed   Speed   `json:"speed"`
	Summary Summary `json:"summary"`
	// folder is where the trial was read from.
	folder string
}

// MixFor returns the trial's preset and its unscaled mix.
func (t Trial) MixFor(d *settings.Deployment) (Preset, Mix, error) {
	p, err := PresetFor(d)
	if err != nil {
		return p, Mix{}, err
	}
	m, err := p.Mix(t.Mix, t.Seed, EngineCount(d), t.Speed)
	return p, m, err
}

// Plan returns the best split of each phase, from start on, as if the mix were known in advance.
func (t Trial) Plan(d *settings.Deployment, start time.Time) (rolepolicy.Plan, error) {
	_, m, err := t.MixFor(d)
	if err != nil {
		return nil, err
	}
	var plan rolepolicy.Plan
	at := start
	for _, p := range m.Phases {
		demand := m.Demand(p)
		split, _ := rolepolicy.BestSplit(EngineCount(d), rolepolicy.Rates(t.Speed),
			rolepolicy.Rates{Prefill: demand.PromptPerSec, Decode: demand.OutputPerSec})
		plan = append(plan, rolepolicy.Step{At: at, Split: split})
		at = at.Add(divide(p.Length, t.Scale))
	}
	return plan, nil
}

// HindsightSplit returns the constant split that serves most requests of the whole mix by the
// capacity model.
func (t Trial) HindsightSplit(d *settings.Deployment) (rolepolicy.Split, error) {
	_, m, err := t.MixFor(d)
	if err != nil {
		return rolepolicy.Split{}, err
	}
	best, most := rolepolicy.Split{}, -1.0
	n := EngineCount(d)
	for prefill := 0; prefill <= n; prefill++ {
		for decode := 0; decode+prefill <= n; decode++ {
			split := rolepolicy.Split{Prefill: prefill, Decode: decode, Mixed: n - prefill - decode}
			if served := t.expectedServed(m, split); served > most {
				best, most = split, served
			}
		}
	}
	return best, nil
}

// expectedServed returns how many requests of the mix a split serves.
func (t Trial) expectedServed(m Mix, s rolepolicy.Split) float64 {
	total := 0.0
	for _, p := range m.Phases {
		d := m.Demand(p)
		share := s.Served(rolepolicy.Rates(t.Speed), rolepolicy.Rates{Prefill: d.PromptPerSec, Decode: d.OutputPerSec})
		total += share * d.RequestsPerSec * p.Length.Seconds()
	}
	return total
}

// Do runs the trial from start on against a running deployment and writes the results to the
// options' folder.
func (t Trial) Do(ctx context.Context, o Options, start time.Time) (Trial, error) {
	p, m, err := t.MixFor(o.Deployment)
	if err != nil {
		return t, err
	}
	m = m.Scaled(t.Scale)
	arrivals := m.Arrivals(t.Seed, o.callerCount())
	if err := writeArrivals(filepath.Join(o.Out, "mix.csv"), arrivals); err != nil {
		return t, err
	}
	if !sleepUntil(ctx, start) {
		return t, ctx.Err()
	}
	rec, counted, err := t.loadWithFaults(ctx, o, p.Model, m, arrivals)
	if err != nil {
		return t, err
	}
	t.Summary = rec.Summarise(m, m.Length(), o.killedAddresses(), counted)
	if err := rec.WriteResults(filepath.Join(o.Out, "requests.csv")); err != nil {
		return t, err
	}
	return t, t.write(o.Out)
}

// loadWithFaults loads the deployment and, if the trial has faults, injects them into the
// stand-ins at the same time.
func (t Trial) loadWithFaults(ctx context.Context, o Options, model string, m Mix, arrivals []Arrival) (*Recorder, Counters, error) {
	faultCtx, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	if t.Faults {
		group.Go(func() { newFaultSchedule(m.Length(), o).run(faultCtx) })
	}
	return o.load(ctx, model, m, arrivals)
}

// trialFile holds a trial's parameters and summary in its folder.
const trialFile = "trial.json"

func (t Trial) write(folder string) error {
	text, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return eris.Wrap(err, "trial")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(folder, trialFile), text, 0o644), "trial")
}
