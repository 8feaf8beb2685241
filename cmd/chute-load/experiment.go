package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"tamarackchute/internal/load"
	"tamarackchute/internal/settings"
)

// trialFlags are the flags that select a trial of an experiment, common to prepare and run.
type trialFlags struct {
	policy, mix                     *string
	seed                            *uint64
	faults                          *bool
	scale, start, prefill, stepFull *float64
	maxBatch                        *int
}

func newTrialFlags(f *flag.FlagSet) trialFlags {
	return trialFlags{
		policy:   f.String("policy", load.Gain, "one of "+strings.Join(load.Policies, ", ")),
		mix:      f.String("mix", load.MixShift, "one of "+strings.Join(load.Mixes, ", ")),
		seed:     f.Uint64("seed", 1, "seed of the mix"),
		faults:   f.Bool("faults", false, "crash one engine in four and the log for a fifth of the run"),
		scale:    f.Float64("scale", 10, "factor by which the run is accelerated"),
		start:    f.Float64("start", 0, "start of the load in Unix `seconds`; 0 is now"),
		prefill:  f.Float64("prefill-rate", 8000, "value of the stand-ins' flag of the same name"),
		stepFull: f.Float64("step-full", 0.03, "value of the stand-ins' flag of the same name, in `seconds`"),
		maxBatch: f.Int("max-batch", 32, "value of the stand-ins' flag of the same name"),
	}
}

func (t trialFlags) trial(d *settings.Deployment) load.Trial {
	return load.Trial{
		Deployment: d.Name, Policy: *t.policy, Mix: *t.mix, Seed: *t.seed, Faults: *t.faults, Scale: *t.scale,
		Speed: load.Speed{Prefill: *t.prefill, Decode: float64(*t.maxBatch) / *t.stepFull},
	}
}

func (t trialFlags) startTime() time.Time {
	if *t.start <= 0 {
		return time.Now()
	}
	return time.UnixMilli(int64(*t.start * 1000))
}

// prepare writes the settings for one trial.
func prepare(_ context.Context, args []string) error {
	f := flag.NewFlagSet("chute-load prepare", flag.ContinueOnError)
	base := f.String("base", "", "settings `file` of the deployment")
	out := f.String("out", "", "`folder` for the changed settings")
	network := f.String("network", "", "first two `numbers` of all addresses, as in 127.31")
	weight := f.Float64("change-weight", 0, "roles.change_weight; 0 keeps the deployment's")
	t := newTrialFlags(f)
	if err := f.Parse(args); err != nil {
		return err
	}
	d, err := settings.Load(*base)
	if err != nil {
		return err
	}
	v, err := t.trial(d).Variant(d, t.startTime())
	if err != nil {
		return err
	}
	v.Network, v.ChangeWeight = *network, *weight
	path, err := load.Prepare(d, v, *out)
	if err != nil {
		return err
	}
	// The programs must accept the written settings.
	if _, err := settings.Load(path); err != nil {
		return err
	}
	fmt.Println(path)
	return nil
}

// run runs one trial against a running deployment.
func run(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("chute-load run", flag.ContinueOnError)
	c := newLoadFlags(f)
	label := f.String("label", "", "name for the policy in the table; the policy's own if empty")
	t := newTrialFlags(f)
	if err := f.Parse(args); err != nil {
		return err
	}
	*c.seed = *t.seed
	o, err := c.options()
	if err != nil {
		return err
	}
	trial := t.trial(o.Deployment)
	if *label != "" {
		trial.Policy = *label
	}
	done, err := trial.Do(ctx, o, t.startTime())
	if err != nil {
		return err
	}
	return printLine(done.Summary)
}

// table prints all trials in a folder and draws the plots.
func table(_ context.Context, args []string) error {
	f := flag.NewFlagSet("chute-load table", flag.ContinueOnError)
	in := f.String("in", "", "`folder` with the trials")
	plots := f.Bool("plots", true, "draw the plots into the folder")
	if err := f.Parse(args); err != nil {
		return err
	}
	trials, err := load.ReadTrials(*in)
	if err != nil {
		return err
	}
	if err := load.PrintTable(os.Stdout, trials); err != nil || !*plots {
		return err
	}
	return load.WritePlots(*in, trials)
}
