package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/upstream"
)

// The figures of the choice, in milliseconds unless said otherwise.
const (
	// commonRate turns tokens to be read into milliseconds of cost, alike for all
	// engines. A millisecond of a fast engine is worth more than one of a slow
	// engine: by their own rates a fast engine that has to read the shared parts
	// anew would look as good as a slow one that keeps them.
	commonRate = 300.0
	// handoff is the setting up of a KV transfer; its bytes take under a
	// millisecond on the links that engines have.
	handoff = 2.5
	// crossing is the way to another data centre and back, crossingPerKB what
	// each KB of the request that crosses counts: such bytes are paid for.
	crossing      = 1.0
	crossingPerKB = 0.3
	// fewHomes is the number of home engines among which a prompt is placed where
	// the view is old.
	fewHomes = 3
	// waitWeight is what a millisecond of the time to the first token counts
	// while the request is expected in time, lateWeight beyond that. Work counts
	// in full: a part read a second time keeps others waiting, whom this request
	// never meets.
	waitWeight = 0.25
	lateWeight = 3.0
	// comfort is the share of the objective up to which a first event counts as
	// certainly in time.
	comfort = 0.6
	// generatorBurden is what reading a prompt at a generator counts beside its
	// time: the streams there get their tokens at half the pace meanwhile.
	// Prompts that take less than shortWork count in proportion.
	generatorBurden = 40.0
	shortWork       = 10.0
	// openingLong is the cost of putting a long stream on the next engine in the
	// order of generators rather than on the one before it. Streams that are
	// together leave other engines free to read prompts, and to change their role
	// without waiting for a stream to end.
	openingLong = 20.0
	// spareSlots are left free by long streams, for the short answers that other
	// engines have read the prompts of.
	spareSlots = 3
	// mostLong is the most long streams of one engine, whatever its slots: each
	// slows the others down, and the longest have to end within their caller's
	// patience.
	mostLong = 12
)

// LongSlots returns how many long streams an engine with some slots takes.
func LongSlots(slots int) int { return max(1, min(slots-spareSlots, mostLong)) }

// homeBonus is what a prompt's home engines are favoured by, the first, the second
// and so on, so that daemons that know nothing of each other's requests still
// send a shared prompt to the same engines.
var homeBonus = [...]float64{8, 5, 2}

// Pick returns the plan with the least cost among the engines that have a free
// place. ok is false if none has.
func Pick(engines []Engine, r Request) (plan Plan, ok bool) {
	best := math.Inf(1)
	markGenerators(engines)
	generator, generatorMillis := cheapestGenerator(engines, r)
	rankHomes(engines, r)
	considered := 0
	for i := range engines {
		e := &engines[i]
		if excluded(e, r) || !canRead(e, r, generator) || !e.inChoice(r) {
			continue
		}
		considered++
		p, cost := consider(e, r)
		if e.Role == upstream.RolePrefill {
			p.Engine, p.Prefill = generator.ID, e.ID
			cost += handoff + generatorMillis
			p.FirstToken += millis(handoff + generatorMillis)
		}
		if cost < best {
			best, plan = cost, p
		}
	}
	plan.Considered = considered
	return plan, !math.IsInf(best, 1)
}

// PickGenerator returns the engine that soonest goes on from a KV cache that
// another engine holds already.
func PickGenerator(engines []Engine, r Request) (plan Plan, ok bool) {
	markGenerators(engines)
	e, wait := cheapestGenerator(engines, r)
	if e == nil {
		return Plan{}, false
	}
	return Plan{Engine: e.ID, Queue: millis(wait), FirstToken: millis(wait + e.OverheadMillis), Considered: len(engines)}, true
}

// canRead reports whether an engine may read the prompt.
func canRead(e *Engine, r Request, generator *Engine) bool {
	if e.Role == upstream.RolePrefill {
		return generator != nil && !r.Long
	}
	return !full(e, r)
}

// consider returns the plan that an engine reads the prompt, and its cost.
func consider(e *Engine, r Request) (Plan, float64) {
	p := Plan{Engine: e.ID, Uncached: uncached(e, r)}
	first := e.QueueMillis + float64(p.Uncached)/max(1, e.TokensPerMilli) + e.OverheadMillis
	p.Queue, p.FirstToken = millis(e.QueueMillis), millis(first)
	work := float64(p.Uncached) / commonRate
	cost := work + waitWeight*first + crossCost(e, r)
	if e.home < len(homeBonus) {
		cost -= homeBonus[e.home]
	}
	if certain := comfort * toMillis(r.Objective); r.Objective > 0 && first > certain {
		cost += lateWeight * (first - certain)
	}
	switch {
	case r.Long:
		cost += openingLong * float64(e.rank)
	case !r.Long && e.generator:
		cost += generatorBurden * min(1, work/shortWork)
	}
	return p, cost
}

func excluded(e *Engine, r Request) bool { return slices.Contains(r.Exclude, e.ID) }

