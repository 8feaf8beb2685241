package router

import (
	"slices"
	"time"

	"tamarackchute/outlier"
)

// attemptHistory is an upstream's history of attempts from this process.
type attemptHistory struct {
	// answers tells whether the upstream still answers some requests.
	answers      outlier.History
	attempts     int // since the start or the last recovery
	consecutive  int // failures in a row
	ejections    int // without a long healthy period between; sets the next one's length
	probesPassed int // probes in a row that succeeded
	lastEjected  time.Time
}

// failureStep is the weight of one attempt in the failure rate.
const failureStep = 0.1

// recordOutcome updates the upstream's history with an attempt's outcome. A
// failing upstream looks idle because it loses its work, so failures eject it. It
// recovers through single probes, and ejections lengthen, so that an upstream that
// keeps failing costs one request at a time and ever more rarely.
func (ut *upstreamTracker) recordOutcome(o Outcome, began, now time.Time) {
	switch o {
	case OutcomeCancelled:
	case OutcomeOK:
		ut.recordSuccess(began, now)
	default:
		ut.recordFailure(o, began, now)
	}
}

// recordPrefillSuccess records a completed prefill as a success that began now.
func (ut *upstreamTracker) recordPrefillSuccess(now time.Time) { ut.recordSuccess(now, now) }

func (ut *upstreamTracker) recordSuccess(began, now time.Time) {
	ut.mu.Lock()
	defer ut.mu.Unlock()
	l := &ut.node.live
	ut.history.answers.Succeed()
	l.silent.Store(false)
	ut.history.consecutive = 0
	ut.history.attempts++
	l.failureRate.store(l.failureRate.load() * (1 - failureStep))
	if ut.node.healthAt(now) == probing && began.UnixNano() >= l.ejectedUntil.Load() {
		ut.passProbe()
		return
	}
	ut.ejectIfSlow(now)
}

// passProbe counts a successful probe and restores the upstream after the last.
func (ut *upstreamTracker) passProbe() {
	l := &ut.node.live
	ut.history.probesPassed++
	l.health.Store(uint32(probing))
	if ut.history.probesPassed < ut.t.cfg.Outlier.SuccessfulProbes {
		return
	}
	ut.readmit()
}

// readmit restores an upstream that was ejected.
func (ut *upstreamTracker) readmit() {
	l := &ut.node.live
	l.health.Store(uint32(healthy))
	l.failureRate.store(0)
	l.latencyFactor.store(1)
	l.prefillFactor.store(1)
	l.gapFactor.store(1)
	ut.history = attemptHistory{answers: ut.history.answers, ejections: ut.history.ejections, lastEjected: ut.history.lastEjected}
}

func (ut *upstreamTracker) recordFailure(o Outcome, began, now time.Time) {
	ut.mu.Lock()
	defer ut.mu.Unlock()
	l := &ut.node.live
	h := &ut.history
	h.answers.Fail()
	l.silent.Store(!h.answers.Answers())
	h.consecutive++
	h.attempts++
	l.failureRate.store(l.failureRate.load() + failureStep*(1-l.failureRate.load()))
	cfg := &ut.t.cfg.Outlier
	switch ut.node.healthAt(now) {
	case ejected:
		return
	case probing:
		// Requests that began before the ejection say nothing about the recovery.
		if began.UnixNano() >= l.ejectedUntil.Load() && !ut.ejectIfAllowed(o, now) {
			ut.readmit()
		}
		return
	}
	tooMany := h.attempts >= cfg.MinAttempts && l.failureRate.load() > cfg.MaxFailureRate
	if h.consecutive >= cfg.ConsecutiveFailures || tooMany || isUnreachable(o) {
		ut.ejectIfAllowed(o, now)
	}
}

// isUnreachable reports whether an outcome means that the upstream can't be
// reached. One such failure ejects: an early probe costs little.
func isUnreachable(o Outcome) bool { return o == OutcomeNotSent || o == OutcomeBroken }

