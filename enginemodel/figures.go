package enginemodel

import (
	"math"

	"tamarackchute/upstream"
)

// Figures are what is known of the engines of a pool at one moment. All times are in
// milliseconds.
type Parameters struct {
	prefill, decode reading
	takeover        handoff
	interval        line
	known           map[upstream.Role]bool
	output, events  float64
	typical         float64
	longest, left   float64
}

// reading is what an engine takes for a prompt: to begin, for each token, and for each
// million pairs of tokens.
type reading struct{ start, token, pair float64 }

func readingOf(f *fit) reading { return reading{start: f.coef[0], token: f.coef[1], pair: f.coef[2]} }

// times returns a reading that takes so many times as long, but for its start.
func (r reading) times(n float64) reading {
	return reading{start: r.start, token: n * r.token, pair: n * r.pair}
}

// handoff is a base, the move of a thousand tokens, and the share of the reading
// before it that it has to wait for.
type handoff struct{ base, move, queue float64 }

func handoffOf(f *fit) handoff { return handoff{base: f.coef[0], move: f.coef[1], queue: f.coef[2]} }

// line is a time that grows with one figure.
type line struct{ base, slope float64 }

func lineOf(f *fit) line { return line{base: f.coef[0], slope: f.coef[1]} }

func (f *Parameters) of(role upstream.Role) reading {
	switch role {
	case upstream.RolePrefill:
		return f.prefill
	case upstream.RoleDecode:
		return f.decode
	default:
		return reading{}
	}
}

// Reading returns how long an engine of a role is busy with a prompt, the time to
// begin left out.
func (f *Parameters) PrefillMillis(role upstream.Role, p Prompt) float64 {
	if p.Tokens <= 0 {
		return 0
	}
	r := f.of(role)
	return r.token*float64(p.Tokens) + r.pair*p.pairs()
}

// Start returns how long an engine takes beside its reading until it answers. It
// doesn't keep the engine from the next prompt.
func (f *Parameters) StartMillis(role upstream.Role) float64 { return f.of(role).start }

// Common returns the time of reading a prompt averaged over the roles: what it costs
// the pool, whichever engine does it.
func (f *Parameters) MeanPrefillMillis(p Prompt) float64 {
	return (f.PrefillMillis(upstream.RolePrefill, p) + f.PrefillMillis(upstream.RoleDecode, p)) / 2
}

// Takeover returns the time from a prompt's having been read at one engine to the
// first event of another, before which some reading waits.
func (f *Parameters) HandoffMillis(tokens int, queue float64) float64 {
	return f.takeover.base + f.takeover.move*float64(tokens)/1000 + f.takeover.queue*queue
}

// Coefficients returns the figures as operators read them: of a prompt the time to
// begin, that for each token and for each million pairs; of a takeover the base, that
// for each thousand tokens and for each millisecond of reading before it; of the
// interval the base and that for each other stream. All are in milliseconds, but for the
// events that come for a token and the tokens of the longest answers, behind which the time
// that callers give them stands.
func (f *Parameters) Coefficients() map[string][]float64 {
	return map[string][]float64{
		"prefill":  {f.prefill.start, f.prefill.token, f.prefill.pair},
		"decode":   {f.decode.start, f.decode.token, f.decode.pair},
		"takeover": {f.takeover.base, f.takeover.move, f.takeover.queue},
		"interval": {f.interval.base, f.interval.slope},
		"output":   {f.output},
		"events":   {f.events},
		"answers":  {f.longest, f.left},
		"typical":  {f.typical},
	}
}

// Known reports whether a reading of an engine of a role has been seen. Until then
// nothing can be said of the next one.
func (f *Parameters) Known(role upstream.Role) bool { return f.known[role] }

// Interval returns the time between two events of a stream beside others, while its
// engine reads no prompt.
func (f *Parameters) IntervalMillis(others int) float64 {
	return f.interval.base + f.interval.slope*float64(max(0, others))
}

// Generation returns the time of generating some tokens.
func (f *Parameters) DecodeMillis(tokens int) float64 { return float64(tokens) * f.output }

// Events returns the number of events in which some tokens come; 0 if no stream was seen
// whole yet.
func (f *Parameters) Events(tokens int) float64 { return float64(tokens) * f.events }

// LongestAnswer returns the length that only the longest of the long answers exceed, in
// tokens; 0 if none was asked for yet.
func (f *Parameters) LongResponseTokens() float64 { return f.longest }

// AnswerTime returns the mean time that callers give their long answers, in milliseconds.
func (f *Parameters) LongResponseMillis() float64 { return f.left }

// MostBeside returns beside how many other streams events come within some milliseconds of
// each other, if the engine reads no prompt; infinitely many if other streams don't matter.
func (f *Parameters) MaxConcurrent(interval float64) float64 {
	if interval < f.interval.base {
		return 0
	}
	if f.interval.slope <= 0 {
		return math.Inf(1)
	}
	return (interval - f.interval.base) / f.interval.slope
}

// TypicalReading returns the smoothed time of reading a prompt.
func (f *Parameters) TypicalPrefillMillis() float64 { return f.typical }
