package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/wire"
)

// hopTime is a generous time for a daemon to pass on a report.
const hopTime = 50 * time.Millisecond

// Guards against reports that take too long through a site of the size that the design aims at.
func TestReportsReachLargeSites(t *testing.T) {
	for _, size := range []int{7, 82, 1700} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			site := make([]wire.MemberAddress, size)
			for i := range site {
				site[i] = wire.MemberAddress{Instance: fmt.Sprint(i), DataCentre: fmt.Sprint("d", i%10), Peers: fmt.Sprint("10.0.", i/250, ".", i%250, ":1")}
			}
			hops := hopsToAll(site)
			t.Log("hops", hops)
			require.Less(t, time.Duration(hops)*hopTime, 3*time.Second)
		})
	}
}

// hopsToAll returns after how many steps a message of the first daemon has reached all.
func hopsToAll(site []wire.MemberAddress) int {
	byAddress := make(map[string]wire.MemberAddress, len(site))
	for _, a := range site {
		byAddress[a.Peers] = a
	}
	reached := map[string]bool{site[0].Peers: true}
	frontier := []wire.MemberAddress{site[0]}
	for hops := 0; ; hops++ {
		var next []wire.MemberAddress
		for _, a := range frontier {
			others := make([]wire.MemberAddress, 0, len(site)-1)
			for _, b := range site {
				if b.Peers != a.Peers {
					others = append(others, b)
				}
			}
			for address := range neighbours(a, others) {
				if !reached[address] {
					reached[address] = true
					next = append(next, byAddress[address])
				}
			}
		}
		if len(next) == 0 {
			if len(reached) < len(site) {
				return len(site) // not connected
			}
			return hops
		}
		frontier = next
	}
}

// Guards against reports that only the neighbours of a daemon of a large site get, or that are
// passed on for ever.
func TestReportsArePassedOnOnce(t *testing.T) {
	daemons := largeSite(t, maxFullMesh+5)
	sent := 0
	reportID := func() string { return fmt.Sprint("report-", sent) }
	require.Eventually(t, func() bool { // links that aren't up yet lose messages
		sent++
		daemons[0].broadcast(wire.QuarantineReport{ID: reportID()})
		return heardByAll(daemons[1:], reportID())
	}, 20*time.Second, 300*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	for _, h := range daemons {
		require.LessOrEqual(t, h.copiesHeard(reportID()), len(daemons), "a copy from each neighbour at most")
	}
}

func heardByAll(daemons []*daemonHarness, id string) bool {
	for until := time.Now().Add(250 * time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		missing := slices.ContainsFunc(daemons, func(h *daemonHarness) bool { return h.copiesHeard(id) == 0 })
		if !missing {
			return true
		}
	}
	return false
}
