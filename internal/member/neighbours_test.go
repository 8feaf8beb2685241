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

// In a small site everybody hears everybody.
func TestSmallSitesAreMeshed(t *testing.T) {
	all := testSite(maxFullMesh + 1)
	require.Len(t, neighbours(all[0], all[1:]), maxFullMesh)
}

// In a large one a daemon's traffic doesn't grow with the site, whoever is told
// by another tells it too, and news still reach all.
func TestLargeSitesKeepToNeighbours(t *testing.T) {
	for _, n := range []int{18, 74, 300} {
		all := testSite(n)
		told := make(map[string]map[string]bool)
		for _, self := range all {
			told[self.Peers] = neighbours(self, allExcept(all, self))
			require.LessOrEqual(t, len(told[self.Peers]), 2*(localNeighbours+siteNeighbours))
			require.NotContains(t, told[self.Peers], self.Peers)
		}
		for from, to := range told {
			for address := range to {
				require.True(t, told[address][from], "%s hears %s but doesn't answer", address, from)
			}
		}
		reached := map[string]bool{all[0].Peers: true}
		for frontier := []string{all[0].Peers}; len(frontier) > 0; {
			next := frontier[0]
			frontier = frontier[1:]
			for address := range told[next] {
				if !reached[address] {
					reached[address] = true
					frontier = append(frontier, address)
				}
			}
		}
		require.Len(t, reached, n)
	}
}