// ejectIfSlow ejects an upstream that is far slower than the rest of its pool.
func (ut *upstreamTracker) ejectIfSlow(now time.Time) {
	factor := ut.latencyFactor()
	if factor < ut.t.cfg.Outlier.SlowFactor || ut.history.attempts < ut.t.cfg.Outlier.MinAttempts {
		return
	}
	if ut.node.healthAt(now) != healthy || factor < ut.t.cfg.Outlier.SlowFactor*ut.medianLatencyFactor() {
		return
	}
	ut.ejectIfAllowed(OutcomeTimeout, now)
}

// latencyFactor is the ratio of observed to predicted time.
func (ut *upstreamTracker) latencyFactor() float64 {
	return max(ut.node.live.latencyFactor.load(), ut.node.live.gapFactor.load())
}

// medianLatencyFactor is the median over the pool's other upstreams.
func (ut *upstreamTracker) medianLatencyFactor() float64 {
	pool := ut.node.state.Load().Pool
	var all []float64
	for _, o := range ut.t.all {
		if o != ut && o.node.state.Load().Pool == pool {
			all = append(all, o.latencyFactor())
		}
	}
	if len(all) == 0 {
		return ut.latencyFactor()
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// ejectIfAllowed ejects unless too much of the pool is ejected already: if all
// fail alike, the cause lies elsewhere. Unreachable upstreams are always ejected.
func (ut *upstreamTracker) ejectIfAllowed(o Outcome, now time.Time) bool {
	allowed := ut.isGone(o) || ut.ejectedShare(now) < ut.t.cfg.Outlier.MaxEjectedFraction
	if allowed {
		ut.eject(o, now)
	}
	return allowed
}

// isGone reports whether a failure means that the upstream can't be reached at all: a
// broken connection of one that often breaks them and answers between doesn't.
func (ut *upstreamTracker) isGone(o Outcome) bool {
	return isUnreachable(o) && !ut.history.answers.Answers()
}

// ejectedShare is the fraction of the pool that would be ejected with one more,
// not counting unreachable upstreams.
func (ut *upstreamTracker) ejectedShare(now time.Time) float64 {
	pool := ut.node.state.Load().Pool
	out, all := 0, 0
	for _, o := range ut.t.all {
		if o.node.state.Load().Pool != pool {
			continue
		}
		all++
		if o != ut && o.node.healthAt(now) == ejected && !o.node.live.unreachable.Load() {
			out++
		}
	}
	if out == 0 {
		return 0 // the first may always be ejected, even from a pool of two
	}
	return float64(out+1) / float64(all)
}

// eject ejects the upstream for a time that doubles with each ejection in a row. A
// period of four times MaxEjectionTime without one resets it.
func (ut *upstreamTracker) eject(o Outcome, now time.Time) {
	cfg := &ut.t.cfg.Outlier
	h := &ut.history
	if now.Sub(h.lastEjected) > 4*cfg.MaxEjectionTime {
		h.ejections = 0
	}
	longest := cfg.MaxEjectionTime
	gone := ut.isGone(o)
	if gone {
		longest = cfg.MaxEjectionTimeUnreachable
	}
	duration := min(longest, cfg.BaseEjectionTime<<min(h.ejections, 16))
	h.ejections++
	h.probesPassed = 0
	h.lastEjected = now
	l := &ut.node.live
	l.unreachable.Store(gone)
	l.ejectedUntil.Store(now.Add(duration).UnixNano())
	l.health.Store(uint32(ejected))
	if gone {
		ut.t.cache.invalidate(ut.node.id, now)
	}
}

// endEjectionOnReport ends the ejection of an unreachable upstream that has sent a
// report measured since. It is probed then.
func (ut *upstreamTracker) endEjectionOnReport(measured time.Time) {
	l := &ut.node.live
	if !l.unreachable.Load() || health(l.health.Load()) != ejected || !measured.After(ut.history.lastEjected) {
		return
	}
	l.ejectedUntil.Store(min(l.ejectedUntil.Load(), measured.UnixNano()))
}
