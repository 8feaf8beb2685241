package member

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/relay"
	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

// peersWith returns the view of the daemon "d1" of others whose states are given, by peer address.
func peersWith(others map[string]Summary) *Peers {
	self := wire.MemberAddress{Instance: "d1", DataCentre: "a", Peers: "d1"}
	p := newPeers(self, wire.Config{}, placement.NewTracker(nil), slog.New(slog.DiscardHandler))
	for address, s := range others {
		dataCentre := "a"
		if address >= "d5" {
			dataCentre = "b"
		}
		p.peers[address] = &peer{
			MemberAddress: wire.MemberAddress{Instance: address, DataCentre: dataCentre, Peers: address, Forwards: "forwards-" + address},
			summary:       s, up: true, lastUpdate: time.Now(),
		}
	}
	p.summary = func() Summary { return Summary{Serving: true} }
	return p
}

var (
	withPath    = Summary{Serving: true}
	withoutPath = Summary{Serving: true, LostPools: []string{"p"}, PathLost: true}
	lostOther   = Summary{Serving: true, LostPools: []string{"q"}}
	stopping    = Summary{}
	staleKeys   = Summary{Serving: true, KeysStale: true}
)

// Guards against requests that are forwarded to daemons which can't serve them, or to a far one
// while several near ones can, or all to the same one.
func TestForwardPeers(t *testing.T) {
	cases := []struct {
		name   string
		others map[string]Summary
		want   []string
	}{
		{"none", nil, nil},
		{"only those that can serve", map[string]Summary{"d0": withPath, "d2": withoutPath, "d3": stopping, "d5": lostOther}, []string{"d0", "d5"}},
		{"those with stale keys serve public requests", map[string]Summary{"d0": staleKeys, "d2": withoutPath}, []string{"d0"}},
		{"near ones if there are two", map[string]Summary{"d0": withPath, "d2": withPath, "d5": withPath, "d6": withPath}, []string{"d0", "d2"}},
		{"all are without a path", map[string]Summary{"d0": withoutPath, "d2": withoutPath}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := peersWith(c.others)
			first := make(map[string]bool)
			for range 100 {
				var names []string
				for _, f := range p.forwardPeers("p") {
					require.Equal(t, relay.ForwardPeer{Instance: f.Instance, Address: "forwards-" + f.Instance, Holder: f.Instance}, f)
					names = append(names, f.Instance)
				}
				if len(names) > 0 {
					first[names[0]] = true
				}
				slices.Sort(names)
				require.Equal(t, c.want, names)
			}
			require.Len(t, first, len(c.want), "each comes first at times")
		})
	}
}

// Guards against streams in progress that end although a daemon which stops still has a path.
func TestLeavingPeers(t *testing.T) {
	p := peersWith(map[string]Summary{"d0": withPath, "d2": withoutPath, "d3": stopping, "d4": {LostPools: []string{"p"}}, "d5": {Overdue: true}})
	leaving := p.leavingPeers("p")
	require.Equal(t, []relay.ForwardPeer{{Instance: "d3", Address: "forwards-d3", Holder: "d3"}}, leaving)
}

// Guards against requests that are refused for stale keys where another daemon could check them.
func TestDaemonsWithStaleKeysAreAskedLast(t *testing.T) {
	p := peersWith(map[string]Summary{"d0": staleKeys, "d2": withPath, "d3": staleKeys, "d4": withPath})
	for range 20 {
		peers := p.forwardPeers("p")
		require.Len(t, peers, 4)
		require.ElementsMatch(t, []string{"d2", "d4"}, []string{peers[0].Instance, peers[1].Instance})
	}
}

// Guards against a data centre of a large site, cut off as a whole, whose daemons know no other
// daemon to forward to.
func TestForwardPeersOfALargeSite(t *testing.T) {
	const daemons, cut = 82, 27
	var all []wire.MemberAddress
	for i := range daemons {
		name := fmt.Sprintf("d%02d", i)
		all = append(all, wire.MemberAddress{Instance: name, DataCentre: fmt.Sprint(i / cut), Peers: name, Forwards: name})
	}
	load := make(map[string]int)
	for i, self := range all[:cut] {
		p := newPeers(self, wire.Config{}, placement.NewTracker(nil), slog.New(slog.DiscardHandler))
		p.fullMesh = false
		heard := neighbours(self, slices.Delete(slices.Clone(all), i, i+1))
		for _, a := range all {
			if a == self {
				continue
			}
			other := &peer{MemberAddress: a}
			if heard[a.Peers] {
				other.up, other.lastUpdate, other.summary = true, time.Now(), withPath
				other.link = &wire.Link{}
				if a.DataCentre == self.DataCentre {
					other.summary = withoutPath
				}
			}
			p.peers[a.Peers] = other
		}
		for range 100 {
			peers := p.forwardPeers("p")
			require.NotEmpty(t, peers)
			load[peers[0].Instance]++
		}
	}
	total := 0
	for name, n := range load {
		require.NotContains(t, all[:cut], name)
		total += n
	}
	require.Equal(t, 100*cut, total)
	require.Greater(t, len(load), 10, "the cut daemons share the others out")
}

// Guards against duties of a daemon that reaches no upstream.
func TestDaemonsWithoutPathRankLast(t *testing.T) {
	p := peersWith(map[string]Summary{"d0": withoutPath, "d2": withPath, "d3": withoutPath, "d4": stopping})
	require.Equal(t, 1, p.Rank())
	require.Equal(t, 0, p.DutyRank())
	p.summary = func() Summary { return withoutPath }
	require.Equal(t, 2, p.DutyRank())
}

// Guards against a share of a limit that is held by a daemon which can't use it.
func TestDaemonsWithoutPathHoldNoShares(t *testing.T) {
	p := peersWith(map[string]Summary{"d0": withoutPath, "d2": withPath, "d3": lostOther, "d4": stopping})
	sorted := func(own Summary) []string { return slices.Sorted(slices.Values(p.limitMembers(own))) }
	require.Equal(t, []string{"d1", "d2", "d3"}, sorted(withPath))
	require.Equal(t, []string{"d2", "d3"}, sorted(withoutPath))
	require.Equal(t, []string{"d2", "d3"}, sorted(stopping))
	p = peersWith(map[string]Summary{"d0": withoutPath, "d2": withoutPath})
	require.Equal(t, []string{"d0", "d1", "d2"}, sorted(withoutPath), "as before if none has a path")
}
