package rolepolicy

// situation is one pool's question: which role counts pay from here.
type situation struct {
	table   rateTable
	now     counts
	demands []total // the likely demand first, then how it may be wrong
	// horizon is how long the mix is expected to last, change how long one
	// change takes, both in seconds; parallel is how many run at once.
	horizon  float64
	change   float64
	parallel int
	weight   float64
}

// plan is the answer: the counts to reach and what they bring, in requests.
type plan struct {
	target counts
	moves  int
	rate   float64 // gain in requests a second
	gain   float64
	cost   float64
}

// costUnit is what one change costs beside the capacity that it measurably
// loses, at weight 1: this many times the work that one engine would have done
// meanwhile. It covers what the model doesn't see: streams that move, a cold
// prefix cache, a picture that was wrong.
const costUnit = 1.0

// best tries every split of the pool and returns the one whose gain exceeds
// its cost by most; moves is 0 if none does.
func (s situation) best() plan {
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

// delay is how long it takes on average until a change takes effect.
func (s situation) delay(moves int) float64 {
	rounds := (moves + s.parallel - 1) / s.parallel
	return s.change * float64(1+rounds) / 2
}

// shares is the share served of each possible demand.
func (s situation) shares(c counts) []float64 {
	out := make([]float64, len(s.demands))
	for i, d := range s.demands {
		out[i] = s.table.served(c, d.Rates)
	}
	return out
}

// gain is how many more requests a second the target serves in the least
// favourable of the possible demands.
func (s situation) gain(now []float64, target counts) float64 {
	least := 0.0
	for i, d := range s.demands {
		g := (s.table.served(target, d.Rates) - now[i]) * d.requests
		if i == 0 || g < least {
			least = g
		}
	}
	return least
}

// unitCost is what one change costs, in requests: an engine's part of the
// present goodput for the time of the change, weighted.
func (s situation) unitCost() float64 {
	n := s.now.total()
	if n == 0 {
		return 0
	}
	perEngine := s.table.served(s.now, s.demands[0].Rates) * s.demands[0].requests / float64(n)
	return s.weight * (1 + costUnit) * s.change * perEngine
}

// distance is how many engines change between two splits of equal size.
func distance(a, b counts) int {
	moves := 0
	for r := range roleCount {
		moves += max(0, b[r]-a[r])
	}
	return moves
}

// step picks the single change towards the target that brings most at once.
func (s situation) step(from, target counts) (give, take roleIndex, ok bool) {
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
