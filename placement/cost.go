package placement

import (
	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// The weights of a plan's cost, in milliseconds of engine time.
const (
	// firstTokenWeight is the cost of a millisecond of time to first token; lateWeight is
	// added to it beyond objectiveMargin. Engine work counts in full: prefilling a part a
	// second time delays other requests.
	firstTokenWeight = 0.25
	lateWeight       = 3.0
	// maxLateCost bounds the cost of missing the objective, in typical prefills: one
	// response is lost, not those of all concurrent streams.
	maxLateCost = 4.0
	// objectiveMargin is the share of the objective up to which a first event is considered
	// safe.
	objectiveMargin = 0.6
	// transferWeight is the cost of a millisecond of KV transfer. Transfers don't occupy
	// the engine, but they use bandwidth that is paid for.
	transferWeight = 0.5
	// crossCentreBase is the cost of the round trip to another data centre,
	// crossCentrePerKB that of each KB of the request, in typical prefills. Traffic between
	// data centres is paid for.
	crossCentreBase  = 0.04
	crossCentrePerKB = 0.045
	// crossCentreFactor is how much longer KV transfers to another data centre take.
	crossCentreFactor = 2.0
	// gapMargin is the share of the gap objective up to which a gap is considered safe.
	gapMargin = 0.8
	// missedGapCost is the cost per stream that misses its gap objective, in typical
	// prefills: its response is then worth about half of what its prefill cost.
	missedGapCost = 0.5
	// slowdownShare is the cost of prefill concurrent with streams that still meet their
	// objectives, as a share of the prefill: the streams take longer and hold their slots
	// and memory meanwhile.
	slowdownShare = 0.5
)

// crossCentreCost is the cost of sending the request to the engine's data centre.
func crossCentreCost(e *Engine, r Request) float64 {
	if e.DataCentre == r.DataCentre {
		return 0
	}
	return (crossCentreBase + crossCentrePerKB*float64(r.BodyBytes)/1000) * e.Model.TypicalPrefillMillis()
}

// firstTokenCost is the cost of a time to first token.
func firstTokenCost(e *Engine, first float64, r Request) float64 {
	cost := firstTokenWeight * first
	if r.Objective <= 0 {
		return cost
	}
	if safe := objectiveMargin * enginemodel.Millis(r.Objective-r.Elapsed); first > safe {
		cost += min(lateWeight*(first-safe), maxLateCost*e.Model.TypicalPrefillMillis())
	}
	return cost
}

// maxGap returns the longest gap that streams of an engine see if it also does a prefill of
// the given milliseconds: prefill between two events adds to their interval.
func maxGap(e *Engine, prefill float64) float64 {
	return e.Model.IntervalMillis(e.Running) + max(e.QueueMillis, e.recentPrefill) + prefill
}

// concurrentPrefillCost is the cost that a prefill imposes on the engine's running streams.
func concurrentPrefillCost(e *Engine, r Request, prefill float64) float64 {
	if e.Running == 0 {
		return 0
	}
	cost := slowdownShare*prefill + overrunCost(e, prefill)
	if r.GapObjective > 0 && maxGap(e, prefill) > gapMargin*enginemodel.Millis(r.GapObjective) {
		cost += missedGapCost * float64(e.Running) * e.Model.TypicalPrefillMillis()
	}
	return cost
}

// cacheSources are the engines that have the longest prefix of a prompt cached.
type cacheSources struct {
	// best has the most tokens available for transfer; nil if none has any. nearest holds
	// one engine per data centre that has as many.
	best    *Engine
	nearest []*Engine
	// expected is the longest prefix that any engine has cached or is prefilling.
	expected int
	// tieBreak is the request's own value by which it chooses among equal engines.
	tieBreak uint64
}

// lookUpCaches determines what each engine has cached of the prompt.
func (s *cacheSources) lookUpCaches(engines []Engine, r Request) {
	s.best, s.nearest, s.expected, s.tieBreak = nil, s.nearest[:0], 0, r.tieBreak()
	shared := sharedParts(r.Parts)
	for i := range engines {
		e := &engines[i]
		e.cached = e.Cached(shared)
		s.expected = max(s.expected, e.cached.Expected)
		if e.cached.Ready > 0 {
			s.add(e)
		}
	}
}

// add considers an engine that has part of the prompt cached.
func (s *cacheSources) add(e *Engine) {
	switch {
	case s.best == nil || e.cached.Ready > s.best.cached.Ready:
		s.best, s.nearest = e, append(s.nearest[:0], e)
		return
	case e.cached.Ready < s.best.cached.Ready:
		return
	case s.betterSource(e, s.best):
		s.best = e
	}
	for i, other := range s.nearest {
		if other.DataCentre == e.DataCentre {
			if s.betterSource(e, other) {
				s.nearest[i] = e
			}
			return
		}
	}
	s.nearest = append(s.nearest, e)
}

// betterSource reports whether e is a better source than o, which has as much cached.
func (s *cacheSources) betterSource(e, o *Engine) bool {
	if e.LinkMillis != o.LinkMillis {
		return e.LinkMillis < o.LinkMillis
	}
	return e.hash^s.tieBreak < o.hash^s.tieBreak
}

// tieBreak returns a value that differs between requests with the same shared parts.
func (r Request) tieBreak() uint64 {
	if len(r.Parts) == 0 {
		return 0
	}
	return r.Parts[len(r.Parts)-1].ID * 0x9e3779b97f4a7c15
}

// source returns the best engine to transfer from: one of the same data centre if any has
// the full prefix, as transfers between data centres take twice as long. Among several, the
// least busy link wins, then a value that differs per request: widely cached parts would
// otherwise all be transferred from the first engine.
func (s *cacheSources) source(to *Engine) *Engine {
	for _, e := range s.nearest {
		if e.DataCentre == to.DataCentre {
			return e
		}
	}
	return s.best
}

// transfer is a KV transfer that precedes a prefill.
type transfer struct {
	from   *Engine
	tokens int
	// millis is the time until the transfer is complete.
	millis float64
}

// maxTransferShare is the longest transfer worth doing, as a share of the prefill time it
// saves: the parts assumed to be cached may have been evicted.
const maxTransferShare = 0.5

// planPrefill returns what an engine has to prefill, and the KV transfer before it if that
// is faster than prefilling. Without transfers, fewer prompts meet their objective in bursts
// of long prompts with shared parts (0.70 of them rather than 0.79), and four times as many
// cached tokens are prefilled again.
func planPrefill(e *Engine, sources *cacheSources, r Request) (enginemodel.Prompt, transfer) {
	cached := min(e.cached.Expected, r.PromptTokens-1)
	prompt := enginemodel.Prompt{Tokens: r.PromptTokens - cached, Context: cached}
	from := sources.source(e)
	if from == nil || from == e || from.cached.Ready <= cached || e.TransferMillisPerToken <= 0 {
		return prompt, transfer{}
	}
	missing := from.cached.Ready - cached
	transferTime := transferMillis(from, e, missing)
	saved := e.Model.PrefillMillis(e.Role, enginemodel.Prompt{Tokens: missing, Context: cached})
	if transferTime > maxTransferShare*saved {
		return prompt, transfer{}
	}
	cached = min(from.cached.Ready, r.PromptTokens-1)
	prompt = enginemodel.Prompt{Tokens: r.PromptTokens - cached, Context: cached}
	return prompt, transfer{from: from, tokens: missing, millis: max(from.LinkMillis, e.LinkMillis) + transferTime}
}

// transferMillis is the time to transfer the KV cache of some tokens.
func transferMillis(from, to *Engine, tokens int) float64 {
	took := float64(tokens) * to.TransferMillisPerToken
	if from.DataCentre != to.DataCentre {
		took *= crossCentreFactor
	}
	return took
}

// longStreamCost keeps long streams on the engines dedicated to decoding (see
// markDedicatedDecode). It is the same for all of these: a cost that rises from one to the
// next would overload the first ones until their longest streams miss their deadlines.
func longStreamCost(e *Engine, r Request) float64 {
	if !r.longStream(e) || e.dedicatedDecode || e.Role != upstream.RoleDecode {
		return 0
	}
	return nextEngineCost * float64(e.decodeRank) * e.Model.TypicalPrefillMillis()
}
