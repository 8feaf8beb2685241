package placement

import (
	"cmp"
	"slices"
	"time"

	"tamarackchute/upstream"
)

// enginePool lists the upstreams of a pool that may get work. The lists are sorted once per
// Sync and the search reuses its memory, so that a decision doesn't allocate.
type enginePool struct {
	// all is sorted by ID.
	all []*trackedUpstream
	// decode holds the decode engines in the order in which they are dedicated to decoding.
	decode []*trackedUpstream
}

// poolsOf groups the upstreams that are not draining by pool.
func poolsOf(byID map[string]*trackedUpstream) map[string]*enginePool {
	pools := make(map[string]*enginePool)
	for _, e := range byID {
		if e.Draining {
			continue
		}
		p := pools[e.Pool]
		if p == nil {
			p = &enginePool{}
			pools[e.Pool] = p
		}
		p.all = append(p.all, e)
		if e.Role == upstream.RoleDecode {
			p.decode = append(p.decode, e)
		}
	}
	for _, p := range pools {
		slices.SortFunc(p.all, func(a, b *trackedUpstream) int { return cmp.Compare(a.ID, b.ID) })
		slices.SortFunc(p.decode, func(a, b *trackedUpstream) int { return cmp.Compare(a.hash, b.hash) })
	}
	return pools
}

// Pick returns the plan with the lowest cost among the engines of a pool with a free slot. Those that
// fail but still answer some requests are considered if no other one meets the request's limit. ok is
// false if there is none.
func (tr *Tracker) Pick(pool string, r Request) (plan Plan, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.searchIn(pool, healthy)
	if plan, ok = s.pick(r); ok && plan.MeetsLimit(r) || s.lastResorts == 0 {
		return plan, ok
	}
	last, found := tr.searchIn(pool, lastResort).pick(r)
	if !found || ok && !last.MeetsLimit(r) {
		return plan, ok
	}
	return last, true
}

// PickDecode returns the engine of a pool that can continue soonest from a KV cache held in
// the given data centre.
func (tr *Tracker) PickDecode(pool, dataCentre string, r Request) (plan Plan, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.searchIn(pool, healthy)
	if plan, ok = s.pickDecode(dataCentre, r); ok || s.lastResorts == 0 {
		return plan, ok
	}
	return tr.searchIn(pool, lastResort).pickDecode(dataCentre, r)
}

// PickService returns the plain upstream of a pool with the lowest cost, mainly its load
// relative to its slots. full is set if its slots and queue are taken. Upstreams that fail but still
// answer some requests are considered if all others are full.
func (tr *Tracker) PickService(pool string, r Request) (id string, full, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.searchIn(pool, healthy)
	if id, full, ok = PickService(s.engines, r); ok && !full || s.lastResorts == 0 {
		return id, full, ok
	}
	return PickService(tr.searchIn(pool, lastResort).engines, r)
}

// admission says which upstreams a search considers.
type admission uint8

const (
	// healthy leaves out the ejected ones.
	healthy admission = iota
	// lastResort includes the ejected ones that still answer some requests.
	lastResort
)

// searchIn starts a search among the available upstreams of a pool. tr.mu is held until the
// search ends.
func (tr *Tracker) searchIn(pool string, admitted admission) *search {
	s := &tr.search
	s.engines, s.lastResorts = s.engines[:0], 0
	p := tr.pools[pool]
	if p == nil {
		return s
	}
	now := tr.now()
	s.engines = slices.Grow(s.engines, len(p.all))
	for _, e := range p.all {
		s.add(e, now, admitted, tr.waitForLimit(e) == 0)
	}
	rank := 0
	for _, e := range p.decode {
		if e.searchIndex >= 0 {
			s.engines[e.searchIndex].decodeRank = rank
			rank++
		}
	}
	return s
}

// add adds an upstream to the search if it is available and its limit allows a request.
func (s *search) add(e *trackedUpstream, now time.Time, admitted admission, withinLimit bool) {
	e.searchIndex = -1
	if !withinLimit {
		return
	}
	if !e.available(now) {
		if !e.lastResort(now) {
			return
		}
		s.lastResorts++
		if admitted == healthy {
			return
		}
	}
	e.searchIndex = len(s.engines)
	s.engines = s.engines[:e.searchIndex+1]
	e.describe(&s.engines[e.searchIndex], now)
}
