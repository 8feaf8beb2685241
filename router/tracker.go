package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tamarackchute/infra"
	"tamarackchute/upstream"
)

// Tracker records one process's work in flight, the upstreams' reports, and what
// was learned from its attempts. It is safe for concurrent use; Pick and Begin
// take no lock that requests to other upstreams hold.
type Tracker struct {
	cfg        Config
	now        func() time.Time
	cache      *PrefixIndex
	kvTransfer *kvTransferFactors
	snap       atomic.Pointer[Snapshot]
	rands      sync.Pool

	mu         sync.Mutex // guards changes of the instance list, roles and snapshot
	averages   map[averagesKey]*poolAverages
	byName     map[string]*upstreamTracker
	all        []*upstreamTracker
	everListed map[string]bool // upstreams that the platform's list has ever contained
}

// NewTracker returns a tracker for the upstreams of a deployment. Only the name,
// kind, pool, data centre, models and role of each are needed. now is the clock;
// nil means time.Now.
func NewTracker(cfg Config, ups []Upstream, now func() time.Time) *Tracker {
	if now == nil {
		now = time.Now
	}
	t := &Tracker{
		cfg:        cfg,
		now:        now,
		cache:      NewPrefixIndex(cfg.CacheBlocks, cfg.CacheHalfLife),
		kvTransfer: newKVTransferFactors(),
		averages:   map[averagesKey]*poolAverages{},
		byName:     map[string]*upstreamTracker{},
		everListed: map[string]bool{},
	}
	t.rands.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	s := newSnapshot(cfg, t.cache, t.kvTransfer)
	for i, u := range ups {
		ut := newUpstreamTracker(t, newNode(int32(i), s.dataCentre(u.DataCentre), u))
		t.byName[u.Name] = ut
		t.all = append(t.all, ut)
	}
	t.publish(s)
	return t
}

// publish indexes the nodes into a new snapshot and makes it current.
func (t *Tracker) publish(s *Snapshot) {
	nodes := make([]*node, len(t.all))
	for i, ut := range t.all {
		nodes[i] = ut.node
		u := ut.node.state.Load()
		ut.node.averages.Store(t.averagesFor(averagesKey{u.Pool, u.Role}))
	}
	s.index(nodes)
	t.snap.Store(s)
}

// averagesFor returns the averages of a pool and role. t.mu is held, or the
// tracker is under construction.
func (t *Tracker) averagesFor(k averagesKey) *poolAverages {
	p := t.averages[k]
	if p == nil {
		p = &poolAverages{}
		t.averages[k] = p
	}
	return p
}

// rebuild replaces the snapshot after a change of role.
func (t *Tracker) rebuild() {
	s := newSnapshot(t.cfg, t.cache, t.kvTransfer)
	for _, ut := range t.all {
		s.dataCentre(ut.node.state.Load().DataCentre)
	}
	t.publish(s)
}

// Snapshot returns the current snapshot of the fleet.
func (t *Tracker) Snapshot() *Snapshot { return t.snap.Load() }

// Pick decides where a request runs now. The error is a *NoUpstreamError.
func (t *Tracker) Pick(r Request) (Plan, error) {
	rnd := t.rands.Get().(*rand.Rand)
	defer t.rands.Put(rnd)
	return Pick(t.snap.Load(), r, t.now(), rnd)
}

// SetLoadReport applies an engine's load report. One measured before the current
// one is dropped. This and the following methods ignore unknown names.
func (t *Tracker) SetLoadReport(name string, r upstream.LoadReport, received time.Time) {
	ut := t.byName[name]
	if ut == nil {
		return
	}
	if ut.setReport(r, received) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.rebuild()
	}
}

// ApplyCacheEvents processes an engine's cache events in sequence order.
func (t *Tracker) ApplyCacheEvents(name string, events []upstream.CacheEvent) {
	if ut := t.byName[name]; ut != nil {
		t.cache.apply(ut.node.id, events, t.now())
	}
}

// SetInstances applies the platform's instance list. An upstream that it marks as
// terminating, or that an earlier list contained and this one doesn't, gets no new
// work.
func (t *Tracker) SetInstances(list []infra.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.Name] = i.Terminating
		t.everListed[i.Name] = true
	}
	for name, ut := range t.byName {
		terminating, ok := listed[name]
		gone := !ok && t.everListed[name]
		ut.updateState(func(u *Upstream) { u.Terminating = terminating || gone })
	}
}

// SetDraining sets whether an order is about to change an upstream.
func (t *Tracker) SetDraining(name string, draining bool) {
	if ut := t.byName[name]; ut != nil {
		ut.updateState(func(u *Upstream) { u.Draining = draining })
	}
}

// SetRole sets the role that the journal's orders give an engine.
func (t *Tracker) SetRole(name string, role upstream.Role) {
	ut := t.byName[name]
	if ut == nil || !ut.setRole(role) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuild()
}

// Begin records the start of an attempt. Every ticket must be ended.
func (t *Tracker) Begin(p Plan, r Request) *Ticket {
	now := t.now()
	k := &Ticket{t: t, engine: t.byName[p.Engine], began: now, plan: p}
	k.pendingPrompt = max(0, r.PromptTokens-p.CachedTokens)
	k.pendingOutput = r.OutputTokens
	k.requestedOutput = r.OutputTokens
	k.promptTokens = r.PromptTokens
	k.recordedKV = r.PromptTokens + r.OutputTokens
	if p.Prefill != "" {
		k.prefill = t.byName[p.Prefill]
	}
	k.begin(now, r.PrefixBlocks)
	return k
}

// PoolLoad is the load and capacity of a pool, for admission control.
type PoolLoad struct {
	// Engines counts the engines that may get new work, Slots their batch slots.
	Engines int
	Slots   int
	// Running and Waiting are the requests that the engines report, from all
	// processes.
	Running, Waiting int
	// PrefillPerSecond and DecodePerSecond are the engines' total rates in tokens.
	PrefillPerSecond, DecodePerSecond float64
}

// PoolLoad sums up the engines of a pool that serve a model.
func (t *Tracker) PoolLoad(pool, model string) PoolLoad {
	s := t.snap.Load()
	g := s.groups[groupKey{pool, model}]
	var sum PoolLoad
	if g == nil {
		return sum
	}
	now := t.now()
	for _, n := range g.nodes {
		u := n.state.Load()
		if u.Terminating || u.Draining || n.healthAt(now) == ejected {
			continue
		}
		m := modelOf(&s.cfg, u, &n.live)
		sum.Engines++
		sum.Slots += m.batch
		sum.Running += u.Report.Running
		sum.Waiting += u.Report.Waiting
		sum.PrefillPerSecond += m.prefill
		sum.DecodePerSecond += float64(m.batch) / m.stepFull
	}
	return sum
}