func full(e *Engine, r Request) bool {
	if e.Slots <= 0 {
		return false
	}
	if r.Long {
		return e.Running >= e.Slots || e.Long >= LongSlots(e.Slots)
	}
	return e.Running >= e.Slots
}

// cheapestGenerator returns the engine that soonest goes on from another
// engine's KV cache, and the time that it takes to begin.
func cheapestGenerator(engines []Engine, r Request) (*Engine, float64) {
	var best *Engine
	least, leastMillis := math.Inf(1), 0.0
	for i := range engines {
		e := &engines[i]
		if e.Role != upstream.RoleDecode || excluded(e, r) || full(e, r) {
			continue
		}
		cost := e.QueueMillis + crossCost(e, r) + float64(e.Running)*0.5
		if !e.generator {
			cost += generatorBurden
		}
		if cost < least {
			best, least, leastMillis = e, cost, e.QueueMillis
		}
	}
	return best, leastMillis
}

// markGenerators sets the engines apart that generate: those that long streams
// run on, and that go on from other engines' KV caches. Each handoff leaves its
// whole prompt in their memory, which pushes the shared parts out; kept to few
// engines, the others keep theirs. All daemons mark the same ones, the first in
// the order of their IDs' hashes, as many as the long streams need.
func markGenerators(engines []Engine) {
	var decode []*Engine
	long, slots := 0, 1
	for i := range engines {
		e := &engines[i]
		if e.Role == upstream.RoleDecode {
			decode = append(decode, e)
			long += e.Long
			slots = max(slots, LongSlots(e.Slots))
		}
	}
	slices.SortFunc(decode, func(a, b *Engine) int { return cmp.Compare(KeyOf(a.ID), KeyOf(b.ID)) })
	need := min(1+long/slots, len(decode))
	for i, e := range decode {
		e.rank = i
		e.generator = i < need
	}
}

func uncached(e *Engine, r Request) int {
	if e.Cached == nil {
		return r.PromptTokens
	}
	return max(1, r.PromptTokens-e.Cached(r.Parts))
}

func crossCost(e *Engine, r Request) float64 {
	if e.DataCentre == r.DataCentre {
		return 0
	}
	return crossing + crossingPerKB*float64(r.BodyBytes)/1000
}

// rankHomes sets the order of the engines in which a prompt belongs to them, by
// rendezvous hashing weighted by their rates. Engines set apart for generating
// come last; a prompt that shares nothing has an order of its own.
func rankHomes(engines []Engine, r Request) {
	key := rand.Uint64()
	if shared := sharedParts(r.Parts); len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	order := make([]*Engine, len(engines))
	for i := range engines {
		e := &engines[i]
		e.score = rendezvous(key, e)
		if e.generator {
			e.score = math.Inf(-1)
		}
		order[i] = e
	}
	slices.SortFunc(order, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	for i, e := range order {
		e.home = i
	}
}

// inChoice reports whether a request may be placed at an engine. Where daemons
// know of each other's requests only after a while, all would send theirs to the
// engine that looked idle a moment ago; placed among a few engines each, requests
// for different prompts spread by themselves.
func (e *Engine) inChoice(r Request) bool {
	return !r.Stale || r.Long || e.home < fewHomes
}

// rendezvous is the weighted score of an engine for a key. The weight is the
// rate assumed of its role: learnt rates differ between daemons, which have to
// agree.
func rendezvous(key uint64, e *Engine) float64 {
	h := xxhash.Sum64String(e.ID) ^ key*0x9e3779b97f4a7c15
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(h >> (8 * i))
	}
	u := (float64(xxhash.Sum64(raw[:])>>11) + 0.5) / (1 << 53)
	return -newPace(e.Role).rate / math.Log(u)
}

// PickService returns the plain upstream with the fewest requests for its slots,
// and whether it has none free.
func PickService(upstreams []Engine, r Request) (id string, full, ok bool) {
	best := math.Inf(1)
	for i := range upstreams {
		u := &upstreams[i]
		if excluded(u, r) {
			continue
		}
		cost := serviceCost(u, r)
		if cost < best {
			best, id, full = cost, u.ID, u.Running >= u.Slots+queuedCalls
		}
	}
	return id, full, id != ""
}

const (
	// queuedCalls is how many calls may wait at an upstream beyond its slots, so
	// that it has the next one at hand when one ends.
	queuedCalls = 1
	// queuePenalty makes a free slot anywhere better than any queue.
	queuePenalty = 1.0
	// farPenalty is what a call to another data centre counts, in shares of an
	// upstream's slots.
	farPenalty = 0.3
)

func serviceCost(u *Engine, r Request) float64 {
	cost := float64(u.Running)/max(1, float64(u.Slots)) + u.LatencyMillis/1000
	if u.Running >= u.Slots {
		cost += queuePenalty
	}
	if u.DataCentre != r.DataCentre {
		cost += farPenalty
	}
	return cost
}
