package placement

import (
	"math"
	"slices"
	"time"

	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// Pick returns the plan with the least cost among the engines that have a free
// place. ok is false if none has. Books.Pick does the same without a list made for it.
func Pick(engines []Engine, r Request) (plan Plan, ok bool) {
	return newSearch(engines).pick(r)
}

// search is one decision among some engines.
type search struct {
	engines []Engine
	// sources are the engines that keep the most of the prompt.
	sources holders
	// generators are the best generators for prompts read in each data centre.
	generators []generatorFor
	// blind is how long other daemons' work takes to be known.
	blind time.Duration
	// draw returns a number by which others' unknown work is drawn, 1 on average.
	draw func() float64
}

// newSearch returns a search in which the order of generators is known.
func newSearch(engines []Engine) *search {
	rankGenerators(engines)
	return &search{engines: engines}
}

func (s *search) pick(r Request) (plan Plan, ok bool) {
	s.prepare(r)
	best, least := math.Inf(1), math.Inf(1)
	var plain Plan
	considered := 0
	room := !r.Late || roomBehind(s.engines)
	for i := range s.engines {
		e := &s.engines[i]
		if !room || excluded(e, r) || full(e, r) || unproven(e) {
			continue
		}
		p, cost, drawn, fits := s.consider(e, r)
		if !fits || (r.Late && disturbs(e, p, r)) {
			continue
		}
		considered++
		if cost < least {
			least, plain = cost, p
		}
		if cost+drawn < best {
			best, plan = cost+drawn, p
		}
	}
	if !plan.MeetsLimit(r) {
		plan = plain // the draw must not make a request late that needn't be
	}
	plan.Candidates = considered
	plan.IdealFirstToken = s.ideal(r)
	return plan, !math.IsInf(best, 1)
}

// prepare finds out once for each engine what the decision asks of several.
func (s *search) prepare(r Request) {
	s.generators = s.generators[:0]
	for i := range s.engines {
		e := &s.engines[i]
		e.readLately, e.readInWindow = e.RecentPrefill(r.GapObjective), e.RecentPrefill(rememberedFor)
	}
	markGenerators(s.engines)
	markHomes(s.engines, r)
	s.sources.lookUpCaches(s.engines, r)
	s.drawUnseen()
}

func (s *search) pickGenerator(dataCentre string, r Request) (plan Plan, ok bool) {
	s.prepare(r)
	g := s.generatorFor(dataCentre, r)
	if g.engine == nil {
		return Plan{}, false
	}
	return Plan{
		Engine: g.engine.ID, FirstToken: millis(g.takeover), MaxGap: millis(pause(g.engine, 0)), Candidates: len(s.engines),
		Completion: whole(g.engine, g.takeover, r), Concurrent: g.engine.Running,
	}, true
}

// consider returns the plan that an engine reads the prompt, its cost, and what is drawn on
// top for work that isn't known yet. fits is false if no engine can generate then.
func (s *search) consider(e *Engine, r Request) (p Plan, cost, drawn float64, fits bool) {
	p = Plan{Engine: e.ID, LongStream: r.long(e)}
	prompt, fetch := toRead(e, &s.sources, r)
	p.Uncached, p.Transferred = prompt.Tokens, fetch.tokens
	if fetch.from != nil {
		p.Source = fetch.from.ID
	}
	p.Recomputes = s.sources.coming > prompt.Context
	read := e.Model.PrefillMillis(e.Role, prompt) * e.PrefillSlowdown
	first := max(e.QueueMillis, fetch.millis) + read + e.Model.StartMillis(e.Role)
	p.QueueTime, p.PrefillTime = millis(e.QueueMillis), millis(read)
	at := e
	work := e.Model.MeanPrefillMillis(prompt)
	cost = work + crossCost(e, r) + fetchWeight*fetch.millis - homeBonus(e, r)
	if e.Role == upstream.RolePrefill {
		g := s.generatorFor(e.DataCentre, r)
		if g.engine == nil {
			return p, 0, 0, false
		}
		at = g.engine
		p.Engine, p.Prefill = g.engine.ID, e.ID
		p.MaxGap = millis(pause(g.engine, 0))
		first += g.takeover
		cost += g.cost
	} else {
		p.MaxGap = millis(pause(e, read))
		cost += readBesideStreams(e, r, read) + longCost(e, r) + wholeCost(e, first, r)
	}
	p.FirstToken, p.Completion, p.Concurrent = millis(first), whole(at, first, r), at.Running
	wait := waitCost(e, first, r)
	return p, cost + wait, waitCost(e, first+e.unseen, r) - wait, true
}

// InTime reports whether the first event is expected soon enough for the plan to be of use.
func (p Plan) MeetsLimit(r Request) bool {
	limit := r.FirstTokenLimit
	if p.Recomputes {
		limit = r.RecomputeLimit
	}
	return limit == 0 || p.FirstToken <= limit
}

// PromptAt returns what the engine that reads the prompt under a plan has to read.
func (p Plan) PrefillWork(r Request) enginemodel.Prompt {
	return enginemodel.Prompt{Tokens: p.Uncached, Context: r.PromptTokens - p.Uncached}
}

// ideal returns the expected time to the first token on an engine without a queue
// that keeps the parts that any keeps.
func (s *search) ideal(r Request) time.Duration {
	best := math.Inf(1)
	kept := min(s.sources.coming, r.PromptTokens-1)
	prompt := enginemodel.Prompt{Tokens: r.PromptTokens - kept, Context: kept}
	var last *Engine
	for i := range s.engines {
		e := &s.engines[i]
		if last != nil && last.Role == e.Role && last.Model == e.Model {
			continue // alike
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
	return millis(best)
}

func excluded(e *Engine, r Request) bool { return slices.Contains(r.Exclude, e.ID) }

// unproven reports whether an engine reads already and nothing is known yet of how
// fast such engines do. Without it the first burst would be let in whole, and most of
// it be late.
func unproven(e *Engine) bool { return e.PendingPrefillMillis > 0 && !e.Model.Known(e.Role) }

// full reports whether an engine has no place for one more request.
func full(e *Engine, r Request) bool {
	if e.Slots <= 0 {
		return false
	}
	return e.Running >= e.Slots || (e.Role == upstream.RoleDecode && r.long(e) && e.LongStreams >= LongSlots(e.Slots))
}
