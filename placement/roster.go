package placement

import (
	"cmp"
	"slices"
	"time"

	"tamarackchute/upstream"
)

// roster lists the upstreams of a pool that may get work. Kept in order between
// decisions, and with the room of one decision used again for the next, a choice among
// 200 engines takes no memory (BenchmarkBooksPick).
type roster struct {
	// all are in the order of their IDs.
	all []*entry
	// generators are those that generate, in the order in which they are set apart for it.
	generators []*entry
}

// rosters returns the roster of each pool.
func rosters(upstreams map[string]*entry) map[string]*roster {
	pools := make(map[string]*roster)
	for _, e := range upstreams {
		if e.Draining {
			continue
		}
		r := pools[e.Pool]
		if r == nil {
			r = &roster{}
			pools[e.Pool] = r
		}
		r.all = append(r.all, e)
		if e.Role == upstream.RoleDecode {
			r.generators = append(r.generators, e)
		}
	}
	for _, r := range pools {
		slices.SortFunc(r.all, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
		slices.SortFunc(r.generators, func(a, b *entry) int { return cmp.Compare(a.hash, b.hash) })
	}
	return pools
}

// Pick returns the plan with the least cost among the engines of a pool that have a free
// place. ok is false if none has.
func (b *Tracker) Pick(pool string, r Request) (plan Plan, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.searchIn(pool).pick(r)
}

// PickGenerator returns the engine of a pool that soonest goes on from a KV cache that
// another engine holds in a data centre.
func (b *Tracker) PickDecode(pool, dataCentre string, r Request) (plan Plan, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.searchIn(pool).pickGenerator(dataCentre, r)
}

// PickService returns the upstream of a pool with the fewest requests for its slots, and
// whether it has none free.
func (b *Tracker) PickService(pool string, r Request) (id string, full, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return PickService(b.searchIn(pool).engines, r)
}

// searchIn begins a search among the upstreams of a pool that may take work now. b.mu is
// held until it ends.
func (b *Tracker) searchIn(pool string) *search {
	s := &b.search
	s.engines = s.engines[:0]
	r := b.pools[pool]
	if r == nil {
		return s
	}
	now := b.now()
	s.engines = slices.Grow(s.engines, len(r.all))
	for _, e := range r.all {
		s.add(e, now)
	}
	rank := 0
	for _, e := range r.generators {
		if e.place >= 0 {
			s.engines[e.place].rank = rank
			rank++
		}
	}
	return s
}

// add takes an upstream into the search if it may take work.
func (s *search) add(e *entry, now time.Time) {
	if !e.usable(now) {
		e.place = -1
		return
	}
	e.place = len(s.engines)
	s.engines = s.engines[:e.place+1]
	e.describe(&s.engines[e.place], now)
}
