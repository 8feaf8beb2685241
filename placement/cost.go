package placement

import (
	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// The weights of a plan's cost, in milliseconds of an engine's time.
const (
	// waitWeight is what a millisecond of the time to the first token counts
	// while the request is expected in time, lateWeight beyond that. Work counts
	// in full: a part read a second time keeps others waiting, whom this request
	// never meets.
	waitWeight = 0.25
	lateWeight = 3.0
	// mostLate bounds the cost of being late, in readings of a typical prompt: it is
	// one answer that is lost, not those of all streams beside which it could be read.
	mostLate = 4.0
	// comfort is the share of the objective up to which a first event counts as
	// certainly in time.
	comfort = 0.6
	// fetchWeight is what a millisecond of moving KV caches counts. It keeps no
	// engine from its work, but is paid for.
	fetchWeight = 0.5
	// crossing is the way to another data centre and back, crossingPerKB what
	// each KB of the request that crosses counts, in readings of a typical prompt: such
	// bytes are paid for.
	crossing      = 0.04
	crossingPerKB = 0.045
	// acrossFactor is how much longer KV caches take to another data centre.
	acrossFactor = 2.0
	// pauseShare is the share of the objective for pauses up to which a pause counts
	// as certainly in time.
	pauseShare = 0.8
	// harmShare is what a stream whose pause is made too long counts, in readings of
	// a typical prompt: its answer is then worth about half of what its reading cost.
	harmShare = 0.5
	// slowedShare is what reading counts beside streams that it doesn't make late, in
	// shares of itself: they take longer, and hold their places and memory meanwhile.
	slowedShare = 0.5
)

// crossCost is the cost of the request's way to an engine.
func crossCost(e *Engine, r Request) float64 {
	if e.DataCentre == r.DataCentre {
		return 0
	}
	return (crossing + crossingPerKB*float64(r.BodyBytes)/1000) * e.Model.TypicalPrefillMillis()
}

// waitCost is the cost of a time to the first token.
func waitCost(e *Engine, first float64, r Request) float64 {
	cost := waitWeight * first
	if r.Objective <= 0 {
		return cost
	}
	if certain := comfort * enginemodel.Millis(r.Objective-r.Elapsed); first > certain {
		cost += min(lateWeight*(first-certain), mostLate*e.Model.TypicalPrefillMillis())
	}
	return cost
}

// pause returns the longest pause that streams of an engine see if it reads for some
// more milliseconds: what it reads between two events comes on top of their interval.
func pause(e *Engine, read float64) float64 {
	return e.Model.IntervalMillis(e.Running) + max(e.QueueMillis, e.readLately) + read
}

// readBesideStreams is the cost of reading at an engine that generates too.
func readBesideStreams(e *Engine, r Request, read float64) float64 {
	if e.Running == 0 {
		return 0
	}
	cost := slowedShare*read + overrunCost(e, read)
	if r.GapObjective > 0 && pause(e, read) > pauseShare*enginemodel.Millis(r.GapObjective) {
		cost += harmShare * float64(e.Running) * e.Model.TypicalPrefillMillis()
	}
	return cost
}

// holders are the engines that keep the most of a prompt.
type holders struct {
	// best keeps the most tokens that can be fetched; nil if none keeps any. near are
	// those of each data centre that keep as many.
	best *Engine
	near []*Engine
	// coming is the most that any engine keeps or is reading.
	coming int
	// draw is the request's own, by which it chooses among engines alike.
	draw uint64
}

// lookUpCaches asks for what each engine keeps of the prompt.
func (h *holders) lookUpCaches(engines []Engine, r Request) {
	h.best, h.near, h.coming, h.draw = nil, h.near[:0], 0, r.draw()
	shared := sharedParts(r.Parts)
	for i := range engines {
		e := &engines[i]
		e.kept = e.Cached(shared)
		h.coming = max(h.coming, e.kept.Expected)
		if e.kept.Ready > 0 {
			h.add(e)
		}
	}
}

// add takes an engine that keeps some of the prompt.
func (h *holders) add(e *Engine) {
	switch {
	case h.best == nil || e.kept.Ready > h.best.kept.Ready:
		h.best, h.near = e, append(h.near[:0], e)
		return
	case e.kept.Ready < h.best.kept.Ready:
		return
	case h.freer(e, h.best):
		h.best = e
	}
	for i, other := range h.near {
		if other.DataCentre == e.DataCentre {
			if h.freer(e, other) {
				h.near[i] = e
			}
			return
		}
	}
	h.near = append(h.near, e)
}

// freer reports whether the request rather fetches from an engine than from another that
// keeps as much.
func (h *holders) freer(e, o *Engine) bool {
	if e.LinkMillis != o.LinkMillis {
		return e.LinkMillis < o.LinkMillis
	}
	return e.hash^h.draw < o.hash^h.draw
}

// draw returns a number that differs between requests with the same shared parts.
func (r Request) draw() uint64 {
	if len(r.Parts) == 0 {
		return 0
	}
	return r.Parts[len(r.Parts)-1].ID * 0x9e3779b97f4a7c15
}

// source returns the engine from which another one best fetches what it lacks: one of its
// data centre if any keeps as much as the best, since the way from another one takes
// twice as long. Of several it is the one whose link is the least busy, and of these any:
// parts that many prompts share are kept by many engines, and would all be fetched from
// the first.
func (h *holders) source(to *Engine) *Engine {
	for _, e := range h.near {
		if e.DataCentre == to.DataCentre {
			return e
		}
	}
	return h.best
}

// fetching is a KV cache to be fetched.
type fetching struct {
	from   *Engine
	tokens int
	// millis is the time until it has come.
	millis float64
}

// leastFetch is the share of the time of reading that fetching must save: what is
// believed to be kept there may be gone.
const leastFetch = 0.5

// toRead returns what an engine has to read of the prompt, and what it fetches
// before, if that is sooner than to read it. Replayed, a burst of long prompts with
// shared parts is answered in time by 0.79 with fetching and by 0.70 without, and a
// quarter as many tokens are read again.
func toRead(e *Engine, sources *holders, r Request) (enginemodel.Prompt, fetching) {
	kept := min(e.kept.Expected, r.PromptTokens-1)
	prompt := enginemodel.Prompt{Tokens: r.PromptTokens - kept, Context: kept}
	from := sources.source(e)
	if from == nil || from == e || from.kept.Ready <= kept || e.TransferMillisPerToken <= 0 {
		return prompt, fetching{}
	}
	lacking := from.kept.Ready - kept
	move := moveMillis(from, e, lacking)
	saved := e.Model.PrefillMillis(e.Role, enginemodel.Prompt{Tokens: lacking, Context: kept})
	if move > leastFetch*saved {
		return prompt, fetching{}
	}
	kept = min(from.kept.Ready, r.PromptTokens-1)
	prompt = enginemodel.Prompt{Tokens: r.PromptTokens - kept, Context: kept}
	return prompt, fetching{from: from, tokens: lacking, millis: max(from.LinkMillis, e.LinkMillis) + move}
}

// moveMillis is the time that the KV cache of some tokens is on its way.
func moveMillis(from, to *Engine, tokens int) float64 {
	took := float64(tokens) * to.TransferMillisPerToken
	if from.DataCentre != to.DataCentre {
		took *= acrossFactor
	}
	return took
}

// longCost keeps streams that last for long together, on the engines set apart for
// generating: see markGenerators. These share them: a cost for each next one would fill the
// first ones up beyond what leaves their longest streams whole, with room on the others.
func longCost(e *Engine, r Request) float64 {
	if !r.long(e) || e.generator || e.Role != upstream.RoleDecode {
		return 0
	}
	return openingLong * float64(e.rank) * e.Model.TypicalPrefillMillis()
}
