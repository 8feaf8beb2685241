package router

import (
	"sync"
	"time"

	"tamarackchute/upstream"
)

// change is what one event added to an upstream's work.
type change struct {
	at                   time.Time
	requests, prompt, kv int64
}

// The bounds of what a book keeps for correcting reports. Changes nearer than
// changeGrain are added together; when the book is full the oldest two are.
const (
	changeGrain = 20 * time.Millisecond
	maxChanges  = 256
)

// book keeps one upstream's own work. A load report shows the work as it stood
// when the engine measured it, perhaps seconds ago: what began here since is
// missing in it and what ended since is still in it. The book keeps the
// changes since the last report's time of measurement; their sum corrects it.
type book struct {
	t    *Tracker
	node *node

	mu      sync.Mutex
	changes []change
	record  record
}

func newBook(t *Tracker, n *node) *book { return &book{t: t, node: n} }

// add notes a change of the work and corrects the live sums by it.
func (b *book) add(at time.Time, requests, prompt, kv int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := change{at, int64(requests), int64(prompt), int64(kv)}
	l := &b.node.live
	l.requests.Add(c.requests)
	l.prompt.Add(c.prompt)
	l.kv.Add(c.kv)
	l.inFlight.Add(c.requests)
	l.ownPrompt.Add(c.prompt)
	l.ownKV.Add(c.kv)
	last := len(b.changes) - 1
	if last >= 0 && c.at.Sub(b.changes[last].at) < changeGrain {
		b.changes[last].merge(c)
		return
	}
	if len(b.changes) == maxChanges {
		b.changes[1].merge(b.changes[0])
		b.changes = append(b.changes[:0], b.changes[1:]...)
	}
	b.changes = append(b.changes, c)
}

func (c *change) merge(o change) {
	c.requests += o.requests
	c.prompt += o.prompt
	c.kv += o.kv
}

// setReport takes a report and reports whether a new snapshot is needed.
func (b *book) setReport(r upstream.LoadReport, received time.Time) bool {
	measured := received.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.node.state.Load()
	if !old.ReportAt.IsZero() && measured.Before(old.ReportAt) {
		return false
	}
	b.settle(measured)
	u := *old
	u.Report = r
	u.ReportAt = measured
	rebuild := false
	if r.Role != "" && r.Role != u.Role && r.InService {
		u.Role = r.Role
		rebuild = true
	}
	b.node.state.Store(&u)
	if p := b.node.peers.Load(); p != nil {
		age := received.Sub(measured)
		p.observe(othersAt(&u, &b.node.live), len(b.t.order), trustIn(age, b.t.cfg.StaleAfter))
	}
	if r.InService {
		b.reached(measured)
	}
	return rebuild
}

// settle drops the changes that a report measured at a time has in it.
func (b *book) settle(measured time.Time) {
	keep := 0
	for keep < len(b.changes) && !b.changes[keep].at.After(measured) {
		keep++
	}
	b.changes = append(b.changes[:0], b.changes[keep:]...)
	var sum change
	for _, c := range b.changes {
		sum.merge(c)
	}
	l := &b.node.live
	l.requests.Store(sum.requests)
	l.prompt.Store(sum.prompt)
	l.kv.Store(sum.kv)
}

// change replaces the upstream's state by a changed copy.
func (b *book) change(f func(*Upstream)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := *b.node.state.Load()
	f(&u)
	b.node.state.Store(&u)
}

// setRole reports whether the role is a new one.
func (b *book) setRole(role upstream.Role) bool {
	isNew := false
	b.change(func(u *Upstream) {
		isNew = u.Role != role
		u.Role = role
	})
	return isNew
}
