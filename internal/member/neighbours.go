package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/internal/wire"
)

const (
	// maxFullMesh is the number of other daemons up to which each sends all of them its state.
	// Beyond it the traffic of a full mesh would grow with the square of their number.
	maxFullMesh = 16
	// localNeighbours and siteNeighbours are the numbers of receivers in a larger site, on each
	// side of the daemon on a hash ring: of its data centre, and of the whole site.
	localNeighbours = 6
	siteNeighbours  = 2
)

// neighbours returns the peer addresses to which a daemon sends its state. The choice is
// symmetric: each of them sends its state back, and all daemons that know the same addresses
// agree on it.
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
		// While the data centre is unknown, a daemon is only an address.
		if a.DataCentre == self.DataCentre || a.DataCentre == "" {
			local = append(local, a)
		}
	}
	addRingNeighbours(wanted, self, local, localNeighbours)
	addRingNeighbours(wanted, self, others, siteNeighbours)
	return wanted
}

// addRingNeighbours adds the n daemons on each side of self on the ring of the hashes of their
// addresses.
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
