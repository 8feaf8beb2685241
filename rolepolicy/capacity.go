package rolepolicy

import (
	"slices"

	"tamarackchute/upstream"
)

// roleIndex is the index of a role in arrays.
type roleIndex int

const (
	prefill roleIndex = iota
	decode
	mixed
	roleCount
)

// roleNames maps indexes to roles.
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

// rateTable holds the rates of one engine in each role.
type rateTable [roleCount]Rates

// priorTable holds the rates in each role as shares of an engine's best rates,
// assumed until reports are available: a prefill engine decodes at a quarter.
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

// observe records an engine's report. Reports during a role change are ignored, as
// their rates belong to neither role.
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

// forget drops the engines that no longer exist.
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

// rates returns the table for a group of engines: for each role the median of the
// reported rates, which is robust against an engine that reports wrong values. A
// role without reports is derived from the others with the prior table. It returns
// false if no engine has reported any rate.
func (l learner) rates(engines []Engine) (rateTable, bool) {
	var reported [roleCount]struct{ p, d []float64 }
	// implied holds the best rates that the reports imply by the prior table.
	var implied struct{ p, d []float64 }
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
			implied.p = append(implied.p, t[r].Prefill/priorTable[r].Prefill)
			implied.d = append(implied.d, t[r].Decode/priorTable[r].Decode)
		}
	}
	var out rateTable
	if len(implied.p) == 0 {
		return out, false
	}
	best := Rates{Prefill: median(implied.p, 0), Decode: median(implied.d, 0)}
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

// counts is the number of engines in each role.
type counts [roleCount]int

func (c counts) total() int { return c[prefill] + c[decode] + c[mixed] }

// capacity returns a group's rate for each kind of work if it does no other.
func (t *rateTable) capacity(c counts) Rates {
	var sum Rates
	for r := range roleCount {
		sum.Prefill += float64(c[r]) * t[r].Prefill
		sum.Decode += float64(c[r]) * t[r].Decode
	}
	return sum
}

const (
	// usableShare is the share of its reported rates that an engine reaches with
	// responses within the deadline: its batch is seldom full, prefill waits for
	// decode steps, and at higher rates queues grow faster than deadlines allow.
	usableShare = 0.7
	// offRoleShare is the share of that rate that an engine reaches in the kind of
	// work that its role isn't meant for: such slow work is often late.
	offRoleShare = 0.5
)

// effective returns the rates at which an engine of a role serves each kind of
// work within the deadline.
func (t *rateTable) effective(r roleIndex) Rates {
	e := Rates{Prefill: usableShare * t[r].Prefill, Decode: usableShare * t[r].Decode}
	switch r {
	case prefill:
		e.Decode *= offRoleShare
	case decode:
		e.Prefill *= offRoleShare
	}
	return e
}

// byAdvantage orders the roles by their advantage at prefill over decode; routing
// sends prefill to the first and decode to the last.
var byAdvantage = [roleCount]roleIndex{prefill, mixed, decode}

// served returns the share of the demanded requests that the engines can complete
// within the deadline. Each request needs both kinds of work. Routing fills the
// roles in the order of their advantage, so that at most one role divides its time
// between the two; the loop finds that role.
func (t *rateTable) served(c counts, demand Rates) float64 {
	if demand.Prefill <= 0 && demand.Decode <= 0 {
		return 1
	}
	// a and b are the capacities for prefill and decode as multiples of the
	// demand, if the roles visited so far only prefill and the others only decode.
	a, b := 0.0, 0.0
	for r := range roleCount {
		b += multipleOf(float64(c[r])*t.effective(r).Decode, demand.Decode)
	}
	for _, r := range byAdvantage {
		e := t.effective(r)
		da := multipleOf(float64(c[r])*e.Prefill, demand.Prefill)
		db := multipleOf(float64(c[r])*e.Decode, demand.Decode)
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

// unlimited is a multiple larger than any that matters.
const unlimited = 1e9

// multipleOf returns a capacity as a multiple of the demand.
func multipleOf(capacity, demand float64) float64 {
	if demand <= 0 {
		if capacity <= 0 {
			return 0
		}
		return unlimited
	}
	return capacity / demand
}
