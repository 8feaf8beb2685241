package member

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/wire"
)

func testSite(n int) []wire.MemberAddress {
	addresses := make([]wire.MemberAddress, n)
	for i := range addresses {
		addresses[i] = wire.MemberAddress{Instance: fmt.Sprint("i", i), DataCentre: fmt.Sprint("d", i%3), Peers: fmt.Sprintf("10.0.0.%d:1", i)}
	}
	return addresses
}

func allExcept(all []wire.MemberAddress, self wire.MemberAddress) []wire.MemberAddress {
	var others []wire.MemberAddress
	for _, a := range all {
		if a != self {
			others = append(others, a)
		}
	}
	return others
}

// In a small site every daemon sends its state to every other one.
func TestSmallSitesUseFullMesh(t *testing.T) {
	all := testSite(maxFullMesh + 1)
	require.Len(t, neighbours(all[0], all[1:]), maxFullMesh)
}

// In a large site a daemon's traffic must not grow with the site, neighbours must be mutual, and
// updates must still reach all daemons.
func TestLargeSitesUseNeighbours(t *testing.T) {
	for _, n := range []int{18, 74, 300} {
		all := testSite(n)
		receivers := make(map[string]map[string]bool)
		for _, self := range all {
			receivers[self.Peers] = neighbours(self, allExcept(all, self))
			require.LessOrEqual(t, len(receivers[self.Peers]), 2*(localNeighbours+siteNeighbours))
			require.NotContains(t, receivers[self.Peers], self.Peers)
		}
		for from, to := range receivers {
			for address := range to {
				require.True(t, receivers[address][from], "%s receives from %s but doesn't send to it", address, from)
			}
		}
		reached := map[string]bool{all[0].Peers: true}
		for frontier := []string{all[0].Peers}; len(frontier) > 0; {
			next := frontier[0]
			frontier = frontier[1:]
			for address := range receivers[next] {
				if !reached[address] {
					reached[address] = true
					frontier = append(frontier, address)
				}
			}
		}
		require.Len(t, reached, n)
	}
}
