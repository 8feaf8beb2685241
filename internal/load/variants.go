package load

import (
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/settings"
	"tamarackchute/rolepolicy"
)

// The policies that an experiment compares.
const (
	// FixedRoundRobin and FixedLeastOutstanding keep the settings' roles. The former routes in
	// turns, the latter to the upstream with the fewest requests in flight.
	FixedRoundRobin       = "fixed-round-robin"
	FixedLeastOutstanding = "fixed-least-outstanding"
	// FixedCostRouting keeps the settings' roles with cost-based routing.
	FixedCostRouting = "fixed-our-routing"
	// Threshold changes roles by the reported load, with cost-based routing.
	Threshold = "threshold"
	// HindsightSplit keeps the best split for the whole mix, KnownMix changes to each phase's
	// best split as it begins; both with cost-based routing.
	HindsightSplit = "hindsight-split"
	KnownMix       = "known-mix"
	// Gain is the gain policy with cost-based routing.
	Gain = "gain"
)

// Policies lists all policies of an experiment.
var Policies = []string{FixedRoundRobin, FixedLeastOutstanding, FixedCostRouting, Threshold, HindsightSplit, KnownMix, Gain}

// The baselines for routing as the settings name them.
const (
	pickerRoundRobin       = "round_robin"
	pickerLeastOutstanding = "least_outstanding"
)

// Variant returns the trial's changes to a deployment's settings. start is when the load starts.
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
