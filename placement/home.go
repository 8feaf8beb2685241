package placement

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// homeShares is what a prompt's home engines are favoured by, the first, the second
// and so on, in shares of the time of reading its shared parts, so that daemons that
// know nothing of each other's requests still send a shared prompt to the same engines.
var homeShares = [...]float64{0.4, 0.25, 0.1}

func homeBonus(e *Engine, r Request) float64 {
	if e.home >= len(homeShares) {
		return 0
	}
	shared := sumTokens(sharedParts(r.Parts))
	return homeShares[e.home] * e.Model.MeanPrefillMillis(enginemodel.Prompt{Tokens: shared})
}

// markHomes marks the engines to which a prompt belongs first, by rendezvous hashing.
// Those set apart for generating come last; a prompt that shares nothing has an order of
// its own.
func markHomes(engines []Engine, r Request) {
	key := rand.Uint64()
	if shared := sharedParts(r.Parts); len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	var homes [len(homeShares)]scored
	found := 0
	for i := range engines {
		e := &engines[i]
		e.home = len(homeShares)
		h := scored{engine: e, score: math.Inf(-1)}
		if !e.generator {
			h.score = rendezvous(key, e)
		}
		found = h.insert(homes[:], found)
	}
	for i, h := range homes[:found] {
		h.engine.home = i
	}
}

// scored is an engine with the score by which prompts belong to it.
type scored struct {
	engine *Engine
	score  float64
}

// insert puts s into a list of the best, of which some are found, and returns how many are
// then.
func (s scored) insert(best []scored, found int) int {
	at := found
	for at > 0 && s.before(best[at-1]) {
		at--
	}
	if at == len(best) {
		return found
	}
	found = min(found+1, len(best))
	copy(best[at+1:found], best[at:])
	best[at] = s
	return found
}

func (s scored) before(o scored) bool {
	return s.score > o.score || (s.score == o.score && s.engine.ID < o.engine.ID)
}

// rendezvous is the weighted score of an engine for a key, a number drawn from 0 to 1 to
// the power of one over the engine's weight. Engines that only read have twice the weight
// of those that generate, which read at half the speed; learnt rates differ between
// daemons, which have to agree.
func rendezvous(key uint64, e *Engine) float64 {
	h := e.hash ^ key*0x9e3779b97f4a7c15
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], h)
	u := (float64(xxhash.Sum64(raw[:])>>11) + 0.5) / (1 << 53)
	if e.Role == upstream.RolePrefill {
		return math.Sqrt(u)
	}
	return u
}
