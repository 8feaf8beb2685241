package rolepolicy

import (
	"math"
	"time"
)

// poolDemand is the demand on one pool, summed over entries and models.
type poolDemand struct {
	Rates
	requests float64
	// age is the age of the oldest value, in seconds.
	age float64
}

// entryExpiryAges is the silence, in multiples of the maximum age, after which an
// entry counts as removed. Otherwise replaced entries would eventually outnumber
// those that report, and the demand would never count as fresh again.
const entryExpiryAges = 6

// sumDemand adds up the demand that the entries measured for a pool's models. Values
// older than maxAge are excluded; fresh is the share of the entries with a recent
// value.
func sumDemand(p pool, demand []Demand, now time.Time, maxAge time.Duration) (t poolDemand, fresh float64) {
	serves := make(map[string]bool, len(p.models))
	for _, m := range p.models {
		serves[m] = true
	}
	all := map[string]bool{}
	recent := map[string]bool{}
	for _, d := range demand {
		age := now.Sub(d.At)
		if !serves[d.Model] || (maxAge > 0 && age > entryExpiryAges*maxAge) {
			continue
		}
		all[d.Entry] = true
		if maxAge > 0 && age > maxAge {
			continue
		}
		recent[d.Entry] = true
		t.age = max(t.age, age.Seconds())
		t.Prefill += d.PromptPerSec
		t.Decode += d.OutputPerSec
		t.requests += d.RequestsPerSec
	}
	if len(all) == 0 {
		return poolDemand{}, 0
	}
	return t, float64(len(recent)) / float64(len(all))
}

// history smooths a pool's demand: a level and a trend for each kind of work, and
// the mean deviation of single values from the level.
type history struct {
	last             time.Time
	level            poolDemand
	trend            Rates
	prefillDeviation float64 // mean relative deviation from the level
	decodeDeviation  float64
	interval         float64 // mean seconds between two values
	first            time.Time
	regime           regime
	missed           missedGoodput
}

// The smoothing constants: trendSlower is the ratio of the trend's time constant to
// the level's, trendDamped the share of the trend that the forecast uses.
const (
	trendSlower = 2.0
	trendDamped = 0.5
	// priorDeviation is the deviation assumed initially.
	priorDeviation = 0.25
	// warmUp is the number of time constants until the level is used.
	warmUp = 3
	// maxDeviation bounds the deviation of one value, so that a step in demand
	// doesn't count as noise.
	maxDeviation = 0.5
)

// add records a value. The level's time constant is tau seconds, or two intervals
// between values if that is longer.
func (h *history) add(v poolDemand, now time.Time, tau float64) {
	if h.last.IsZero() {
		h.first, h.last, h.level = now, now, v
		h.prefillDeviation, h.decodeDeviation = priorDeviation, priorDeviation
		return
	}
	dt := now.Sub(h.last).Seconds()
	if dt <= 0 {
		return
	}
	h.last = now
	if h.interval == 0 {
		h.interval = dt
	}
	h.interval += 0.1 * (dt - h.interval)
	tau = max(tau, 2*h.interval)
	a := 1 - math.Exp(-dt/tau)
	b := 1 - math.Exp(-dt/(tau*trendSlower))
	slow := 1 - math.Exp(-dt/(tau*10))
	h.prefillDeviation += slow * (deviation(v.Prefill, h.level.Prefill) - h.prefillDeviation)
	h.decodeDeviation += slow * (deviation(v.Decode, h.level.Decode) - h.decodeDeviation)
	before := h.level
	h.level.age = v.age
	h.level.Prefill += a * (v.Prefill - h.level.Prefill)
	h.level.Decode += a * (v.Decode - h.level.Decode)
	h.level.requests += a * (v.requests - h.level.requests)
	h.trend.Prefill += b * ((h.level.Prefill-before.Prefill)/dt - h.trend.Prefill)
	h.trend.Decode += b * ((h.level.Decode-before.Decode)/dt - h.trend.Decode)
}

func deviation(v, level float64) float64 {
	if level <= 0 {
		return 0
	}
	return min(maxDeviation, math.Abs(v-level)/level)
}

// settled reports whether there are enough values to act on. Otherwise the first
// noisy values of a new leader would change roles in a steady mix.
func (h *history) settled(tau float64) bool {
	return h.last.Sub(h.first).Seconds() >= warmUp*max(tau, 2*h.interval)
}

// forecast returns the demand expected in ahead seconds from now. The trend is
// followed for longer, by the age of the values that the level comes from.
func (h *history) forecast(ahead float64) poolDemand {
	f := h.level
	ahead += f.age
	f.Prefill = extrapolate(f.Prefill, ahead*h.trend.Prefill)
	f.Decode = extrapolate(f.Decode, ahead*h.trend.Decode)
	return f
}

// extrapolate adds a damped trend to a level, limited to half of the level: beyond
// that the steep edge of a shift would be mistaken for the next mix.
func extrapolate(level, change float64) float64 {
	return min(1.5*level, max(0.5*level, level+trendDamped*change))
}

// uncertainty is the assumed relative error of the level's ratio of prompt to output.
func (h *history) uncertainty() float64 {
	return min(0.3, max(0.05, 0.6*(h.prefillDeviation+h.decodeDeviation)/2))
}

// regime measures how long the mix stays on one side: more prefill than decode
// work, relative to capacity, or less.
type regime struct {
	side  int
	since time.Time
	mean  float64 // seconds; starts with Config.Horizon
}

// regimeBand is the ratio by which one side must exceed the other for a new regime,
// regimeNewest the weight of the newest regime in the mean.
const (
	regimeBand   = 1.25
	regimeNewest = 0.3
)

// add records the ratio of prefill work to decode work; 1 is balanced.
func (r *regime) add(ratio float64, now time.Time) {
	side := r.side
	switch {
	case ratio > regimeBand:
		side = 1
	case ratio < 1/regimeBand:
		side = -1
	}
	if r.since.IsZero() {
		r.side, r.since = side, now
		return
	}
	if side == r.side {
		return
	}
	if r.side != 0 {
		r.mean += regimeNewest * (now.Sub(r.since).Seconds() - r.mean)
	}
	r.side, r.since = side, now
}

// remaining is how many more seconds the present mix is expected to last: the rest
// of the mean length, but at least half of it, as the age of a mix that has
// outlasted the mean doesn't predict its end.
func (r *regime) remaining(now time.Time) float64 {
	age := 0.0
	if !r.since.IsZero() {
		age = now.Sub(r.since).Seconds()
	}
	return max(r.mean/2, r.mean-age)
}

// missedGoodput accumulates the goodput missed by not changing, in requests. It is
// reset as soon as no change would be worth its cost, so that noisy values don't
// add up but a lasting shift does.
type missedGoodput struct {
	sum  float64
	last time.Time
}

func (m *missedGoodput) add(rate float64, now time.Time) {
	dt := now.Sub(m.last).Seconds()
	if rate <= 0 || m.last.IsZero() {
		m.sum, m.last = 0, now
		return
	}
	m.sum += rate * dt
	m.last = now
}
