package rolepolicy

import (
	"time"

	"github.com/rotisserie/eris"
)

// Config configures the policies. All durations are in the deployment's time, which
// may be scaled.
type Config struct {
	// ChangeWeight multiplies the cost of a change: 1 counts only the lost
	// goodput, higher values make changes rarer.
	ChangeWeight float64
	// Dwell is the minimum time between two changes of one engine.
	Dwell time.Duration
	// ChangeDuration is how long an engine is out of service for a change, without
	// the drain before it.
	ChangeDuration time.Duration
	// MaxAtOnce bounds the engines of one data centre that change concurrently.
	MaxAtOnce int
	// MaxReportAge is the maximum age of demand values and engine reports.
	MaxReportAge time.Duration
	// Horizon is the expected length of a mix, used until shifts have been
	// observed; 0 means forty times ChangeDuration.
	Horizon time.Duration
	// Schedule is used only by the "schedule" policy.
	Schedule Plan
}

// The names of the policies.
const (
	NameGain      = "gain"
	NameFixed     = "fixed"
	NameThreshold = "threshold"
	NameSchedule  = "schedule"
)

// New returns the policy of that name, or an error for an unknown name.
func New(name string, c Config) (Policy, error) {
	switch name {
	case NameGain:
		return NewGain(c), nil
	case NameFixed:
		return Fixed{}, nil
	case NameThreshold:
		return NewThreshold(c), nil
	case NameSchedule:
		return NewSchedule(c.Schedule), nil
	default:
		return nil, eris.Errorf("rolepolicy: unknown policy %q", name)
	}
}
