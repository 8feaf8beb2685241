package rolepolicy

import (
	"math"
	"time"
)

// total is the demand on one pool, summed over entries and models.
type total struct {
	Rates
	requests float64
	// age is how old the oldest part is, in seconds.
	age float64
}

// goneAges is how many times the oldest age acted on an entry is silent until
// it counts as gone. Else the entries that were replaced over the weeks would
// one day outnumber those that report, and the picture never be fresh again.
const goneAges = 6

// sum adds up what the entries saw of a pool's models. Values older than
// maxAge are left out; fresh is the share of the entries that are recent.
func sum(p pool, demand []Demand, now time.Time, maxAge time.Duration) (t total, fresh float64) {
	serves := make(map[string]bool, len(p.models))
	for _, m := range p.models {
		serves[m] = true
	}
	all := map[string]bool{}
	recent := map[string]bool{}
	for _, d := range demand {
		age := now.Sub(d.At)
		if !serves[d.Model] || (maxAge > 0 && age > goneAges*maxAge) {
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
		return total{}, 0
	}
	return t, float64(len(recent)) / float64(len(all))
}

// history smooths a pool's demand: a level and a trend per kind of work, and
// how far single values stray from the level.
type history struct {
	last     time.Time
	level    total
	trend    Rates
	strayP   float64 // mean relative distance of a value from the level
	strayD   float64
	interval float64 // mean seconds between two values
	first    time.Time
	regime   regime
	missed   missed
}

// The smoothing constants: trendSlower says how much slower the trend follows
// than the level, trendDamped how
// much of the trend the forecast uses.
const (
	trendSlower = 2.0
	trendDamped = 0.5
	// strayPrior is assumed of the values until they have shown their own.
	strayPrior = 0.25
	// warmUp is how many time constants pass before the level counts.
	warmUp = 3
	// maxStray bounds the uncertainty in one step, so that a step of demand
	// isn't taken for noise.
	maxStray = 0.5
)

// add takes in a value. The level's time constant is tau seconds, or two
// intervals if values come more rarely than that.
func (h *history) add(v total, now time.Time, tau float64) {
	if h.last.IsZero() {
		h.first, h.last, h.level = now, now, v
		h.strayP, h.strayD = strayPrior, strayPrior
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
	h.strayP += slow * (stray(v.Prefill, h.level.Prefill) - h.strayP)
	h.strayD += slow * (stray(v.Decode, h.level.Decode) - h.strayD)
	before := h.level
	h.level.age = v.age
	h.level.Prefill += a * (v.Prefill - h.level.Prefill)
	h.level.Decode += a * (v.Decode - h.level.Decode)
	h.level.requests += a * (v.requests - h.level.requests)
	h.trend.Prefill += b * ((h.level.Prefill-before.Prefill)/dt - h.trend.Prefill)
	h.trend.Decode += b * ((h.level.Decode-before.Decode)/dt - h.trend.Decode)
}

func stray(v, level float64) float64 {
	if level <= 0 {
		return 0
	}
	return min(maxStray, math.Abs(v-level)/level)
}

// settled is whether enough values have come in to act on. Without it, the
// first noisy values of a new leader would change roles in a steady mix.
func (h *history) settled(tau float64) bool {
	return h.last.Sub(h.first).Seconds() >= warmUp*max(tau, 2*h.interval)
}

// forecast is the demand expected some seconds ahead of now.
func (h *history) forecast(ahead float64) total {
	f := h.level
	ahead += f.age
	f.Prefill = followed(f.Prefill, ahead*h.trend.Prefill)
	f.Decode = followed(f.Decode, ahead*h.trend.Decode)
	return f
}

// followed follows a trend from a level, by half of the level at most: beyond
// that a shift's steep flank would be taken for the next mix.
func followed(level, change float64) float64 {
	return min(1.5*level, max(0.5*level, level+trendDamped*change))
}

// doubt is how wrong the level's ratio of prompt to output may be.
func (h *history) doubt() float64 {
	return min(0.3, max(0.05, 0.6*(h.strayP+h.strayD)/2))
}

// regime measures how long the mix stays on one side: more prefill work than
// decode work in the capacity's measure, or less.
type regime struct {
	side  int
	since time.Time
	mean  float64 // seconds; begins as a guess
}

// The share by which one side must outweigh the other for a new regime, and
// the weight of the newest regime in the mean.
const (
	regimeBand   = 1.25
	regimeNewest = 0.3
)

// add takes in the ratio of prefill work to decode work, 1 being balanced.
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

// remaining is how many more seconds the present mix is expected to last:
// what is left of the mean length, but at least half of it, for a shift that
// has outlasted the mean tells nothing about its end.
func (r *regime) remaining(now time.Time) float64 {
	age := 0.0
	if !r.since.IsZero() {
		age = now.Sub(r.since).Seconds()
	}
	return max(r.mean/2, r.mean-age)
}

// missed adds up the goodput that was missed by not changing, in requests. It
// falls back to nothing as soon as no change would pay: a noisy value then
// starts from the beginning, a lasting shift gets through.
type missed struct {
	sum  float64
	last time.Time
}

func (m *missed) add(rate float64, now time.Time) {
	dt := now.Sub(m.last).Seconds()
	if rate <= 0 || m.last.IsZero() {
		m.sum, m.last = 0, now
		return
	}
	m.sum += rate * dt
	m.last = now
}
