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

// Pick returns the plan with the lowest cost among the engines of a pool with a free slot.
// ok is false if there is none.
func (tr *Tracker) Pick(pool string, r Request) (plan Plan, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.searchIn(pool).pick(r)
}

// PickDecode returns the engine of a pool that can continue soonest from a KV cache held in
// the given data centre.
func (tr *Tracker) PickDecode(pool, dataCentre string, r Request) (plan Plan, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.searchIn(pool).pickDecode(dataCentre, r)
}

// PickService returns the plain upstream of a pool with the lowest cost, mainly its load
// relative to its slots. full is set if its slots and queue are taken.
func (tr *Tracker) PickService(pool string, r Request) (id string, full, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return PickService(tr.searchIn(pool).engines, r)
}

// searchIn starts a search among the available upstreams of a pool. tr.mu is held until the
// search ends.
func (tr *Tracker) searchIn(pool string) *search {
	s := &tr.search
	s.engines = s.engines[:0]
	p := tr.pools[pool]
	if p == nil {
		return s
	}
	now := tr.now()
	s.engines = slices.Grow(s.engines, len(p.all))
	for _, e := range p.all {
		s.add(e, now, tr.waitForLimit(e) == 0)
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
func (s *search) add(e *trackedUpstream, now time.Time, withinLimit bool) {
	if !withinLimit || !e.available(now) {
		e.searchIndex = -1
		return
	}
	e.searchIndex = len(s.engines)
	s.engines = s.engines[:e.searchIndex+1]
	e.describe(&s.engines[e.searchIndex], now)
}
