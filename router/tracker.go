package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tamarackchute/infra"
	"tamarackchute/upstream"
)

// Tracker keeps the books of one process: what it has in flight where, what
// the upstreams reported, what was learnt from own attempts. It is safe for
// use by many goroutines; Pick and Begin take no lock that another upstream's
// requests hold.
type Tracker struct {
	cfg     Config
	now     func() time.Time
	cache   *PrefixIndex
	handoff *handoff
	snap    atomic.Pointer[Snapshot]
	rnds    sync.Pool

	mu    sync.Mutex // guards changes of membership, role and leaving
	peers map[peersKey]*peers
	books map[string]*book
	order []*book
	seen  map[string]bool // upstreams that the platform's list has named
}

// NewTracker makes a tracker for the upstreams of a deployment. Of each, the
// name, kind, pool, data centre, models and role are taken. now is the clock;
// nil means time.Now.
func NewTracker(cfg Config, ups []Upstream, now func() time.Time) *Tracker {
	if now == nil {
		now = time.Now
	}
	t := &Tracker{
		cfg:     cfg,
		now:     now,
		cache:   NewPrefixIndex(cfg.CacheBlocks, cfg.CacheHalfLife),
		handoff: newHandoff(),
		peers:   map[peersKey]*peers{},
		books:   map[string]*book{},
		seen:    map[string]bool{},
	}
	t.rnds.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	s := newSnapshot(cfg, t.cache, t.handoff)
	for i, u := range ups {
		b := newBook(t, newNode(int32(i), s.dataCentre(u.DataCentre), u))
		t.books[u.Name] = b
		t.order = append(t.order, b)
	}
	t.publish(s)
	return t
}

// publish indexes the nodes into a new snapshot and swaps it in.
func (t *Tracker) publish(s *Snapshot) {
	nodes := make([]*node, len(t.order))
	for i, b := range t.order {
		nodes[i] = b.node
		u := b.node.state.Load()
		b.node.peers.Store(t.peersOf(peersKey{u.Pool, u.Role}))
	}
	s.index(nodes)
	t.snap.Store(s)
}

// peersOf returns the averages of engines that are alike. t.mu is held, or the
// tracker is being made.
func (t *Tracker) peersOf(k peersKey) *peers {
	p := t.peers[k]
	if p == nil {
		p = &peers{}
		t.peers[k] = p
	}
	return p
}

// rebuild makes a new snapshot after a change of role or models.
func (t *Tracker) rebuild() {
	s := newSnapshot(t.cfg, t.cache, t.handoff)
	for _, b := range t.order {
		s.dataCentre(b.node.state.Load().DataCentre)
	}
	t.publish(s)
}

// Snapshot returns the fleet as it stands.
func (t *Tracker) Snapshot() *Snapshot { return t.snap.Load() }

// Pick decides where a request runs, now. The error is a *NoUpstreamError.
func (t *Tracker) Pick(r Request) (Plan, error) {
	rnd := t.rnds.Get().(*rand.Rand)
	defer t.rnds.Put(rnd)
	return Pick(t.snap.Load(), r, t.now(), rnd)
}

// SetReport takes an engine's load report that was received at a time. Reports
// that were measured before the one held are dropped. An unknown name is
// ignored, here and below.
func (t *Tracker) SetReport(name string, r upstream.LoadReport, received time.Time) {
	b := t.books[name]
	if b == nil {
		return
	}
	if b.setReport(r, received) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.rebuild()
	}
}

// SetCacheEvents takes an engine's cache events, in order of their numbers.
func (t *Tracker) SetCacheEvents(name string, events []upstream.CacheEvent) {
	if b := t.books[name]; b != nil {
		t.cache.apply(b.node.id, events, t.now())
	}
}

// SetList takes the platform's list: an upstream that it calls leaving, or
// that it has named before and doesn't any more, gets no new work.
func (t *Tracker) SetList(list []infra.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.Name] = i.Terminating
		t.seen[i.Name] = true
	}
	for name, b := range t.books {
		leaving, ok := listed[name]
		gone := !ok && t.seen[name]
		b.change(func(u *Upstream) { u.Leaving = leaving || gone })
	}
}

// SetDraining says whether an order is about to change an upstream.
func (t *Tracker) SetDraining(name string, draining bool) {
	if b := t.books[name]; b != nil {
		b.change(func(u *Upstream) { u.Draining = draining })
	}
}

// SetRole says which role an engine has by the orders in the journal.
func (t *Tracker) SetRole(name string, role upstream.Role) {
	b := t.books[name]
	if b == nil || !b.setRole(role) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuild()
}

// Begin books an attempt. Every ticket must be ended.
func (t *Tracker) Begin(p Plan, r Request) *Ticket {
	now := t.now()
	k := &Ticket{t: t, engine: t.books[p.Engine], began: now, plan: p}
	k.prompt = max(0, r.PromptTokens-p.CachedTokens)
	k.output = r.OutputTokens
	k.asked = r.OutputTokens
	k.tokens = r.PromptTokens
	k.kv = r.PromptTokens + r.OutputTokens
	if p.Prefill != "" {
		k.prefill = t.books[p.Prefill]
	}
	k.begin(now, r.PrefixBlocks)
	return k
}

// PoolLoad sums up a pool's engines for admission.
type PoolLoad struct {
	// Engines counts those that may get new work, Slots their batches' places.
	Engines int
	Slots   int
	// Running and Waiting are the reported requests of all instances.
	Running, Waiting int
	// PrefillPerSecond and DecodePerSecond sum the rates.
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
		if u.Leaving || u.Draining || n.standing(now) == ejected {
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
