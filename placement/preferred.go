package placement

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// preferenceShares are the cost reductions for a prompt's first, second and third preferred
// engine, as shares of the prefill time of its shared parts. They make daemons send a
// shared prompt to the same engines without knowing of each other's requests.
var preferenceShares = [...]float64{0.4, 0.25, 0.1}

func preferenceBonus(e *Engine, r Request) float64 {
	if e.preference >= len(preferenceShares) {
		return 0
	}
	shared := sumTokens(sharedParts(r.Parts))
	return preferenceShares[e.preference] * e.Model.MeanPrefillMillis(enginemodel.Prompt{Tokens: shared})
}

// markPreferred determines the prompt's preferred engines by rendezvous hashing. Engines
// dedicated to decoding come last. A prompt without shared parts gets a random order.
func markPreferred(engines []Engine, r Request) {
	key := rand.Uint64()
	if shared := sharedParts(r.Parts); len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	var best [len(preferenceShares)]scored
	found := 0
	for i := range engines {
		e := &engines[i]
		e.preference = len(preferenceShares)
		candidate := scored{engine: e, score: math.Inf(-1)}
		if !e.dedicatedDecode {
			candidate.score = rendezvous(key, e)
		}
		found = candidate.insert(best[:], found)
	}
	for i, candidate := range best[:found] {
		candidate.engine.preference = i
	}
}

// scored is an engine with its rendezvous score.
type scored struct {
	engine *Engine
	score  float64
}

// insert adds s to the sorted list of the best, which has found entries, and returns the
// new number of entries.
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

// rendezvous is the weighted score of an engine for a key: a uniform number in (0, 1) to
// the power of 1/weight. Prefill engines have twice the weight of decode engines, which
// prefill at half the speed. Learned rates are not used since they differ between daemons,
// which have to agree.
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
