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
	// floor is the least number before any loss.
	floor int
}

// compose returns the cheapest composition for what a pool needs. refused reports where no more
// spot upstreams are to be had.
func compose(p Pool, n needs, refused func(centre string) bool) []composition {
	regular := composeRegular(p, n.cover)
	if p.SpotRatio <= 0 {
		return regular
	}
	if spot := composeSpot(p, n, refused); cost(p, spot) < cost(p, regular) {
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
func composeSpot(p Pool, n needs, refused func(centre string) bool) []composition {
	all := make([]composition, len(p.Centres))
	var available []int
	for i, c := range p.Centres {
		all[i].spot = min(c.Spot, p.Max)
		if !refused(c.Name) {
			available = append(available, i)
		}
	}
	if count := len(available); count > 1 {
		each := (n.cover + count - 2) / (count - 1)
		for _, i := range available {
			all[i].spot = min(max(each, p.Min), p.Max)
		}
	}
	missing := n.work - size(all)
	if len(available) == 1 {
		all[available[0]].spot += min(max(0, missing), p.Max-all[available[0]].spot)
		missing = n.work - size(all)
	}
	for _, i := range byPrice(p) {
		regular := min(max(0, missing), p.Max-all[i].spot)
		all[i].regular = max(regular, p.Min-all[i].spot)
		missing -= regular
	}
	return all
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
// that serve already are enough without them: what was ordered may not come. booting returns the
// regular upstreams of a data centre that may still come.
func keepServing(p Pool, target []composition, n needs, booting func(centre string) int) []composition {
	serving := make([]composition, len(p.Centres))
	for i, c := range p.Centres {
		serving[i] = composition{regular: c.Regular, spot: c.Spot}
	}
	enoughForWork := func() bool { return size(serving) >= max(n.work, n.floor) }
	enoughAfterLoss := func() bool { return left(serving) >= n.cover && enoughForWork() }
	mayGiveRegular := enoughForWork
	if p.SpotRatio <= 0 {
		mayGiveRegular = func() bool { return size(serving) >= max(n.cover, n.floor) }
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
