package enginemodel

import (
	"math"

	"tamarackchute/upstream"
)

// Parameters are the learned parameters of a pool's engines at one moment. All times are in
// milliseconds.
type Parameters struct {
	prefill, decode                prefillCost
	handoff                        handoff
	interval                       linear
	known                          map[upstream.Role]bool
	millisPerToken, eventsPerToken float64
	typicalPrefill                 float64
	longTokens, longMillis         float64
}

// prefillCost is the cost of a prefill: a constant, per token, and per million pairs of
// tokens.
type prefillCost struct{ start, token, pair float64 }

func prefillCostOf(f *fit) prefillCost {
	return prefillCost{start: f.coef[0], token: f.coef[1], pair: f.coef[2]}
}

// times scales the cost by n, except for the constant.
func (c prefillCost) times(n float64) prefillCost {
	return prefillCost{start: c.start, token: n * c.token, pair: n * c.pair}
}

// handoff is the cost of a handoff: a constant, the transfer of a thousand tokens, and the
// share of the pending prefill work that it waits for.
type handoff struct{ base, transfer, queue float64 }

func handoffOf(f *fit) handoff {
	return handoff{base: f.coef[0], transfer: f.coef[1], queue: f.coef[2]}
}

// linear is a time that grows linearly with one variable.
type linear struct{ base, slope float64 }

func linearOf(f *fit) linear { return linear{base: f.coef[0], slope: f.coef[1]} }

func (f *Parameters) of(role upstream.Role) prefillCost {
	switch role {
	case upstream.RolePrefill:
		return f.prefill
	case upstream.RoleDecode:
		return f.decode
	default:
		return prefillCost{}
	}
}

// PrefillMillis returns how long a prefill occupies an engine of a role, without
// StartMillis.
func (f *Parameters) PrefillMillis(role upstream.Role, p Prompt) float64 {
	if p.Tokens <= 0 {
		return 0
	}
	r := f.of(role)
	return r.token*float64(p.Tokens) + r.pair*p.pairs()
}

// StartMillis returns the time besides the prefill until the engine responds. It doesn't
// delay the next prefill.
func (f *Parameters) StartMillis(role upstream.Role) float64 { return f.of(role).start }

// MeanPrefillMillis returns the prefill time averaged over the roles: the cost to the pool,
// whichever engine does it.
func (f *Parameters) MeanPrefillMillis(p Prompt) float64 {
	return (f.PrefillMillis(upstream.RolePrefill, p) + f.PrefillMillis(upstream.RoleDecode, p)) / 2
}

// HandoffMillis returns the time from the end of a prefill on one engine to the first event
// of another one, on which queue milliseconds of prefill work are pending.
func (f *Parameters) HandoffMillis(tokens int, queue float64) float64 {
	return f.handoff.base + f.handoff.transfer*float64(tokens)/1000 + f.handoff.queue*queue
}

// Coefficients returns the parameters for display, in milliseconds: of a prefill the
// constant, per token and per million pairs; of a handoff the constant, per thousand tokens
// and per queued millisecond; of the interval the constant and per stream. "events" are per
// token, "answers" the longest responses' tokens and the mean time allowed.
func (f *Parameters) Coefficients() map[string][]float64 {
	return map[string][]float64{
		"prefill":  {f.prefill.start, f.prefill.token, f.prefill.pair},
		"decode":   {f.decode.start, f.decode.token, f.decode.pair},
		"takeover": {f.handoff.base, f.handoff.transfer, f.handoff.queue},
		"interval": {f.interval.base, f.interval.slope},
		"output":   {f.millisPerToken},
		"events":   {f.eventsPerToken},
		"answers":  {f.longTokens, f.longMillis},
		"typical":  {f.typicalPrefill},
	}
}

// Known reports whether a prefill by an engine of a role has been observed. Until then its
// predictions are mere assumptions.
func (f *Parameters) Known(role upstream.Role) bool { return f.known[role] }

// IntervalMillis returns the time between two events of a stream with others concurrent
// streams, while its engine does no prefill.
func (f *Parameters) IntervalMillis(others int) float64 {
	return f.interval.base + f.interval.slope*float64(max(0, others))
}

// DecodeMillis returns the time to decode the given number of tokens.
func (f *Parameters) DecodeMillis(tokens int) float64 { return float64(tokens) * f.millisPerToken }

// Events returns the number of events for the given number of tokens; 0 if no complete
// stream has been observed yet.
func (f *Parameters) Events(tokens int) float64 { return float64(tokens) * f.eventsPerToken }

// LongResponseTokens returns the length that only the longest of the long responses exceed,
// in tokens; 0 if none was requested yet.
func (f *Parameters) LongResponseTokens() float64 { return f.longTokens }

// LongResponseMillis returns the mean time that callers allow for long responses, in
// milliseconds.
func (f *Parameters) LongResponseMillis() float64 { return f.longMillis }

// MaxConcurrent returns with how many concurrent streams the interval between events stays
// within the given milliseconds, without prefill; infinity if streams don't slow each
// other.
func (f *Parameters) MaxConcurrent(interval float64) float64 {
	if interval < f.interval.base {
		return 0
	}
	if f.interval.slope <= 0 {
		return math.Inf(1)
	}
	return (interval - f.interval.base) / f.interval.slope
}

// TypicalPrefillMillis returns the smoothed prefill time of a prompt.
func (f *Parameters) TypicalPrefillMillis() float64 { return f.typicalPrefill }
