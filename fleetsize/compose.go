package fleetsize

import (
	"cmp"
	"slices"
)

// composition is a data centre's numbers of upstreams.
type composition struct{ regular, spot int }

// compose returns the cheapest composition in which need upstreams are left after the loss of any
// one data centre's spot upstreams. refused reports where no more of these are to be had.
func compose(p Pool, need int, refused func(centre string) bool) []composition {
	regular := composeRegular(p, need)
	if p.SpotRatio <= 0 {
		return regular
	}
	if spot := composeSpot(p, need, refused); cost(p, spot) < cost(p, regular) {
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
// at least two, and keeps those present in the others. What they can't cover is left to regular
// ones, in the cheapest data centres.
func composeSpot(p Pool, need int, refused func(centre string) bool) []composition {
	all := make([]composition, len(p.Centres))
	var available []int
	for i, c := range p.Centres {
		all[i].spot = min(c.Spot, p.Max)
		if !refused(c.Name) {
			available = append(available, i)
		}
	}
	if n := len(available); n > 1 {
		each := (need + n - 2) / (n - 1)
		for _, i := range available {
			all[i].spot = min(max(each, p.Min), p.Max)
		}
	}
	missing := need - left(all)
	for _, i := range byPrice(p) {
		n := min(max(0, missing), p.Max-all[i].spot)
		all[i].regular = max(n, p.Min-all[i].spot)
		missing -= n
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

// keepCover returns the composition to order now. Upstreams are given back only as far as those
// that serve already are enough without them: what was ordered may not come. need must be left
// after the loss of a data centre's spot upstreams, floor before it.
func keepCover(p Pool, target []composition, need, floor int) []composition {
	serving := make([]composition, len(p.Centres))
	for i, c := range p.Centres {
		serving[i] = composition{regular: c.Regular, spot: c.Spot}
	}
	next := slices.Clone(target)
	for i := range next {
		next[i].regular = giveBack(serving, &serving[i].regular, target[i].regular, need, floor)
		next[i].spot = giveBack(serving, &serving[i].spot, target[i].spot, need, floor)
		if over := next[i].regular + next[i].spot - p.Max; over > 0 {
			next[i].spot = max(0, next[i].spot-over)
		}
	}
	return next
}

// giveBack reduces a number of serving upstreams towards a target as far as keepCover allows.
func giveBack(serving []composition, have *int, target, need, floor int) int {
	for *have > target {
		*have--
		if left(serving) < need || size(serving) < floor {
			*have++
			return *have
		}
	}
	return target
}
