package router

import (
	"slices"
	"time"
)

// record is an upstream's own history of attempts.
type attemptHistory struct {
	attempts     int // up to MinAttempts, then enough
	consecutive  int // failures in a row
	ejections    int // in a row; sets the length of the next
	trialsPassed int // trials in a row that succeeded
	lastEjected  time.Time
}

// failureStep is the weight of one attempt in the failure rate.
const failureStep = 0.1

// outcome takes an attempt's end into the upstream's record.
//
// A slow or failing upstream shows as requests that take long and then fail,
// again and again, as it looks idle for having lost its work. Its own record
// takes it out; it comes back by single trials, so that one that is still
// sick costs one request at a time, and holds grow, so that it costs less often.
func (b *upstreamTracker) recordOutcome(o Outcome, began, now time.Time) {
	switch o {
	case OutcomeCancelled:
	case OutcomeOK:
		b.recordSuccess(began, now)
	default:
		b.recordFailure(o, began, now)
	}
}

// succeeded counts a success of a step that began at an unknown time.
func (b *upstreamTracker) recordPrefillSuccess(now time.Time) { b.recordSuccess(now, now) }

func (b *upstreamTracker) recordSuccess(began, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.node.live
	b.history.consecutive = 0
	b.history.attempts++
	l.failureRate.store(l.failureRate.load() * (1 - failureStep))
	if b.node.healthAt(now) == trial && began.UnixNano() >= l.ejectedUntil.Load() {
		b.passTrial()
		return
	}
	b.ejectIfSlow(now)
}

// passTrial counts a trial that went well.
func (b *upstreamTracker) passTrial() {
	l := &b.node.live
	b.history.trialsPassed++
	l.health.Store(uint32(trial))
	if b.history.trialsPassed < b.t.cfg.Outlier.SuccessfulTrials {
		return
	}
	l.health.Store(uint32(healthy))
	l.failureRate.store(0)
	l.latencyFactor.store(1)
	l.prefillFactor.store(1)
	l.gapFactor.store(1)
	b.history = attemptHistory{ejections: b.history.ejections, lastEjected: b.history.lastEjected}
}

func (b *upstreamTracker) recordFailure(o Outcome, began, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.node.live
	r := &b.history
	r.consecutive++
	r.attempts++
	l.failureRate.store(l.failureRate.load() + failureStep*(1-l.failureRate.load()))
	cfg := &b.t.cfg.Outlier
	switch b.node.healthAt(now) {
	case ejected:
		return
	case trial:
		// A failure of a request that began before the ejection is old news.
		if began.UnixNano() >= l.ejectedUntil.Load() {
			b.eject(o, now)
		}
		return
	}
	tooMany := r.attempts >= cfg.MinAttempts && l.failureRate.load() > cfg.MaxFailureRate
	if r.consecutive >= cfg.ConsecutiveFailures || tooMany || isUnreachable(o) {
		b.ejectIfAllowed(o, now)
	}
}

// dies reports whether an outcome says that the upstream isn't there at all,
// for which one failure is enough: it costs little to try again soon.
func isUnreachable(o Outcome) bool { return o == OutcomeNotSent || o == OutcomeBroken }

// ejectIfSlow ejects an upstream that is far slower than the rest of its pool.
func (b *upstreamTracker) ejectIfSlow(now time.Time) {
	factor := b.latencyFactor()
	if factor < b.t.cfg.Outlier.SlowFactor || b.history.attempts < b.t.cfg.Outlier.MinAttempts {
		return
	}
	if b.node.healthAt(now) != healthy || factor < b.t.cfg.Outlier.SlowFactor*b.medianLatencyFactor() {
		return
	}
	b.ejectIfAllowed(OutcomeTimeout, now)
}

// slowness is how much longer than predicted an upstream takes.
func (b *upstreamTracker) latencyFactor() float64 {
	return max(b.node.live.latencyFactor.load(), b.node.live.gapFactor.load())
}

// usualSlowness is the median of the pool's other upstreams.
func (b *upstreamTracker) medianLatencyFactor() float64 {
	pool := b.node.state.Load().Pool
	var all []float64
	for _, o := range b.t.all {
		if o != b && o.node.state.Load().Pool == pool {
			all = append(all, o.latencyFactor())
		}
	}
	if len(all) == 0 {
		return b.latencyFactor()
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// ejectIfAllowed ejects unless too much of the pool is out already: if all
// fail alike, the cause isn't theirs. Upstreams that can't be reached are out
// whatever their number.
func (b *upstreamTracker) ejectIfAllowed(o Outcome, now time.Time) {
	if isUnreachable(o) || b.ejectedShare(now) < b.t.cfg.Outlier.MaxEjectedFraction {
		b.eject(o, now)
	}
}

// ejectedShare is the share of the pool that would be out with one more, those
// that can't be reached not counted.
func (b *upstreamTracker) ejectedShare(now time.Time) float64 {
	pool := b.node.state.Load().Pool
	out, all := 0, 0
	for _, o := range b.t.all {
		if o.node.state.Load().Pool != pool {
			continue
		}
		all++
		if o != b && o.node.healthAt(now) == ejected && !o.node.live.unreachable.Load() {
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
func (b *upstreamTracker) eject(o Outcome, now time.Time) {
	cfg := &b.t.cfg.Outlier
	r := &b.history
	if now.Sub(r.lastEjected) > 4*cfg.MaxEjectionTime {
		r.ejections = 0
	}
	most := cfg.MaxEjectionTime
	if isUnreachable(o) {
		most = cfg.MaxEjectionTimeUnreachable
	}
	hold := min(most, cfg.BaseEjectionTime<<min(r.ejections, 16))
	r.ejections++
	r.trialsPassed = 0
	r.lastEjected = now
	l := &b.node.live
	l.unreachable.Store(isUnreachable(o))
	l.ejectedUntil.Store(now.Add(hold).UnixNano())
	l.health.Store(uint32(ejected))
	if isUnreachable(o) {
		b.t.cache.invalidate(b.node.id, now)
	}
}

// reached ends the hold of an upstream that was out of reach and has sent a
// report measured since. It comes back on trial.
func (b *upstreamTracker) endEjectionOnReport(measured time.Time) {
	l := &b.node.live
	if !l.unreachable.Load() || health(l.health.Load()) != ejected || !measured.After(b.history.lastEjected) {
		return
	}
	l.ejectedUntil.Store(min(l.ejectedUntil.Load(), measured.UnixNano()))
}
