package router

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds on one decision. A group of up to scanAll upstreams is scored in full; of
// a larger one, random samples of the request's data centre and of the whole group
// are scored, with the engines that the prefix index matched.
const (
	scanAll       = 48
	sampleLocal   = 18
	sampleOthers  = 8
	maxMatches    = 8
	maxCandidates = scanAll + maxMatches
)

// Scheduler is a pipeline of filters, scorers and a picker.
type Scheduler struct {
	// Filters apply to requests on one engine, cheapest first.
	Filters []Filter
	// Fallback replaces Filters if those leave no candidate: it lets upstreams that
	// are probed run more than one request.
	Fallback []Filter
	// LastResort replaces Fallback if that leaves no candidate either: it lets ejected
	// upstreams that still answer some requests run them.
	LastResort []Filter
	Scorers    []Scorer
	Picker     Picker
	cfg        Config
}

// NewScheduler returns the default pipeline.
func NewScheduler(cfg Config) *Scheduler {
	s := &Scheduler{
		Filters: []Filter{
			drainingFilter{}, serviceFilter{}, memoryFilter{}, limitFilter{}, ejectedFilter{},
			probingFilter{}, excludedFilter{}, isolatedFilter{},
		},
		Fallback: []Filter{
			drainingFilter{}, serviceFilter{}, memoryFilter{}, limitFilter{}, ejectedFilter{},
			excludedFilter{}, isolatedFilter{},
		},
		LastResort: []Filter{
			drainingFilter{}, serviceFilter{}, memoryFilter{}, limitFilter{}, silentFilter{},
			excludedFilter{}, isolatedFilter{},
		},
		Picker: spreadPicker{minWidth: defaultMinWidth, costShare: cfg.SpreadByCost, ageShare: cfg.SpreadByAge},
		cfg:    cfg,
	}
	s.Scorers = []Scorer{
		timeScorer{}, occupancyScorer{cfg.OccupancyWeight},
		crossDCScorer{&s.cfg}, failureScorer{},
	}
	return s
}

// scratch holds the buffers of one decision, for reuse.
type scratch struct {
	cands   []Candidate
	prefill []Candidate // engines for prefill
	decode  []Candidate // engines for decode after one of them
	nodes   []*node
	matches []Match
	dropped []int
	request Request
}

// release returns the scratch to the pool, without references to the request.
func (sc *scratch) release() {
	sc.request = Request{}
	scratches.Put(sc)
}

var scratches = sync.Pool{New: func() any {
	return &scratch{
		cands: make([]Candidate, 0, maxCandidates),
		nodes: make([]*node, 0, maxCandidates),
	}
}}

// Pick decides where a request runs, with the snapshot's pipeline. The error
// is always a *NoUpstreamError.
func Pick(s *Snapshot, r Request, now time.Time, rnd *rand.Rand) (Plan, error) {
	return s.scheduler.Pick(s, r, now, rnd)
}

// Pick decides where a request runs.
func (p *Scheduler) Pick(s *Snapshot, r Request, now time.Time, rnd *rand.Rand) (Plan, error) {
	g := s.groups[groupKey{r.Pool, r.Model}]
	if g == nil {
		return Plan{}, unknownGroupError(s, r.Pool, r.Model)
	}
	sc := scratches.Get().(*scratch)
	defer sc.release()
	sc.request = r
	d := decision{s: s, g: g, r: &sc.request, now: now, rnd: rnd, sc: sc, dc: s.dataCentreIndex(r.DataCentre)}
	return p.run(&d)
}

func unknownGroupError(s *Snapshot, pool, model string) error {
	e := &NoUpstreamError{Pool: pool, Model: model, Reason: NoUpstreamUnknownPool}
	if s.pools[pool] > 0 {
		e.Reason = NoUpstreamUnknownModel
	}
	return e
}

// dataCentreIndex returns the index of the request's data centre; an unknown one
// counts as the process's own, which has index 0.
func (s *Snapshot) dataCentreIndex(name string) int32 {
	if name == "" {
		return 0
	}
	return s.dcs[name]
}

// decision is one run of the pipeline.
type decision struct {
	s   *Snapshot
	g   *group
	r   *Request
	now time.Time
	rnd *rand.Rand
	sc  *scratch
	dc  int32
}

func (p *Scheduler) run(d *decision) (Plan, error) {
	d.lookupCache()
	reason := PlanReason("")
	d.collectCandidates(p.Filters)
	for _, filters := range [][]Filter{p.Fallback, p.LastResort} {
		if len(d.sc.cands) > 0 {
			break
		}
		reason = ReasonFallback
		d.collectCandidates(filters)
	}
	if len(d.sc.cands) == 0 {
		return Plan{}, d.noUpstreamError(p.Filters)
	}
	p.score(d)
	i, picked := p.Picker.Pick(d.sc.cands, d.r, d.rnd)
	if reason == "" {
		reason = picked
	}
	c := &d.sc.cands[i]
	plan := Plan{
		Engine:       c.Upstream.Name,
		Estimate:     c.Estimate,
		Reason:       reason,
		CachedTokens: c.CachedTokens,
		Considered:   len(d.sc.cands),
	}
	return p.trySplit(d, plan, c.Cost), nil
}

