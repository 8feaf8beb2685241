package rolepolicy

import (
	"fmt"
	"time"

	"tamarackchute/upstream"
)

// Gain changes a role where the goodput won over the expected length of the
// shift exceeds the capacity lost by the change, times its weight.
//
// Every leader plans for the engines of all data centres and orders the
// candidates in the same way, then decides on its own alone; so leaders with
// the same picture don't both answer one shortage.
type Gain struct {
	c       Config
	learner learner
	history map[string]*history
	changes durations
	// chosen is since when an engine of another data centre has been a
	// candidate that its own leader did not change.
	chosen map[string]time.Time
}

// Defaults of Gain's settings.
const (
	// horizonChanges is how many times the time of a change the first mix is
	// expected to last.
	horizonChanges = 40
	// minFresh is the share of entries and of engines that must have
	// reported for the picture to count.
	minFresh = 0.5
	// drainPrior is how many times its own length a change is taken to last,
	// drain included, until changes have been seen.
	drainPrior = 2
	// persistence is the goodput that must have been missed before a change,
	// in changes' costs: it keeps out what only one noisy value asks for.
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

// Decide returns the changes that pay, at most MaxAtOnce less those going on.
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
	seen, fresh := sum(p, s.Demand, now, g.c.MaxReportAge)
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
	sit := g.situation(table, serving, h, now)
	found := sit.best()
	h.missed.add(found.rate, now)
	if found.moves == 0 || room <= 0 || h.missed.sum < persistence*sit.unitCost() {
		return nil
	}
	return g.choose(sit, found, serving, s.DataCentre, now, room)
}

// reported is whether the engine's report is recent enough to rest on.
func (g *Gain) reported(e Engine) bool {
	return g.c.MaxReportAge <= 0 || e.ReportAge <= g.c.MaxReportAge
}

// servingEngines are those that serve now or will after their change. An engine
// without a recent report counts as lost.
func (g *Gain) servingEngines(p pool) []Engine {
	var out []Engine
	for _, e := range p.engines {
		if e.Changing || (e.InService && g.reported(e)) {
			out = append(out, e)
		}
	}
	return out
}

// roleAfter is the role that the engine has, or will have after its change.
func roleAfter(e Engine) upstream.Role {
	if e.Changing && e.To != "" {
		return e.To
	}
	return e.Role
}

func (g *Gain) situation(table rateTable, engines []Engine, h *history, now time.Time) situation {
	s := situation{
		table:    table,
		change:   g.changes.mean.Seconds(),
		parallel: g.parallel(engines),
		weight:   g.c.ChangeWeight,
	}
	for _, e := range engines {
		s.now[indexOf(roleAfter(e))]++
	}
	ahead := h.forecast(s.change)
	doubt := h.doubt()
	s.demands = []total{ahead, skewed(ahead, 1+doubt), skewed(ahead, 1-doubt), less(ahead, 1-doubt)}
	h.regime.add(s.table.ratio(ahead.Rates), now)
	s.horizon = h.regime.remaining(now)
	return s
}

// skewed is the demand with its prompt part times f and its output part less.
func skewed(t total, f float64) total {
	t.Prefill *= f
	t.Decode /= f
	return t
}

// less is the demand with all its parts times f.
func less(t total, f float64) total {
	t.Prefill *= f
	t.Decode *= f
	t.requests *= f
	return t
}

// ratio is prefill work to decode work, in the measure of the best rates.
func (t *rateTable) ratio(demand Rates) float64 {
	if demand.Decode <= 0 || t[prefill].Prefill <= 0 {
		return 1
	}
	return (demand.Prefill / t[prefill].Prefill) / (demand.Decode / t[decode].Decode)
}

// parallel is how many changes can run at once over all data centres.
func (g *Gain) parallel(engines []Engine) int {
	centres := map[string]bool{}
	for _, e := range engines {
		centres[e.DataCentre] = true
	}
	return max(1, len(centres)*g.c.MaxAtOnce)
}

func (g *Gain) reason(sit situation, found plan) string {
	d := sit.demands[0]
	have := sit.table.capacity(sit.now)
	return fmt.Sprintf("gain: demand %.0f prompt and %.0f output tokens/s against %.0f and %.0f served; "+
		"%d/%d/%d prefill/decode/mixed to %d/%d/%d wins %.0f requests over %.0f s, costs %.0f",
		d.Prefill, d.Decode, have.Prefill, have.Decode,
		sit.now[prefill], sit.now[decode], sit.now[mixed],
		found.target[prefill], found.target[decode], found.target[mixed],
		found.gain, sit.horizon, found.cost)
}
