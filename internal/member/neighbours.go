package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/internal/wire"
)

const (
	// meshLimit is the number of other daemons up to which each tells all of
	// them its state. Beyond it the traffic of a full mesh would grow with the
	// square of their number.
	maxFullMesh = 16
	// nearNeighbours and farNeighbours are how many a daemon tells otherwise, on
	// each side of it on a ring: of its data centre, and of the whole site.
	localNeighbours = 6
	siteNeighbours  = 2
)

// neighbours returns the peer addresses that a daemon tells its state. The
// choice is symmetric: who is told by another tells it as well, and all daemons
// that know the same others agree.
func neighbours(self wire.MemberAddress, others []wire.MemberAddress) map[string]bool {
	wanted := make(map[string]bool)
	if len(others) <= maxFullMesh {
		for _, a := range others {
			wanted[a.Peers] = true
		}
		return wanted
	}
	var local []wire.MemberAddress
	for _, a := range others {
		// One whose data centre isn't known yet is only an address.
		if a.DataCentre == self.DataCentre || a.DataCentre == "" {
			local = append(local, a)
		}
	}
	addRingNeighbours(wanted, self, local, localNeighbours)
	addRingNeighbours(wanted, self, others, siteNeighbours)
	return wanted
}

// aroundOnRing marks the n daemons on each side of self on the ring of their
// addresses' hashes.
func addRingNeighbours(wanted map[string]bool, self wire.MemberAddress, others []wire.MemberAddress, n int) {
	ring := append(slices.Clone(others), self)
	slices.SortFunc(ring, func(a, b wire.MemberAddress) int {
		return cmp.Compare(xxhash.Sum64String(a.Peers), xxhash.Sum64String(b.Peers))
	})
	at := slices.IndexFunc(ring, func(a wire.MemberAddress) bool { return a.Peers == self.Peers })
	for i := 1; i <= min(n, len(ring)-1); i++ {
		for _, j := range []int{at + i, at - i + len(ring)} {
			if a := ring[j%len(ring)]; a.Peers != self.Peers {
				wanted[a.Peers] = true
			}
		}
	}
}
