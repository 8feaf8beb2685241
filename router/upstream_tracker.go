package router

import (
	"sync"
	"time"

	"tamarackchute/upstream"
)

// workDelta is the change in an upstream's work made by one or more events.
type workDelta struct {
	at                   time.Time
	requests, prompt, kv int64
}

// Bounds on the deltas kept for correcting reports. Deltas less than
// deltaGranularity apart are merged; at maxDeltas the two oldest are.
const (
	deltaGranularity = 20 * time.Millisecond
	maxDeltas        = 256
)

// upstreamTracker tracks this process's work at one upstream. A load report shows
// the work at its time of measurement, perhaps seconds ago: it lacks what began
// here since and still includes what ended since. The sum of the deltas since
// that time corrects it.
type upstreamTracker struct {
	t    *Tracker
	node *node

	mu      sync.Mutex
	deltas  []workDelta
	history attemptHistory
}

func newUpstreamTracker(t *Tracker, n *node) *upstreamTracker { return &upstreamTracker{t: t, node: n} }

// record records a change of the work and applies it to the live counters.
func (ut *upstreamTracker) record(at time.Time, requests, prompt, kv int) {
	ut.mu.Lock()
	defer ut.mu.Unlock()
	d := workDelta{at, int64(requests), int64(prompt), int64(kv)}
	l := &ut.node.live
	l.deltaRequests.Add(d.requests)
	l.deltaPrompt.Add(d.prompt)
	l.deltaKV.Add(d.kv)
	l.inFlight.Add(d.requests)
	l.localPrompt.Add(d.prompt)
	l.localKV.Add(d.kv)
	last := len(ut.deltas) - 1
	if last >= 0 && d.at.Sub(ut.deltas[last].at) < deltaGranularity {
		ut.deltas[last].merge(d)
		return
	}
	if len(ut.deltas) == maxDeltas {
		ut.deltas[1].merge(ut.deltas[0])
		ut.deltas = append(ut.deltas[:0], ut.deltas[1:]...)
	}
	ut.deltas = append(ut.deltas, d)
}

func (d *workDelta) merge(o workDelta) {
	d.requests += o.requests
	d.prompt += o.prompt
	d.kv += o.kv
}

// setReport applies a load report and reports whether a new snapshot is needed.
func (ut *upstreamTracker) setReport(r upstream.LoadReport, received time.Time) bool {
	measured := received.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	ut.mu.Lock()
	defer ut.mu.Unlock()
	old := ut.node.state.Load()
	if !old.ReportAt.IsZero() && measured.Before(old.ReportAt) {
		return false
	}
	ut.discardReported(measured)
	u := *old
	u.Report = r
	u.ReportAt = measured
	rebuild := false
	if r.Role != "" && r.Role != u.Role && r.InService {
		u.Role = r.Role
		rebuild = true
	}
	ut.node.state.Store(&u)
	if p := ut.node.averages.Load(); p != nil {
		age := received.Sub(measured)
		p.observe(remoteWorkAt(&u, &ut.node.live), len(ut.t.all), reportWeight(age, ut.t.cfg.StaleAfter))
	}
	if r.InService {
		ut.endEjectionOnReport(measured)
	}
	return rebuild
}

// discardReported drops the deltas that a report measured at a time includes.
func (ut *upstreamTracker) discardReported(measured time.Time) {
	keep := 0
	for keep < len(ut.deltas) && !ut.deltas[keep].at.After(measured) {
		keep++
	}
	ut.deltas = append(ut.deltas[:0], ut.deltas[keep:]...)
	var sum workDelta
	for _, d := range ut.deltas {
		sum.merge(d)
	}
	l := &ut.node.live
	l.deltaRequests.Store(sum.requests)
	l.deltaPrompt.Store(sum.prompt)
	l.deltaKV.Store(sum.kv)
}

// updateState replaces the upstream's state by a modified copy.
func (ut *upstreamTracker) updateState(f func(*Upstream)) {
	ut.mu.Lock()
	defer ut.mu.Unlock()
	u := *ut.node.state.Load()
	f(&u)
	ut.node.state.Store(&u)
}

// setRole sets the role and reports whether it changed.
func (ut *upstreamTracker) setRole(role upstream.Role) bool {
	isNew := false
	ut.updateState(func(u *Upstream) {
		isNew = u.Role != role
		u.Role = role
	})
	return isNew
}
