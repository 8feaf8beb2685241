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

func (p *Parameters) of(role upstream.Role) prefillCost {
	switch role {
	case upstream.RolePrefill:
		return p.prefill
	case upstream.RoleDecode:
		return p.decode
	default:
		return prefillCost{}
	}
}

// PrefillMillis returns how long a prefill occupies an engine of a role, without
// StartMillis.
func (p *Parameters) PrefillMillis(role upstream.Role, prompt Prompt) float64 {
	if prompt.Tokens <= 0 {
		return 0
	}
	cost := p.of(role)
	return cost.token*float64(prompt.Tokens) + cost.pair*prompt.pairs()
}

// StartMillis returns the time besides the prefill until the engine responds. It doesn't
// delay the next prefill.
func (p *Parameters) StartMillis(role upstream.Role) float64 { return p.of(role).start }

// MeanPrefillMillis returns the prefill time averaged over the roles: the cost to the pool,
// whichever engine does it.
func (p *Parameters) MeanPrefillMillis(prompt Prompt) float64 {
	return (p.PrefillMillis(upstream.RolePrefill, prompt) + p.PrefillMillis(upstream.RoleDecode, prompt)) / 2
}

// HandoffMillis returns the time from the end of a prefill on one engine to the first event
// of another one, on which queue milliseconds of prefill work are pending.
func (p *Parameters) HandoffMillis(tokens int, queue float64) float64 {
	return p.handoff.base + p.handoff.transfer*float64(tokens)/1000 + p.handoff.queue*queue
}

// Coefficients returns the parameters for display, in milliseconds. "prefill" and "decode"
// are prefills by role: constant, per token, per million pairs; "takeover" is a handoff:
// constant, per thousand tokens, per queued millisecond; "interval": alone, per other stream.
// "events" is a number per token, "answers" are LongResponseTokens and LongResponseMillis.
func (p *Parameters) Coefficients() map[string][]float64 {
	return map[string][]float64{
		"prefill":  {p.prefill.start, p.prefill.token, p.prefill.pair},
		"decode":   {p.decode.start, p.decode.token, p.decode.pair},
		"takeover": {p.handoff.base, p.handoff.transfer, p.handoff.queue},
		"interval": {p.interval.base, p.interval.slope},
		"output":   {p.millisPerToken},
		"events":   {p.eventsPerToken},
		"answers":  {p.longTokens, p.longMillis},
		"typical":  {p.typicalPrefill},
	}
}

// Known reports whether a prefill by an engine of a role has been observed. Until then its
// predictions are mere assumptions.
func (p *Parameters) Known(role upstream.Role) bool { return p.known[role] }

// IntervalMillis returns the time between two events of a stream with others concurrent
// streams, while its engine does no prefill.
func (p *Parameters) IntervalMillis(others int) float64 {
	return p.interval.base + p.interval.slope*float64(max(0, others))
}

// DecodeMillis returns the time to decode the given number of tokens.
func (p *Parameters) DecodeMillis(tokens int) float64 { return float64(tokens) * p.millisPerToken }

// Events returns the number of events for the given number of tokens; 0 if no complete
// stream has been observed yet.
func (p *Parameters) Events(tokens int) float64 { return float64(tokens) * p.eventsPerToken }

// LongResponseTokens returns the length that only the longest of the long responses exceed,
// in tokens; 0 if none was requested yet.
func (p *Parameters) LongResponseTokens() float64 { return p.longTokens }

// LongResponseMillis returns the mean time that callers allow for long responses, in
// milliseconds.
func (p *Parameters) LongResponseMillis() float64 { return p.longMillis }

// MaxConcurrent returns with how many concurrent streams the interval between events stays
// within the given milliseconds, without prefill; infinity if streams don't slow each
// other.
func (p *Parameters) MaxConcurrent(interval float64) float64 {
	if interval < p.interval.base {
		return 0
	}
	if p.interval.slope <= 0 {
		return math.Inf(1)
	}
	return (interval - p.interval.base) / p.interval.slope
}

// TypicalPrefillMillis returns the smoothed prefill time of a prompt.
func (p *Parameters) TypicalPrefillMillis() float64 { return p.typicalPrefill }
