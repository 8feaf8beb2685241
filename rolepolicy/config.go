package rolepolicy

import (
	"time"

	"github.com/rotisserie/eris"
)

// Config sets the policies. All durations are in the deployment's own time.
type Config struct {
	// ChangeWeight multiplies the capacity that a change loses: 1 counts
	// goodput alone, higher values make changes rarer.
	ChangeWeight float64
	// Dwell is the least time between two changes of one engine.
	Dwell time.Duration
	// ChangeDuration is how long an engine is out of service for a change, the drain
	// before it included.
	ChangeDuration time.Duration
	// MaxAtOnce bounds the engines of one data centre changing at once.
	MaxAtOnce int
	// MaxReportAge is the oldest demand and engine report acted on.
	MaxReportAge time.Duration
	// Horizon is how long a shift is expected to last until shifts have been
	// seen; 0 means forty times Change.
	Horizon time.Duration
	// Schedule is for the "schedule" policy only.
	Schedule Plan
}

// The names under which New knows the policies.
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
