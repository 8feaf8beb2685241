package rolepolicy

// poolProblem is the optimisation problem of one pool: which number of engines in
// each role is worth the changes to reach it.
type poolProblem struct {
	table   rateTable
	now     counts
	demands []poolDemand // the forecast, then its possible errors
	// horizon is how long the mix is expected to last, change how long one
	// change takes, both in seconds; parallel is how many run concurrently.
	horizon  float64
	change   float64
	parallel int
	weight   float64
}

// plan is the solution: the target counts with their gain and cost, in requests.
type plan struct {
	target counts
	moves  int
	rate   float64 // gain in requests a second
	gain   float64
	cost   float64
}

// costUnit is the additional cost of one change, as a multiple of the work that the
// engine would have done meanwhile, at weight 1. It covers what the model ignores:
// streams that move to another engine, a cold prefix cache, inaccurate reports.
const costUnit = 1.0

// best tries every split of the pool and returns the one whose gain exceeds its
// cost the most; moves is 0 if there is none.
func (s poolProblem) best() plan {
	n := s.now.total()
	now := s.shares(s.now)
	unit := s.unitCost()
	found := plan{target: s.now}
	for p := 0; p <= n; p++ {
		for d := 0; d+p <= n; d++ {
			target := counts{prefill: p, decode: d, mixed: n - p - d}
			moves := distance(s.now, target)
			if moves == 0 {
				continue
			}
			seconds := s.horizon - s.delay(moves)
			if seconds <= 0 {
				continue
			}
			cost := float64(moves) * unit
			rate := s.gain(now, target)
			gain := rate * seconds
			if gain-cost > found.gain-found.cost {
				found = plan{target: target, moves: moves, rate: rate, gain: gain, cost: cost}
			}
		}
	}
	return found
}

// delay is the mean time in seconds until a change takes effect.
func (s poolProblem) delay(moves int) float64 {
	rounds := (moves + s.parallel - 1) / s.parallel
	return s.change * float64(1+rounds) / 2
}

// shares returns the share served of each possible demand.
func (s poolProblem) shares(c counts) []float64 {
	out := make([]float64, len(s.demands))
	for i, d := range s.demands {
		out[i] = s.table.served(c, d.Rates)
	}
	return out
}

// gain returns how many more requests a second the target serves in the least
// favourable of the possible demands.
func (s poolProblem) gain(now []float64, target counts) float64 {
	least := 0.0
	for i, d := range s.demands {
		g := (s.table.served(target, d.Rates) - now[i]) * d.requests
		if i == 0 || g < least {
			least = g
		}
	}
	return least
}

// unitCost returns the cost of one change, in requests: an engine's share of the
// present goodput during the change, weighted.
func (s poolProblem) unitCost() float64 {
	n := s.now.total()
	if n == 0 {
		return 0
	}
	perEngine := s.table.served(s.now, s.demands[0].Rates) * s.demands[0].requests / float64(n)
	return s.weight * (1 + costUnit) * s.change * perEngine
}

// distance returns how many engines change between two splits of equal size.
func distance(a, b counts) int {
	moves := 0
	for r := range roleCount {
		moves += max(0, b[r]-a[r])
	}
	return moves
}

// step returns the single change towards the target with the largest immediate gain.
func (s poolProblem) step(from, target counts) (give, take roleIndex, ok bool) {
	best := -1.0
	for g := range roleCount {
		for t := range roleCount {
			if from[g] <= target[g] || from[t] >= target[t] {
				continue
			}
			after := from
			after[g]--
			after[t]++
			if v := s.table.served(after, s.demands[0].Rates); v > best {
				best, give, take, ok = v, g, t, true
			}
		}
	}
	return give, take, ok
}
