package placement

import (
	"math"
	"slices"
	"time"

	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// Pick returns the plan with the lowest cost among the engines with a free slot. ok is
// false if there is none. Tracker.Pick does the same without allocating a list of engines.
func Pick(engines []Engine, r Request) (plan Plan, ok bool) {
	return newSearch(engines).pick(r)
}

// search holds the state of one decision.
type search struct {
	engines []Engine
	// lastResorts counts the ejected upstreams that still answer some requests.
	lastResorts int
	// sources are the engines with the longest cached prefix of the prompt.
	sources cacheSources
	// decodeChoices caches the best decode engine by the data centre of the prefill.
	decodeChoices []decodeChoiceFor
	// updateDelay is how long it takes until other daemons' work is known here.
	updateDelay time.Duration
	// draw returns a random factor with mean 1 for unseen work of other daemons.
	draw func() float64
}

// newSearch returns a search over engines, whose decode ranks it sets.
func newSearch(engines []Engine) *search {
	rankDecodeEngines(engines)
	return &search{engines: engines}
}

func (s *search) pick(r Request) (plan Plan, ok bool) {
	s.prepare(r)
	best, least := math.Inf(1), math.Inf(1)
	var withoutUnseen Plan
	candidates := 0
	capacity := !r.Late || hasLateCapacity(s.engines)
	for i := range s.engines {
		e := &s.engines[i]
		if !capacity || excluded(e, r) || full(e, r) || unmeasured(e) || r.WithoutPrefill && e.Role == upstream.RolePrefill {
			continue
		}
		p, cost, unseenCost, fits := s.consider(e, r)
		if !fits || (r.Late && delaysOthers(e, p, r)) {
			continue
		}
		candidates++
		if cost < least {
			least, withoutUnseen = cost, p
		}
		if cost+unseenCost < best {
			best, plan = cost+unseenCost, p
		}
	}
	if !plan.MeetsLimit(r) {
		plan = withoutUnseen // the random estimate must not make a request miss a limit that it can meet
	}
	plan.Candidates = candidates
	plan.IdealFirstToken = s.ideal(r)
	return plan, !math.IsInf(best, 1)
}

// prepare computes the per-engine values that the decision uses several times.
func (s *search) prepare(r Request) {
	s.decodeChoices = s.decodeChoices[:0]
	for i := range s.engines {
		e := &s.engines[i]
		e.recentPrefill, e.windowPrefill = e.RecentPrefill(r.GapObjective), e.RecentPrefill(recentWindow)
	}
	markDedicatedDecode(s.engines)
	markPreferred(s.engines, r)
	s.sources.lookUpCaches(s.engines, r)
	s.drawUnseen()
}

func (s *search) pickDecode(dataCentre string, r Request) (plan Plan, ok bool) {
	s.prepare(r)
	choice := s.decodeEngineFor(dataCentre, r)
	if choice.engine == nil {
		return Plan{}, false
	}
	return Plan{
		Engine: choice.engine.ID, FirstToken: fromMillis(choice.handoffMillis), MaxGap: fromMillis(maxGap(choice.engine, 0)), Candidates: len(s.engines),
		Completion: completionTime(choice.engine, choice.handoffMillis, r), Concurrent: choice.engine.Running,
	}, true
}

// consider returns the plan in which e prefills the prompt, its cost, and the extra cost of
// unseen work. fits is false if no engine can decode then.
func (s *search) consider(e *Engine, r Request) (p Plan, cost, unseenCost float64, fits bool) {
	p = Plan{Engine: e.ID, LongStream: r.longStream(e)}
	prompt, kvTransfer := planPrefill(e, &s.sources, r)
	p.Uncached, p.Transferred = prompt.Tokens, kvTransfer.tokens
	if kvTransfer.from != nil {
		p.Source = kvTransfer.from.ID
	}
	p.Recomputes = s.sources.expected > prompt.Context
	prefill := e.Model.PrefillMillis(e.Role, prompt) * e.PrefillSlowdown
	first := max(e.QueueMillis, kvTransfer.millis) + prefill + e.Model.StartMillis(e.Role)
	p.QueueTime, p.PrefillTime = fromMillis(e.QueueMillis), fromMillis(prefill)
	at := e
	work := e.Model.MeanPrefillMillis(prompt)
	cost = work + crossCentreCost(e, r) + transferWeight*kvTransfer.millis - preferenceBonus(e, r)
	if e.Role == upstream.RolePrefill {
		decode := s.decodeEngineFor(e.DataCentre, r)
		if decode.engine == nil {
			return p, 0, 0, false
		}
		at = decode.engine
		p.Engine, p.Prefill = decode.engine.ID, e.ID
		p.MaxGap = fromMillis(maxGap(decode.engine, 0))
		first += decode.handoffMillis
		cost += decode.cost
	} else {
		p.MaxGap = fromMillis(maxGap(e, prefill))
		cost += concurrentPrefillCost(e, r, prefill) + longStreamCost(e, r) + deadlineCost(e, first, r)
	}
	p.FirstToken, p.Completion, p.Concurrent = fromMillis(first), completionTime(at, first, r), at.Running
	wait := firstTokenCost(e, first, r)
	return p, cost + wait, firstTokenCost(e, first+e.unseenPrefill, r) - wait, true
}

// MeetsLimit reports whether the first event is expected within the request's limit.
func (p Plan) MeetsLimit(r Request) bool {
	limit := r.FirstTokenLimit
	if p.Recomputes {
		limit = r.RecomputeLimit
	}
	return limit == 0 || p.FirstToken <= limit
}

// PrefillWork returns what remains to be prefilled under the plan.
func (p Plan) PrefillWork(r Request) enginemodel.Prompt {
	return enginemodel.Prompt{Tokens: p.Uncached, Context: r.PromptTokens - p.Uncached}
}

// ideal returns the expected time to the first token on an engine without a queue that has
// every part cached that any engine has.
func (s *search) ideal(r Request) time.Duration {
	best := math.Inf(1)
	cached := min(s.sources.expected, r.PromptTokens-1)
	prompt := enginemodel.Prompt{Tokens: r.PromptTokens - cached, Context: cached}
	var last *Engine
	for i := range s.engines {
		e := &s.engines[i]
		if last != nil && last.Role == e.Role && last.Model == e.Model {
			continue // same prediction
		}
		last = e
		took := e.Model.PrefillMillis(e.Role, prompt) + e.Model.StartMillis(e.Role)
		if e.Role == upstream.RolePrefill {
			took += e.Model.HandoffMillis(r.PromptTokens, 0)
		}
		best = min(best, took)
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return fromMillis(best)
}

func excluded(e *Engine, r Request) bool { return slices.Contains(r.Exclude, e.ID) }

// unmeasured reports whether an engine has a pending prefill while no prefill time of its
// role is known. Otherwise the whole first burst would be admitted, and most of it be late.
func unmeasured(e *Engine) bool { return e.PendingPrefillMillis > 0 && !e.Model.Known(e.Role) }

// full reports whether an engine has no slot for one more request.
func full(e *Engine, r Request) bool {
	if e.Slots <= 0 {
		return false
	}
	return e.Running >= e.Slots || (e.Role == upstream.RoleDecode && !r.Begun && r.longStream(e) && e.LongStreams >= LongSlots(e.Slots))
}
