package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"tamarackchute/internal/relay"
	"tamarackchute/internal/wire"
)

// minLocalForwardPeers is the number of daemons of the same data centre from which requests are
// forwarded only there: one alone would carry all of them.
const minLocalForwardPeers = 2

// forwardPeers implements relay.Config.ForwardPeers: daemons known to have a path to the pool's
// upstreams, those of the same data centre if there are several, in random order. Those that can't
// check API keys now serve public requests only, and come later. In a large site most daemons' states
// aren't received here; these come last, as they may have lost their paths too.
func (p *Peers) forwardPeers(pool string) []relay.ForwardPeer {
	p.mu.Lock()
	var known, staleKeys, unknown []wire.MemberAddress
	versions := make(map[string]uint64)
	for _, other := range p.peers {
		switch {
		case other.Forwards == "":
		case other.up && other.hasState():
			versions[other.Peers] = other.summary.Config
			switch {
			case !other.canServe(pool):
			case other.summary.KeysStale:
				staleKeys = append(staleKeys, other.MemberAddress)
			default:
				known = append(known, other.MemberAddress)
			}
		case !p.fullMesh && other.link == nil:
			unknown = append(unknown, other.MemberAddress)
		}
	}
	p.mu.Unlock()
	local := slices.DeleteFunc(slices.Clone(known), func(a wire.MemberAddress) bool { return a.DataCentre != p.self.DataCentre })
	if len(local) >= minLocalForwardPeers {
		known = local
	}
	shuffle(known)
	shuffle(staleKeys)
	shuffle(unknown)
	peers := make([]relay.ForwardPeer, 0, len(known)+len(staleKeys)+len(unknown))
	for _, a := range slices.Concat(known, staleKeys, unknown) {
		peers = append(peers, forwardPeer(a, versions[a.Peers]))
	}
	return peers
}

func forwardPeer(a wire.MemberAddress, configVersion uint64) relay.ForwardPeer {
	return relay.ForwardPeer{Instance: a.Instance, Address: a.Forwards, Holder: a.Peers, ConfigVersion: configVersion}
}

// leavingPeers implements relay.Config.LeavingPeers, in random order.
func (p *Peers) leavingPeers(pool string) []relay.ForwardPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var peers []relay.ForwardPeer
	for _, other := range p.peers {
		if other.Forwards != "" && other.up && other.hasState() && !other.summary.Serving && other.reaches(pool) {
			peers = append(peers, forwardPeer(other.MemberAddress, other.summary.Config))
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// pathsTo implements relay.Config.PeerPaths.
func (p *Peers) pathsTo(pool string) (with, without int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.peers {
		switch {
		case !other.up || !other.hasState():
		case slices.Contains(other.summary.LostPools, pool):
			without++
		case other.canServe(pool):
			with++
		}
	}
	return with, without
}

// silent implements relay.Config.PeerSilent. A daemon that sends no states here counts as silent, too.
func (p *Peers) silent(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.peers {
		if other.Instance == instance && other.up && other.hasState() {
			return false
		}
	}
	return true
}

func shuffle(list []wire.MemberAddress) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// hasState reports whether the peer's state was received recently.
func (p *peer) hasState() bool { return time.Since(p.lastUpdate) <= peerTimeout }

// canServe reports whether the peer, by its last state, can serve requests for a pool.
func (p *peer) canServe(pool string) bool {
	return p.summary.Serving && p.reaches(pool)
}

// reaches reports whether the peer, by its last state, has a path to a pool and a current configuration.
func (p *peer) reaches(pool string) bool {
	return !p.summary.Overdue && !slices.Contains(p.summary.LostPools, pool)
}

// reportNow sends this daemon's state to the others at once.
func (p *Peers) reportNow() { p.broadcast(p.heartbeatState(time.Now())) }
