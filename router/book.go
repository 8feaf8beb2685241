package router

import (
	"sync"
	"time"

	"tamarackchute/upstream"
)

// change is what one event added to an upstream's work.
type workDelta struct {
	at                   time.Time
	requests, prompt, kv int64
}

// The bounds of what a book keeps for correcting reports. Changes nearer than
// changeGrain are added together; when the book is full the oldest two are.
const (
	deltaGranularity = 20 * time.Millisecond
	maxDeltas        = 256
)

// book keeps one upstream's own work. A load report shows the work as it stood
// when the engine measured it, perhaps seconds ago: what began here since is
// missing in it and what ended since is still in it. The book keeps the
// changes since the last report's time of measurement; their sum corrects it.
type upstreamTracker struct {
	t    *Tracker
	node *node

	mu      sync.Mutex
	deltas  []workDelta
	history attemptHistory
}

func newUpstreamTracker(t *Tracker, n *node) *upstreamTracker { return &upstreamTracker{t: t, node: n} }

// add notes a change of the work and corrects the live sums by it.
func (b *upstreamTracker) record(at time.Time, requests, prompt, kv int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := workDelta{at, int64(requests), int64(prompt), int64(kv)}
	l := &b.node.live
	l.deltaRequests.Add(c.requests)
	l.deltaPrompt.Add(c.prompt)
	l.deltaKV.Add(c.kv)
	l.inFlight.Add(c.requests)
	l.localPrompt.Add(c.prompt)
	l.localKV.Add(c.kv)
	last := len(b.deltas) - 1
	if last >= 0 && c.at.Sub(b.deltas[last].at) < deltaGranularity {
		b.deltas[last].merge(c)
		return
	}
	if len(b.deltas) == maxDeltas {
		b.deltas[1].merge(b.deltas[0])
		b.deltas = append(b.deltas[:0], b.deltas[1:]...)
	}
	b.deltas = append(b.deltas, c)
}

func (c *workDelta) merge(o workDelta) {
	c.requests += o.requests
	c.prompt += o.prompt
	c.kv += o.kv
}

// setReport takes a report and reports whether a new snapshot is needed.
func (b *upstreamTracker) setReport(r upstream.LoadReport, received time.Time) bool {
	measured := received.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.node.state.Load()
	if !old.ReportAt.IsZero() && measured.Before(old.ReportAt) {
		return false
	}
	b.discardReported(measured)
	u := *old
	u.Report = r
	u.ReportAt = measured
	rebuild := false
	if r.Role != "" && r.Role != u.Role && r.InService {
		u.Role = r.Role
		rebuild = true
	}
	b.node.state.Store(&u)
	if p := b.node.averages.Load(); p != nil {
		age := received.Sub(measured)
		p.observe(remoteWorkAt(&u, &b.node.live), len(b.t.all), reportWeight(age, b.t.cfg.StaleAfter))
	}
	if r.InService {
		b.endEjectionOnReport(measured)
	}
	return rebuild
}

// settle drops the changes that a report measured at a time has in it.
func (b *upstreamTracker) discardReported(measured time.Time) {
	keep := 0
	for keep < len(b.deltas) && !b.deltas[keep].at.After(measured) {
		keep++
	}
	b.deltas = append(b.deltas[:0], b.deltas[keep:]...)
	var sum workDelta
	for _, c := range b.deltas {
		sum.merge(c)
	}
	l := &b.node.live
	l.deltaRequests.Store(sum.requests)
	l.deltaPrompt.Store(sum.prompt)
	l.deltaKV.Store(sum.kv)
}

// change replaces the upstream's state by a changed copy.
func (b *upstreamTracker) updateState(f func(*Upstream)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := *b.node.state.Load()
	f(&u)
	b.node.state.Store(&u)
}

// setRole reports whether the role is a new one.
func (b *upstreamTracker) setRole(role upstream.Role) bool {
	isNew := false
	b.updateState(func(u *Upstream) {
		isNew = u.Role != role
		u.Role = role
	})
	return isNew
}