func (p *Scheduler) score(d *decision) {
	for i := range d.sc.cands {
		c := &d.sc.cands[i]
		c.CachedTokens = d.expectedCachedTokens(c.node)
		for _, s := range p.Scorers {
			c.Cost += s.Cost(c, d.r)
		}
	}
}

// collectCandidates fills the candidates with upstreams that pass the filters. If
// no sampled one does, it tries the whole group.
func (d *decision) collectCandidates(filters []Filter) {
	d.sc.cands = d.sc.cands[:0]
	d.sc.dropped = append(d.sc.dropped[:0], make([]int, len(filters))...)
	if len(d.g.nodes) <= scanAll {
		d.appendKept(d.g.nodes, filters)
		return
	}
	d.appendKept(d.sample(), filters)
	if len(d.sc.cands) > 0 {
		return
	}
	clear(d.sc.dropped)
	start := d.rnd.IntN(len(d.g.nodes))
	d.appendKept(d.g.nodes[start:], filters)
	d.appendKept(d.g.nodes[:start], filters)
}

// appendKept appends the nodes that pass the filters, up to maxCandidates.
func (d *decision) appendKept(nodes []*node, filters []Filter) {
	for _, n := range nodes {
		if len(d.sc.cands) == maxCandidates {
			return
		}
		d.sc.cands = d.sc.cands[:len(d.sc.cands)+1]
		c := &d.sc.cands[len(d.sc.cands)-1]
		c.fill(d.s, n, d.r, d.dc, d.now)
		if i := firstDrop(filters, c, d.r); i >= 0 {
			d.sc.dropped[i]++
			d.sc.cands = d.sc.cands[:len(d.sc.cands)-1]
		}
	}
}

// firstDrop returns the index of the first filter that rejects c, or -1.
func firstDrop(filters []Filter, c *Candidate, r *Request) int {
	for i, f := range filters {
		if !f.Keep(c, r) {
			return i
		}
	}
	return -1
}

// sample draws nodes of a large group: those whose prefix cache matches the
// prompt, some of the request's data centre, and some of the whole group.
func (d *decision) sample() []*node {
	d.sc.nodes = d.sc.nodes[:0]
	for _, m := range d.sc.matches {
		n := d.s.nodeByID(m.Engine)
		if n != nil && d.inGroup(n) {
			d.sc.nodes = append(d.sc.nodes, n)
		}
	}
	d.drawSample(d.g.byDC[d.dc], sampleLocal)
	d.drawSample(d.g.nodes, sampleOthers)
	return d.sc.nodes
}

// sampleOf returns the nodes, or a sample if there are more than scanAll.
func (d *decision) sampleOf(from []*node) []*node {
	if len(from) <= scanAll {
		return from
	}
	d.sc.nodes = d.sc.nodes[:0]
	d.drawSample(from, sampleLocal)
	return d.sc.nodes
}

func (d *decision) drawSample(from []*node, count int) {
	if len(from) == 0 {
		return
	}
	// Drawing a run from a random start would always group the same neighbours,
	// so each node is drawn on its own; a duplicate is skipped.
	for range min(count, len(from)) {
		n := from[d.rnd.IntN(len(from))]
		if !contains(d.sc.nodes, n) {
			d.sc.nodes = append(d.sc.nodes, n)
		}
	}
}

func contains(nodes []*node, n *node) bool {
	for _, have := range nodes {
		if have == n {
			return true
		}
	}
	return false
}

// inGroup reports whether a node serves the request's pool and model.
func (d *decision) inGroup(n *node) bool {
	u := n.state.Load()
	if u.Pool != d.r.Pool {
		return false
	}
	for _, m := range u.Models {
		if m == d.r.Model {
			return true
		}
	}
	return false
}

// noUpstreamError names the filter that rejected the most upstreams; ties go to
// the later one, which is more specific.
func (d *decision) noUpstreamError(filters []Filter) error {
	e := &NoUpstreamError{Pool: d.r.Pool, Model: d.r.Model, Members: len(d.g.nodes)}
	d.collectCandidates(filters)
	most := 0
	for i, f := range filters {
		e.Dropped = append(e.Dropped, FilterCount{f.Reason(), d.sc.dropped[i]})
		if d.sc.dropped[i] >= most && d.sc.dropped[i] > 0 {
			most = d.sc.dropped[i]
			e.Reason = f.Reason()
		}
	}
	return e
}
