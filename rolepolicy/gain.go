package rolepolicy

import (
	"fmt"
	"time"

	"tamarackchute/upstream"
)

// Gain changes a role if the goodput gained over the expected length of the shift
// exceeds the weighted capacity lost by the change. Every leader plans for all data
// centres, with the candidates in the same order, but decides only about its own
// engines, so that leaders with the same view don't react twice to one shortage.
type Gain struct {
	c       Config
	learner learner
	history map[string]*history
	changes durations
	// chosen is the time since which an engine of another data centre has been
	// the candidate without a change by its own leader.
	chosen map[string]time.Time
}

// Defaults of Gain's settings.
const (
	// horizonChanges is the expected length of the first mix, in multiples of
	// ChangeDuration.
	horizonChanges = 40
	// minFresh is a share of the entries and of the engines: decisions are made
	// only if more than this share has recent reports.
	minFresh = 0.5
	// drainPrior is the assumed length of a change with its drain, in multiples
	// of ChangeDuration, until changes have been observed.
	drainPrior = 2
	// persistence is the goodput that must have been missed before a change, as a
	// share of the cost of a change: it filters out single noisy values.
	persistence = 0.1
)

// NewGain returns the policy with its defaults filled in.
func NewGain(c Config) *Gain {
	c.MaxAtOnce = max(1, c.MaxAtOnce)
	if c.Horizon <= 0 {
		c.Horizon = horizonChanges * c.ChangeDuration
	}
	return &Gain{
		c:       c,
		learner: newLearner(),
		history: map[string]*history{},
		changes: newDurations(drainPrior * c.ChangeDuration),
		chosen:  map[string]time.Time{},
	}
}

// Decide returns the changes that are worth their cost, at most MaxAtOnce less the
// ongoing ones.
func (g *Gain) Decide(s State, now time.Time) []Decision {
	for _, e := range s.Engines {
		if g.reported(e) {
			g.learner.observe(e)
		}
	}
	g.learner.forget(s.Engines)
	g.changes.observe(s.Engines, now)
	room := g.c.MaxAtOnce - changing(s)
	var out []Decision
	for _, p := range pools(s.Engines) {
		found := g.decidePool(p, s, now, room)
		room -= len(found)
		out = append(out, found...)
	}
	return out
}

// changing counts the data centre's engines in the middle of a change.
func changing(s State) int {
	n := 0
	for _, e := range s.Engines {
		if e.DataCentre == s.DataCentre && e.Changing {
			n++
		}
	}
	return n
}

func (g *Gain) decidePool(p pool, s State, now time.Time, room int) []Decision {
	h := g.history[p.key()]
	if h == nil {
		h = &history{regime: regime{mean: g.c.Horizon.Seconds()}}
		g.history[p.key()] = h
	}
	seen, fresh := sumDemand(p, s.Demand, now, g.c.MaxReportAge)
	if fresh <= minFresh {
		return nil
	}
	h.add(seen, now, g.c.ChangeDuration.Seconds())
	if !h.settled(g.c.ChangeDuration.Seconds()) {
		return nil
	}
	serving := g.servingEngines(p)
	if float64(len(serving)) <= minFresh*float64(len(p.engines)) {
		return nil
	}
	table, ok := g.learner.rates(serving)
	if !ok {
		return nil
	}
	problem := g.problem(table, serving, h, now)
	found := problem.best()
	h.missed.add(found.rate, now)
	if found.moves == 0 || room <= 0 || h.missed.sum < persistence*problem.unitCost() {
		return nil
	}
	return g.choose(problem, found, serving, s.DataCentre, now, room)
}

// reported reports whether the engine's report is recent enough to use.
func (g *Gain) reported(e Engine) bool {
	return g.c.MaxReportAge <= 0 || e.ReportAge <= g.c.MaxReportAge
}

// servingEngines returns the engines that serve now or will after their change. An
// engine without a recent report counts as lost.
func (g *Gain) servingEngines(p pool) []Engine {
	var out []Engine
	for _, e := range p.engines {
		if e.Changing || (e.InService && g.reported(e)) {
			out = append(out, e)
		}
	}
	return out
}

// roleAfter returns the role that the engine has, or will have after its change.
func roleAfter(e Engine) upstream.Role {
	if e.Changing && e.To != "" {
		return e.To
	}
	return e.Role
}

func (g *Gain) problem(table rateTable, engines []Engine, h *history, now time.Time) poolProblem {
	s := poolProblem{
		table:    table,
		change:   g.changes.mean.Seconds(),
		parallel: g.parallel(engines),
		weight:   g.c.ChangeWeight,
	}
	for _, e := range engines {
		s.now[indexOf(roleAfter(e))]++
	}
	ahead := h.forecast(s.change)
	uncertainty := h.uncertainty()
	s.demands = []poolDemand{ahead, skewed(ahead, 1+uncertainty), skewed(ahead, 1-uncertainty), scaled(ahead, 1-uncertainty)}
	h.regime.add(s.table.ratio(ahead.Rates), now)
	s.horizon = h.regime.remaining(now)
	return s
}

// skewed returns the demand with its prompt tokens multiplied and its output tokens
// divided by f.
func skewed(t poolDemand, f float64) poolDemand {
	t.Prefill *= f
	t.Decode /= f
	return t
}

// scaled returns the demand multiplied by f.
func scaled(t poolDemand, f float64) poolDemand {
	t.Prefill *= f
	t.Decode *= f
	t.requests *= f
	return t
}

// ratio returns the ratio of prefill to decode work, each relative to the best rate.
func (t *rateTable) ratio(demand Rates) float64 {
	if demand.Decode <= 0 || t[prefill].Prefill <= 0 {
		return 1
	}
	return (demand.Prefill / t[prefill].Prefill) / (demand.Decode / t[decode].Decode)
}

// parallel returns how many changes can run concurrently over all data centres.
func (g *Gain) parallel(engines []Engine) int {
	centres := map[string]bool{}
	for _, e := range engines {
		centres[e.DataCentre] = true
	}
	return max(1, len(centres)*g.c.MaxAtOnce)
}

func (g *Gain) reason(problem poolProblem, found plan) string {
	d := problem.demands[0]
	have := problem.table.capacity(problem.now)
	return fmt.Sprintf("gain: demand %.0f prompt and %.0f output tokens/s against %.0f and %.0f served; "+
		"%d/%d/%d prefill/decode/mixed to %d/%d/%d wins %.0f requests over %.0f s, costs %.0f",
		d.Prefill, d.Decode, have.Prefill, have.Decode,
		problem.now[prefill], problem.now[decode], problem.now[mixed],
		found.target[prefill], found.target[decode], found.target[mixed],
		found.gain, problem.horizon, found.cost)
}
