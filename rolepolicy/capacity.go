package rolepolicy

import (
	"slices"

	"tamarackchute/upstream"
)

// roleIndex orders the roles for arrays.
type roleIndex int

const (
	prefill roleIndex = iota
	decode
	mixed
	roleCount
)

// roleNames gives the role of an index.
var roleNames = [roleCount]upstream.Role{upstream.RolePrefill, upstream.RoleDecode, upstream.RoleMixed}

// indexOf returns the index of a role; an unknown role counts as mixed.
func indexOf(r upstream.Role) roleIndex {
	switch r {
	case upstream.RolePrefill:
		return prefill
	case upstream.RoleDecode:
		return decode
	default:
		return mixed
	}
}

// rateTable is what one engine serves in each role.
type rateTable [roleCount]Rates

// priorTable holds the shares of an engine's best rates that each role gives,
// until reports have shown better: a prefill engine decodes at a quarter.
var priorTable = rateTable{
	prefill: {Prefill: 1, Decode: 0.25},
	decode:  {Prefill: 0.25, Decode: 1},
	mixed:   {Prefill: 0.6, Decode: 0.6},
}

// learner keeps the last rates that each engine reported in each role.
type learner struct {
	seen map[string]*rateTable
}

func newLearner() learner { return learner{seen: map[string]*rateTable{}} }

// observe takes in an engine's report. An engine in the middle of a change
// reports rates that belong to neither role.
func (l learner) observe(e Engine) {
	if e.Changing || !e.InService || e.Reported.Prefill <= 0 || e.Reported.Decode <= 0 {
		return
	}
	t := l.seen[e.Name]
	if t == nil {
		t = &rateTable{}
		l.seen[e.Name] = t
	}
	t[indexOf(e.Role)] = e.Reported
}

// forget drops the engines that are not in the picture any more.
func (l learner) forget(engines []Engine) {
	if len(l.seen) <= len(engines) {
		return
	}
	known := make(map[string]bool, len(engines))
	for _, e := range engines {
		known[e.Name] = true
	}
	for name := range l.seen {
		if !known[name] {
			delete(l.seen, name)
		}
	}
}

// rates returns the table for a group of engines: per role the median of what
// was reported, which one engine with wrong figures doesn't move; a role that
// nobody has reported is worked out from the others by the prior table. It
// returns false if no engine has reported any rate.
func (l learner) rates(engines []Engine) (rateTable, bool) {
	var reported [roleCount]struct{ p, d []float64 }
	var base struct{ p, d []float64 }
	for _, e := range engines {
		t := l.seen[e.Name]
		if t == nil {
			continue
		}
		for r := range roleCount {
			if t[r].Prefill <= 0 {
				continue
			}
			reported[r].p = append(reported[r].p, t[r].Prefill)
			reported[r].d = append(reported[r].d, t[r].Decode)
			base.p = append(base.p, t[r].Prefill/priorTable[r].Prefill)
			base.d = append(base.d, t[r].Decode/priorTable[r].Decode)
		}
	}
	var out rateTable
	if len(base.p) == 0 {
		return out, false
	}
	best := Rates{Prefill: median(base.p, 0), Decode: median(base.d, 0)}
	for r := range roleCount {
		out[r].Prefill = median(reported[r].p, best.Prefill*priorTable[r].Prefill)
		out[r].Decode = median(reported[r].d, best.Decode*priorTable[r].Decode)
	}
	return out, true
}

// median returns the middle value, or the fallback if there is none.
func median(v []float64, fallback float64) float64 {
	if len(v) == 0 {
		return fallback
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// counts is how many engines have each role.
type counts [roleCount]int

func (c counts) total() int { return c[prefill] + c[decode] + c[mixed] }

// capacity is what a group serves of each kind of work if it does nothing else.
func (t *rateTable) capacity(c counts) Rates {
	var sum Rates
	for r := range roleCount {
		sum.Prefill += float64(c[r]) * t[r].Prefill
		sum.Decode += float64(c[r]) * t[r].Decode
	}
	return sum
}

const (
	// usable is the share of its reported rates that an engine reaches with
	// answers that come in time: its batch is seldom full, prompts wait for
	// decode steps, and above it queues grow faster than the deadlines allow.
	usable = 0.7
	// lending is the share of its weaker rate that an engine set up for the
	// other kind of work reaches: what it does so slowly is often late.
	lending = 0.5
)

// effective is what an engine of a role serves in time of each kind of work.
func (t *rateTable) effective(r roleIndex) Rates {
	e := Rates{Prefill: usable * t[r].Prefill, Decode: usable * t[r].Decode}
	switch r {
	case prefill:
		e.Decode *= lending
	case decode:
		e.Prefill *= lending
	}
	return e
}

// byAdvantage orders the roles by how much better they are at prefill than at
// decode; routing gives prefill to the first and decode to the last.
var byAdvantage = [roleCount]roleIndex{prefill, mixed, decode}

// served is the share of the demanded requests that the roles can answer in
// time. An engine divides its time between the two kinds of work, and each
// request needs both. Routing fills the roles by their advantage, so that at
// most one role has to divide its time; that role is searched for.
func (t *rateTable) served(c counts, demand Rates) float64 {
	if demand.Prefill <= 0 && demand.Decode <= 0 {
		return 1
	}
	// a and b are the capacity for prefill and decode as multiples of the
	// demand, the first roles working on prefill alone.
	a, b := 0.0, 0.0
	for r := range roleCount {
		b += over(float64(c[r])*t.effective(r).Decode, demand.Decode)
	}
	for _, r := range byAdvantage {
		e := t.effective(r)
		da := over(float64(c[r])*e.Prefill, demand.Prefill)
		db := over(float64(c[r])*e.Decode, demand.Decode)
		if a+da >= b-db {
			if da+db <= 0 {
				return min(1, a, b)
			}
			part := (b - a) / (da + db)
			return min(1, a+part*da)
		}
		a, b = a+da, b-db
	}
	return min(1, a)
}

// enough stands for more capacity than any demand can use.
const enough = 1e9

// over is a capacity as a multiple of the demand.
func over(capacity, demand float64) float64 {
	if demand <= 0 {
		if capacity <= 0 {
			return 0
		}
		return enough
	}
	return capacity / demand
}
