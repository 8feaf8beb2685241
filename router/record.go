package router

import (
	"slices"
	"time"
)

// record is an upstream's own history of attempts.
type record struct {
	attempts    int // up to MinAttempts, then enough
	consecutive int // failures in a row
	ejections   int // in a row; sets the length of the next
	trialsPast  int // trials in a row that succeeded
	lastEjected time.Time
}

// failureStep is the weight of one attempt in the failure rate.
const failureStep = 0.1

// outcome takes an attempt's end into the upstream's record.
//
// A slow or failing upstream shows as requests that take long and then fail,
// again and again, as it looks idle for having lost its work. Its own record
// takes it out; it comes back by single trials, so that one that is still
// sick costs one request at a time, and holds grow, so that it costs less often.
func (b *book) outcome(o Outcome, began, now time.Time) {
	switch o {
	case OutcomeCancelled:
	case OutcomeOK:
		b.succeededSince(began, now)
	default:
		b.failed(o, began, now)
	}
}

// succeeded counts a success of a step that began at an unknown time.
func (b *book) succeeded(now time.Time) { b.succeededSince(now, now) }

func (b *book) succeededSince(began, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.node.live
	b.record.consecutive = 0
	b.record.attempts++
	l.failureRate.store(l.failureRate.load() * (1 - failureStep))
	if b.node.standing(now) == trial && began.UnixNano() >= l.heldUntil.Load() {
		b.passTrial()
		return
	}
	b.ejectIfSlow(now)
}

// passTrial counts a trial that went well.
func (b *book) passTrial() {
	l := &b.node.live
	b.record.trialsPast++
	l.health.Store(uint32(trial))
	if b.record.trialsPast < b.t.cfg.Outlier.SuccessfulTrials {
		return
	}
	l.health.Store(uint32(healthy))
	l.failureRate.store(0)
	l.slowness.store(1)
	l.prefillFactor.store(1)
	l.gapFactor.store(1)
	b.record = record{ejections: b.record.ejections, lastEjected: b.record.lastEjected}
}

func (b *book) failed(o Outcome, began, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.node.live
	r := &b.record
	r.consecutive++
	r.attempts++
	l.failureRate.store(l.failureRate.load() + failureStep*(1-l.failureRate.load()))
	cfg := &b.t.cfg.Outlier
	switch b.node.standing(now) {
	case ejected:
		return
	case trial:
		// A failure of a request that began before the ejection is old news.
		if began.UnixNano() >= l.heldUntil.Load() {
			b.eject(o, now)
		}
		return
	}
	tooMany := r.attempts >= cfg.MinAttempts && l.failureRate.load() > cfg.MaxFailureRate
	if r.consecutive >= cfg.ConsecutiveFailures || tooMany || dies(o) {
		b.ejectIfAllowed(o, now)
	}
}

// dies reports whether an outcome says that the upstream isn't there at all,
// for which one failure is enough: it costs little to try again soon.
func dies(o Outcome) bool { return o == OutcomeNotSent || o == OutcomeBroken }

// ejectIfSlow ejects an upstream that is far slower than the rest of its pool.
func (b *book) ejectIfSlow(now time.Time) {
	factor := b.slowness()
	if factor < b.t.cfg.Outlier.SlowFactor || b.record.attempts < b.t.cfg.Outlier.MinAttempts {
		return
	}
	if b.node.standing(now) != healthy || factor < b.t.cfg.Outlier.SlowFactor*b.usualSlowness() {
		return
	}
	b.ejectIfAllowed(OutcomeTimeout, now)
}

// slowness is how much longer than predicted an upstream takes.
func (b *book) slowness() float64 {
	return max(b.node.live.slowness.load(), b.node.live.gapFactor.load())
}

// usualSlowness is the median of the pool's other upstreams.
func (b *book) usualSlowness() float64 {
	pool := b.node.state.Load().Pool
	var all []float64
	for _, o := range b.t.order {
		if o != b && o.node.state.Load().Pool == pool {
			all = append(all, o.slowness())
		}
	}
	if len(all) == 0 {
		return b.slowness()
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// ejectIfAllowed ejects unless too much of the pool is out already: if all
// fail alike, the cause isn't theirs. Upstreams that can't be reached are out
// whatever their number.
func (b *book) ejectIfAllowed(o Outcome, now time.Time) {
	if dies(o) || b.ejectedShare(now) < b.t.cfg.Outlier.MaxEjectedFraction {
		b.eject(o, now)
	}
}

// ejectedShare is the share of the pool that would be out with one more, those
// that can't be reached not counted.
func (b *book) ejectedShare(now time.Time) float64 {
	pool := b.node.state.Load().Pool
	out, all := 0, 0
	for _, o := range b.t.order {
		if o.node.state.Load().Pool != pool {
			continue
		}
		all++
		if o != b && o.node.standing(now) == ejected && !o.node.live.dead.Load() {
			out++
		}
	}
	if out == 0 {
		return 0 // the first may always go, also from a pool of two
	}
	return float64(out+1) / float64(all)
}

// eject takes the upstream out for a hold that doubles with each time in a row.
// A long time without trouble starts the holds anew.
func (b *book) eject(o Outcome, now time.Time) {
	cfg := &b.t.cfg.Outlier
	r := &b.record
	if now.Sub(r.lastEjected) > 4*cfg.MaxEjectionTime {
		r.ejections = 0
	}
	most := cfg.MaxEjectionTime
	if dies(o) {
		most = cfg.MaxEjectionTimeUnreachable
	}
	hold := min(most, cfg.BaseEjectionTime<<min(r.ejections, 16))
	r.ejections++
	r.trialsPast = 0
	r.lastEjected = now
	l := &b.node.live
	l.dead.Store(dies(o))
	l.heldUntil.Store(now.Add(hold).UnixNano())
	l.health.Store(uint32(ejected))
	if dies(o) {
		b.t.cache.forget(b.node.id, now)
	}
}

// reached ends the hold of an upstream that was out of reach and has sent a
// report measured since. It comes back on trial.
func (b *book) reached(measured time.Time) {
	l := &b.node.live
	if !l.dead.Load() || health(l.health.Load()) != ejected || !measured.After(b.record.lastEjected) {
		return
	}
	l.heldUntil.Store(min(l.heldUntil.Load(), measured.UnixNano()))
}
