package rolepolicy

import "time"

// Gain changes a role where the goodput won over the expected length of the
// shift exceeds the capacity lost by the change, times its weight.
type Gain struct {
	c Config
}

// NewGain returns the policy with its defaults filled in.
func NewGain(c Config) *Gain { return &Gain{c: c} }

// Decide returns the changes that pay.
func (g *Gain) Decide(s State, now time.Time) []Decision { return nil }
