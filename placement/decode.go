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
	// nextEngineCost is the cost per rank of placing a long stream on an engine that is not
	// dedicated to decoding, in typical prefills. Concentrated streams leave other engines
	// free to prefill, and to change their role without waiting for streams to end.
	nextEngineCost = 2.0
	// longStreamFactor: a response is a long stream if decoding takes longer than this many
	// times the first-event objective.
	longStreamFactor = 3.0
	// shortSlotShare is the share of slots that long streams leave free for short responses
	// whose prompts other engines prefill.
	shortSlotShare = 0.25
	// reservedKVShare is the average share of KV memory that requests in flight may reserve
	// on dedicated decode engines before another engine is added. An engine that runs out
	// of memory evicts cached parts first and then aborts requests.
	reservedKVShare = 0.3
	// linkShare is the share of time in which the links of dedicated decode engines may be
	// busy; queues build up beyond it.
	linkShare = 0.3
	// notDedicatedCost is the cost of a handoff to an engine that isn't dedicated to
	// decoding, in typical prefills.
	notDedicatedCost = 1.0
)

// longStream reports whether the request would be a long stream on an engine.
func (r Request) longStream(e *Engine) bool {
	if r.Objective <= 0 || e.Model == nil {
		return false
	}
	return e.Model.DecodeMillis(r.OutputTokens) > longStreamFactor*enginemodel.Millis(r.Objective)
}

// LongSlots returns how many long streams an engine with the given slots accepts.
func LongSlots(slots int) int { return max(1, slots-int(math.Ceil(shortSlotShare*float64(slots)))) }

// linkWindow is the time over which link utilisation is measured.
const linkWindow = time.Second

// rankDecodeEngines ranks the decode engines by the hash of their IDs, the order in which
// they are dedicated to decoding.
func rankDecodeEngines(engines []Engine) {
	var decode []*Engine
	for i := range engines {
		if e := &engines[i]; e.Role == upstream.RoleDecode {
			decode = append(decode, e)
		}
	}
	slices.SortFunc(decode, func(a, b *Engine) int { return cmp.Compare(a.hash, b.hash) })
	for i, e := range decode {
		e.decodeRank = i
	}
}

// markDedicatedDecode dedicates as many decode engines as the demand requires, the first by
// rank, to long streams and handoffs. A handoff puts the whole prompt into the engine's
// memory, which evicts shared parts, and prefill next to streams delays them; the other
// engines prefill undisturbed. All daemons mark the same engines.
func markDedicatedDecode(engines []Engine) {
	need := 0.0
	for i := range engines {
		if e := &engines[i]; e.Role == upstream.RoleDecode {
			e.decodeDemand = decodeDemand(e)
			need += e.decodeDemand
		}
	}
	marked := 1 + int(need)
	for i := range engines {
		e := &engines[i]
		e.dedicatedDecode = e.Role == upstream.RoleDecode && e.decodeRank < marked
	}
}

// decodeDemand is the share of the engine's capacity that decoding takes, by long streams,
// KV memory or link time, whichever is scarcest. It can exceed 1.
func decodeDemand(e *Engine) float64 {
	share := float64(e.LongStreams) / longStreamCapacity(e)
	if e.KVTokens > 0 {
		share = max(share, float64(e.ReservedKVTokens)/(reservedKVShare*float64(e.KVTokens)))
	}
	return max(share, e.RecentTransfers(linkWindow)/(linkShare*enginemodel.Millis(linkWindow)))
}

// DecodeDemand returns the decode demand of some engines, as a number of engines.
func DecodeDemand(engines []Engine) float64 {
	sum := 0.0
	for i := range engines {
		if engines[i].Role == upstream.RoleDecode {
			sum += decodeDemand(&engines[i])
		}
	}
	return sum
}

// decodeChoice is an engine that continues from another engine's KV cache, with the time
// until its first event and its further cost. engine is nil if none is available.
type decodeChoice struct {
	engine              *Engine
	handoffMillis, cost float64
}

// decodeChoiceFor is the best decode engine for prompts prefilled in a data centre.
type decodeChoiceFor struct {
	dataCentre string
	decodeChoice
}

// decodeEngineFor returns the best decode engine for a prompt prefilled in a data centre.
// It is determined once per data centre rather than once per prefill engine.
func (s *search) decodeEngineFor(dataCentre string, r Request) decodeChoice {
	for _, choice := range s.decodeChoices {
		if choice.dataCentre == dataCentre {
			return choice.decodeChoice
		}
	}
	best := cheapestDecodeEngine(s.engines, dataCentre, r)
	s.decodeChoices = append(s.decodeChoices, decodeChoiceFor{dataCentre, best})
	return best
}

// cheapestDecodeEngine returns the engine with the lowest cost of continuing from a KV
// cache in the given data centre.
func cheapestDecodeEngine(engines []Engine, from string, r Request) decodeChoice {
	var best decodeChoice
	least := math.Inf(1)
	for i := range engines {
		e := &engines[i]
		if e.Role != upstream.RoleDecode || excluded(e, r) || full(e, r) {
			continue
		}
		handoffTime := e.LinkMillis + e.Model.HandoffMillis(r.PromptTokens, e.QueueMillis)
		transferTime := float64(r.PromptTokens) * e.TransferMillisPerToken
		if e.DataCentre != from {
			handoffTime += (crossCentreFactor - 1) * transferTime
			transferTime *= crossCentreFactor
		}
		cost := transferWeight*transferTime + crossCentreCost(e, r) + decodeContention(e, r) + deadlineCost(e, handoffTime, r)
		if total := cost + firstTokenWeight*handoffTime; total < least {
			best, least = decodeChoice{e, handoffTime, cost}, total
		}
	}
	return best
}

// decodeContention is the cost of decoding on an engine due to its other work.
func decodeContention(e *Engine, r Request) float64 {
	typical := e.Model.TypicalPrefillMillis()
	cost := typical * e.decodeDemand
	if !e.dedicatedDecode {
		cost += notDedicatedCost * typical
	}
	// Pending prefills would make the gaps of the stream too long.
	if r.GapObjective > 0 && maxGap(e, 0) > gapMargin*enginemodel.Millis(r.GapObjective) {
		cost += missedGapCost * typical
	}
	return cost
}
