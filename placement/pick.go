package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/upstream"
)

// The figures of the time estimate, in milliseconds. They are about what engines
// show beside the reading of the prompt.
const (
	// firstStep is from the end of the prompt to the first event.
	firstStep = 6.0
	// handoff is the setting up of a KV transfer; its bytes take under a
	// millisecond on the links that engines have.
	handoff = 2.5
	// crossing is the way to another data centre and back, with the price of
	// the bytes that cross in it.
	crossing = 4.0
	// homeBonus is the share of its time that a prompt's home engine is
	// favoured by, so that daemons that know nothing of each other's requests
	// still send a shared prompt to the same engine.
	homeBonus = 0.15
	// streamBurden is what reading a prompt costs the streams that run beside
	// it, as a share of the reading time for each.
	streamBurden = 0.02
)

// Pick returns the plan with the least expected time to the first token among
// the engines that have a free place. ok is false if none has.
func Pick(engines []Engine, r Request) (plan Plan, ok bool) {
	best := math.Inf(1)
	generator, generatorCost := cheapestGenerator(engines, r)
	homeID := home(engines, r)
	for i := range engines {
		e := &engines[i]
		if excluded(e, r) {
			continue
		}
		p := Plan{Engine: e.ID, Uncached: uncached(e, r)}
		cost := readTime(e, p.Uncached) + crossTime(e, r)
		if e.ID == homeID {
			cost *= 1 - homeBonus
		}
		switch {
		case e.Role == upstream.RolePrefill && generator != nil:
			p.Engine, p.Prefill = generator.ID, e.ID
			cost += handoff + generatorCost
		case e.Role == upstream.RolePrefill, full(e):
			continue
		default:
			cost *= 1 + streamBurden*float64(e.Running)
		}
		plan.Considered++
		if cost < best {
			best = cost
			considered := plan.Considered
			plan = p
			plan.Considered = considered
			plan.Queue = millis(readTime(e, 0))
			plan.FirstToken = millis(readTime(e, p.Uncached) + firstStep)
		}
	}
	return plan, !math.IsInf(best, 1)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func excluded(e *Engine, r Request) bool { return slices.Contains(r.Exclude, e.ID) }

func full(e *Engine) bool { return e.Slots > 0 && e.Running >= e.Slots }

// cheapestGenerator returns the engine with the least work that can generate
// from another engine's KV cache.
func cheapestGenerator(engines []Engine, r Request) (*Engine, float64) {
	var best *Engine
	least := math.Inf(1)
	for i := range engines {
		e := &engines[i]
		if e.Role != upstream.RoleDecode || excluded(e, r) || full(e) {
			continue
		}
		cost := e.PendingTokens/max(1, e.TokensPerMilli)/2 + crossTime(e, r) + float64(e.Running)*0.5
		if cost < least {
			best, least = e, cost
		}
	}
	return best, least
}

func uncached(e *Engine, r Request) int {
	if e.Cached == nil {
		return r.PromptTokens
	}
	return max(1, r.PromptTokens-e.Cached(r.Parts))
}

// readTime is the time until the engine has read the prompts sent there and
// this one, in milliseconds.
func readTime(e *Engine, tokens int) float64 {
	return (e.PendingTokens + float64(tokens)) / max(1, e.TokensPerMilli)
}

func crossTime(e *Engine, r Request) float64 {
	if e.DataCentre == r.DataCentre {
		return 0
	}
	return crossing
}

// home returns the engine that a prompt belongs to by rendezvous hashing,
// weighted by the engines' rates; "" if the prompt shares nothing.
func home(engines []Engine, r Request) string {
	if len(r.Parts) < 2 {
		return ""
	}
	shared := r.Parts[len(r.Parts)-2].ID
	best, bestScore := "", math.Inf(-1)
	for i := range engines {
		if score := rendezvous(shared, &engines[i]); score > bestScore {
			best, bestScore = engines[i].ID, score
		}
	}
	return best
}

// rendezvous is the weighted score of an engine for a key.
func rendezvous(key uint64, e *Engine) float64 {
	h := xxhash.Sum64String(e.ID) ^ key*0x9e3779b97f4a7c15
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(h >> (8 * i))
	}
	u := (float64(xxhash.Sum64(raw[:])>>11) + 0.5) / (1 << 53)
	return -max(1, e.TokensPerMilli) / math.Log(u)
}

// PickService returns the plain upstream with the fewest requests for its slots.
func PickService(upstreams []Engine, r Request) (id string, wait bool, ok bool) {
	best := math.Inf(1)
	for i := range upstreams {
		u := &upstreams[i]
		if excluded(u, r) {
			continue
		}
		slots := max(1, float64(u.Slots))
		cost := float64(u.Running) / slots
		if u.Running >= u.Slots {
			cost++ // a free slot elsewhere is better than any queue
		}
		if u.DataCentre != r.DataCentre {
			cost += 0.3
		}
		cost += u.LatencyMillis / 1000
		if cost < best {
			best, id, wait = cost, u.ID, u.Running >= u.Slots
		}
	}
	return id, wait, id != ""
}
