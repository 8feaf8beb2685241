package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

const (
	// openingLong is the cost of putting a long stream on the next engine in the
	// order of generators rather than on the one before it, in readings of a typical
	// prompt. Streams that are together leave other engines free to read prompts, and
	// to change their role without waiting for a stream to end.
	openingLong = 2.0
	// longFactor is how many times the objective for the first event generation takes
	// from which an answer counts as long.
	longFactor = 3.0
	// spareShare of the slots is left free by long streams, for the short answers that
	// other engines have read the prompts of.
	spareShare = 0.25
	// heldShare is the share of an engine's KV memory that the requests in flight of
	// those set apart for generating may take on average before one more is: an engine
	// whose memory runs out throws requests out, and what it keeps of prompts first.
	heldShare = 0.3
	// linkShare is the share of the time in which their links may move KV caches: more
	// makes queues before them.
	linkShare = 0.3
	// elsewhere is the cost of generating at an engine that isn't set apart for it, in
	// readings of a typical prompt.
	elsewhere = 1.0
)

// long reports whether a request generates for long at an engine.
func (r Request) long(e *Engine) bool {
	if r.Objective <= 0 || e.Model == nil {
		return false
	}
	return e.Model.DecodeMillis(r.OutputTokens) > longFactor*enginemodel.Millis(r.Objective)
}

// LongSlots returns how many long streams an engine with some slots takes.
func LongSlots(slots int) int { return max(1, slots-int(math.Ceil(spareShare*float64(slots)))) }

// linkWindow is the time over which the load of links is taken.
const linkWindow = time.Second

// rankGenerators puts the engines that generate in the order in which they are set apart
// for it, that of their IDs' hashes.
func rankGenerators(engines []Engine) {
	var decode []*Engine
	for i := range engines {
		if e := &engines[i]; e.Role == upstream.RoleDecode {
			decode = append(decode, e)
		}
	}
	slices.SortFunc(decode, func(a, b *Engine) int { return cmp.Compare(a.hash, b.hash) })
	for i, e := range decode {
		e.rank = i
	}
}

// markGenerators sets the engines apart that generate: those that long streams
// run on, and that go on from other engines' KV caches. Each handoff leaves its
// whole prompt in their memory, which pushes the shared parts out, and reading beside
// them makes streams late; kept to few engines, the others read undisturbed. All
// daemons mark the same ones, the first in rank, as many as the memory and the links of
// the requests in flight need.
func markGenerators(engines []Engine) {
	need := 0.0
	for i := range engines {
		if e := &engines[i]; e.Role == upstream.RoleDecode {
			e.generating = generating(e)
			need += e.generating
		}
	}
	marked := 1 + int(need)
	for i := range engines {
		e := &engines[i]
		e.generator = e.Role == upstream.RoleDecode && e.rank < marked
	}
}

// generating is the share of an engine that its generating takes up.
func generating(e *Engine) float64 {
	share := float64(e.LongStreams) / longStreams(e)
	if e.KVTokens > 0 {
		share = max(share, float64(e.ReservedKVTokens)/(heldShare*float64(e.KVTokens)))
	}
	return max(share, e.RecentTransfers(linkWindow)/(linkShare*enginemodel.Millis(linkWindow)))
}

// Generating returns how many engines' worth of generating some engines have.
func DecodeDemand(engines []Engine) float64 {
	sum := 0.0
	for i := range engines {
		if engines[i].Role == upstream.RoleDecode {
			sum += generating(&engines[i])
		}
	}
	return sum
}

// generator is an engine that goes on from another's KV cache, the time until its
// first event, and its cost beside that. engine is nil if there is none.
type generator struct {
	engine         *Engine
	takeover, cost float64
}

// generatorFor is the best generator for prompts read in a data centre.
type generatorFor struct {
	dataCentre string
	generator
}

// generatorFor returns the best generator for a prompt read in a data centre. It is
// looked for once a data centre, not for each engine that could read.
func (s *search) generatorFor(dataCentre string, r Request) generator {
	for _, g := range s.generators {
		if g.dataCentre == dataCentre {
			return g.generator
		}
	}
	best := cheapestGenerator(s.engines, dataCentre, r)
	s.generators = append(s.generators, generatorFor{dataCentre, best})
	return best
}

// cheapestGenerator returns the engine that best goes on from a KV cache made in a
// data centre.
func cheapestGenerator(engines []Engine, from string, r Request) generator {
	var best generator
	least := math.Inf(1)
	for i := range engines {
		e := &engines[i]
		if e.Role != upstream.RoleDecode || excluded(e, r) || full(e, r) {
			continue
		}
		took := e.LinkMillis + e.Model.HandoffMillis(r.PromptTokens, e.QueueMillis)
		move := float64(r.PromptTokens) * e.TransferMillisPerToken
		if e.DataCentre != from {
			took += (acrossFactor - 1) * move
			move *= acrossFactor
		}
		cost := fetchWeight*move + crossCost(e, r) + crowding(e, r) + wholeCost(e, took, r)
		if whole := cost + waitWeight*took; whole < least {
			best, least = generator{e, took, cost}, whole
		}
	}
	return best
}

// crowding is the cost of generating at an engine, by what it does beside that.
func crowding(e *Engine, r Request) float64 {
	typical := e.Model.TypicalPrefillMillis()
	cost := typical * e.generating
	if !e.generator {
		cost += elsewhere * typical
	}
	// Prompts that it reads make the stream's pauses too long.
	if r.GapObjective > 0 && pause(e, 0) > pauseShare*enginemodel.Millis(r.GapObjective) {
		cost += harmShare * typical
	}
	return cost
}
