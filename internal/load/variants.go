package load

import (
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/settings"
	"tamarackchute/rolepolicy"
)

// The policies that an experiment compares.
const (
	// FixedRoundRobin keeps the settings' roles and routes by turns;
	// FixedLeastOutstanding routes to the fewest requests in flight.
	FixedRoundRobin       = "fixed-round-robin"
	FixedLeastOutstanding = "fixed-least-outstanding"
	// FixedCost keeps the settings' roles under our routing.
	FixedCostRouting = "fixed-our-routing"
	// Threshold changes roles on reported load, under our routing.
	Threshold = "threshold"
	// Hindsight keeps the split that is best for the whole mix, KnownMix
	// changes to each phase's best split as it begins; both with our routing.
	HindsightSplit = "hindsight-split"
	KnownMix       = "known-mix"
	// Ours is the gain policy under our routing.
	Gain = "gain"
)

// Policies names all policies of an experiment.
var Policies = []string{FixedRoundRobin, FixedLeastOutstanding, FixedCostRouting, Threshold, HindsightSplit, KnownMix, Gain}

// The routing baselines as the settings name them.
const (
	pickerRoundRobin       = "round_robin"
	pickerLeastOutstanding = "least_outstanding"
)

// Variant returns what the trial changes in a deployment's settings. The load
// starts at start.
func (t Trial) Variant(d *settings.Deployment, start time.Time) (Variant, error) {
	v := Variant{Scale: t.Scale, Policy: rolepolicy.NameFixed}
	var err error
	switch t.Policy {
	case FixedRoundRobin:
		v.Picker = pickerRoundRobin
	case FixedLeastOutstanding:
		v.Picker = pickerLeastOutstanding
	case FixedCostRouting:
	case Threshold:
		v.Policy = rolepolicy.NameThreshold
	case HindsightSplit:
		v.Split, err = t.HindsightSplit(d)
	case KnownMix:
		v.Policy = rolepolicy.NameSchedule
		v.Schedule, err = t.Plan(d, start)
		if err == nil {
			v.Split = v.Schedule[0].Split
		}
	case Gain:
		v.Policy = rolepolicy.NameGain
	default:
		return v, eris.Errorf("unknown policy %q", t.Policy)
	}
	return v, err
}
