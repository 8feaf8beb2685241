package fleetsize

import (
	"cmp"
	"slices"
)

// composition is a data centre's numbers of upstreams.
type composition struct{ regular, spot int }

// needs are the numbers of upstreams that a pool needs.
type needs struct {
	// cover must be left after the loss of any one data centre's spot upstreams, as far as spot
	// upstreams can be had for it. work is needed for the demand in any case.
	cover, work int
}

// supply says what is to be had, and what is to come.
type supply struct {
	// refused reports where none are ordered for now. doubtful reports where the last order was
	// refused: those planned there may be ordered, but aren't counted on.
	refused, doubtful func(centre string) bool
	// booting returns the regular upstreams of a data centre that may still come.
	booting func(centre string) int
}

// compose returns the cheapest composition for what a pool needs.
func compose(p Pool, n needs, spots supply) []composition {
	regular := composeRegular(p, max(1, n.work))
	if p.SpotRatio <= 0 {
		return regular
	}
	if spot := composeSpot(p, n, spots); cost(p, spot) < cost(p, regular) {
		return spot
	}
	return regular
}

func cost(p Pool, all []composition) float64 {
	sum := 0.0
	for i, c := range all {
		sum += p.Centres[i].Price * (float64(c.regular) + p.SpotRatio*float64(c.spot))
	}
	return sum
}

// composeRegular distributes regular upstreams evenly, so that callers find some near them; the
// cheapest data centres get the rest.
func composeRegular(p Pool, need int) []composition {
	all := make([]composition, len(p.Centres))
	for n, i := range byPrice(p) {
		remaining := len(all) - n
		share := (need + remaining - 1) / remaining
		all[i].regular = min(max(share, p.Min), p.Max)
		need -= all[i].regular
	}
	return all
}

// byPrice returns the indexes of the data centres, the cheapest first.
func byPrice(p Pool) []int {
	indexes := make([]int, len(p.Centres))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortStableFunc(indexes, func(a, b int) int { return cmp.Compare(p.Centres[a].Price, p.Centres[b].Price) })
	return indexes
}

// composeSpot distributes spot upstreams evenly over the data centres that have them, if there are
// at least two, and keeps those present in the others. Regular ones, in the cheapest data centres,
// only do work for which there are too few: as a mere cover they would cost several times as much
// as what a loss costs until they boot.
func composeSpot(p Pool, n needs, spots supply) []composition {
	all := make([]composition, len(p.Centres))
	var available []int
	for i, c := range p.Centres {
		all[i].spot = min(c.Spot, p.Max)
		if !spots.refused(c.Name) {
			available = append(available, i)
		}
	}
	if count := len(available); count > 1 {
		each := (n.cover + count - 2) / (count - 1)
		for _, i := range available {
			all[i].spot = min(max(each, p.Min), p.Max)
		}
	}
	missing := n.work - countedOn(p, all, spots)
	if len(available) == 1 && missing > 0 {
		i := available[0]
		all[i].spot = min(max(all[i].spot, p.Centres[i].Spot+missing), p.Max)
		missing = n.work - countedOn(p, all, spots)
	}
	addRegular(p, all, missing, spots)
	return all
}

// addRegular adds regular upstreams, first where there are some or some may still come: moving them
// from one data centre to another would cancel them before they serve.
func addRegular(p Pool, all []composition, missing int, spots supply) {
	room := func(i int) int {
		spot := all[i].spot
		if spots.doubtful(p.Centres[i].Name) {
			spot = p.Centres[i].Spot
		}
		return max(0, p.Max-spot-all[i].regular)
	}
	order := byPrice(p)
	for _, i := range order {
		kept := min(max(0, missing), room(i), max(p.Centres[i].Regular, spots.booting(p.Centres[i].Name)))
		all[i].regular += kept
		missing -= kept
	}
	for _, i := range order {
		added := min(max(0, missing), room(i))
		all[i].regular += added
		missing -= added
		all[i].regular = max(all[i].regular, p.Min-all[i].spot)
	}
}

// countedOn returns the spot upstreams that serve or are sure to come.
func countedOn(p Pool, all []composition, spots supply) int {
	n := 0
	for i, c := range p.Centres {
		if spots.doubtful(c.Name) {
			n += min(c.Spot, all[i].spot)
			continue
		}
		n += all[i].spot
	}
	return n
}

// left returns what is left after the loss of the data centre with the most spot upstreams.
func left(all []composition) int {
	most := 0
	for _, c := range all {
		most = max(most, c.spot)
	}
	return size(all) - most
}

func size(all []composition) int {
	n := 0
	for _, c := range all {
		n += c.regular + c.spot
	}
	return n
}

// keepServing returns the composition to order now. Upstreams are given back only as far as those
// that serve already are enough without them: what was ordered may not come. booting is that of the
// supply.
func keepServing(p Pool, target []composition, n needs, booting func(centre string) int) []composition {
	serving := make([]composition, len(p.Centres))
	for i, c := range p.Centres {
		serving[i] = composition{regular: c.Regular, spot: c.Spot}
	}
	enoughForWork := func() bool { return size(serving) >= n.work }
	enoughAfterLoss := func() bool { return left(serving) >= n.cover && enoughForWork() }
	mayGiveRegular := enoughForWork
	if p.SpotRatio <= 0 {
		mayGiveRegular = func() bool { return size(serving) >= max(1, n.work) }
	}
	next := slices.Clone(target)
	for i := range next {
		next[i].regular = giveBack(&serving[i].regular, target[i].regular, mayGiveRegular)
		next[i].spot = giveBack(&serving[i].spot, target[i].spot, enoughAfterLoss)
		coming := max(next[i].regular, booting(p.Centres[i].Name))
		if over := coming + next[i].spot - p.Max; over > 0 {
			next[i].spot = max(0, next[i].spot-over)
		}
	}
	return next
}

// giveBack reduces a number of serving upstreams towards a target as far as enough remain.
func giveBack(have *int, target int, enough func() bool) int {
	for *have > target {
		*have--
		if !enough() {
			*have++
			return *have
		}
	}
	return target
}
