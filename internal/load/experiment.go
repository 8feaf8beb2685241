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
	// Split is the roles at the start.
	Split rolepolicy.Split `json:"split"`
	// Speed is one engine's, at full efficiency and without the scale.
	Speed   Speed   `json:"speed"`
	Summary Summary `json:"summary"`
	// folder is where the trial was read from.
	folder string
}

// MixFor returns the trial's mix, unscaled.
func (t Trial) MixFor(d *settings.Deployment) (Preset, Mix, error) {
	p, err := PresetFor(d)
	if err != nil {
		return p, Mix{}, err
	}
	m, err := p.Mix(t.Mix, t.Seed, EngineCount(d), t.Speed)
	return p, m, err
}

// Plan is the best split of each phase, from the start of the run on, as it
// would be made by someone who knows the mix in advance.
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
		at = at.Add(shorter(p.Length, t.Scale))
	}
	return plan, nil
}

// Hindsight is the split that serves most of the whole mix if it is never
// changed, by the capacity model.
func (t Trial) HindsightSplit(d *settings.Deployment) (rolepolicy.Split, error) {
	_, m, err := t.MixFor(d)
	if err != nil {
		return rolepolicy.Split{}, err
	}
	best, most := rolepolicy.Split{}, -1.0
	n := EngineCount(d)
	for p := 0; p <= n; p++ {
		for dec := 0; dec+p <= n; dec++ {
			split := rolepolicy.Split{Prefill: p, Decode: dec, Mixed: n - p - dec}
			if v := t.served(m, split); v > most {
				best, most = split, v
			}
		}
	}
	return best, nil
}

// served is how many requests a split serves over the mix.
func (t Trial) served(m Mix, s rolepolicy.Split) float64 {
	total := 0.0
	for _, p := range m.Phases {
		d := m.Demand(p)
		share := s.Served(rolepolicy.Rates(t.Speed), rolepolicy.Rates{Prefill: d.PromptPerSec, Decode: d.OutputPerSec})
		total += share * d.RequestsPerSec * p.Length.Seconds()
	}
	return total
}

// Do runs the trial against a deployment that is up, from start on, and writes
// its results to the options' folder.
func (t Trial) Do(ctx context.Context, o Options, start time.Time) (Trial, error) {
	p, m, err := t.MixFor(o.Deployment)
	if err != nil {
		return t, err
	}
	m = m.Scaled(t.Scale)
	arrivals := m.Arrivals(t.Seed, o.callers())
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
	t.Summary = rec.Summarise(m, m.Length(), o.killed(), counted)
	if err := rec.WriteResults(filepath.Join(o.Out, "requests.csv")); err != nil {
		return t, err
	}
	return t, t.write(o.Out)
}

// loadWithFaults loads the deployment, and strikes its stand-ins meanwhile if
// the trial has faults.
func (t Trial) loadWithFaults(ctx context.Context, o Options, model string, m Mix, arrivals []Arrival) (*Recorder, Counters, error) {
	faulty, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	if t.Faults {
		group.Go(func() { faultScript(m.Length(), o).run(faulty) })
	}
	return o.load(ctx, model, m, arrivals)
}

// trialFile holds a trial's figures in its folder.
const trialFile = "trial.json"

func (t Trial) write(folder string) error {
	text, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return eris.Wrap(err, "trial")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(folder, trialFile), text, 0o644), "trial")
}
