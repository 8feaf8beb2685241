package member

import (
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/upstream"
)

// unavailableEngine is an engine that gets no work until a time, or until it has a role.
type unavailableEngine struct {
	to    upstream.Role
	until time.Time
}

// MarkUnavailable makes all daemons avoid an engine for a time, or until it has the role to; to
// is empty if its role doesn't change. The other daemons aren't told again while an earlier
// report still holds for more than half of the time.
func (p *Peers) MarkUnavailable(id string, to upstream.Role, d time.Duration) {
	key := p.tracker.KeyOf(id)
	p.tracker.MarkUnavailable(key, to, d)
	p.mu.Lock()
	reported := time.Until(p.unavailable[key].until) > d/2
	p.unavailable[key] = unavailableEngine{to: to, until: time.Now().Add(d)}
	p.mu.Unlock()
	if !reported {
		p.broadcast(p.heartbeatState(time.Now()))
	}
}

// applyUnavailable records the unavailable engines that another daemon reports.
func (p *Peers) applyUnavailable(engines []wire.UnavailableEngine) {
	for _, a := range engines {
		if a.Remaining <= 0 {
			continue // it came too late
		}
		p.tracker.MarkUnavailable(a.Engine, a.TargetRole, a.Remaining)
	}
}

func (p *Peers) unavailableEngines() []wire.UnavailableEngine {
	var list []wire.UnavailableEngine
	for at, e := range p.unavailable {
		left := time.Until(e.until)
		if left <= 0 {
			delete(p.unavailable, at)
			continue
		}
		list = append(list, wire.UnavailableEngine{Engine: at, TargetRole: e.to, Remaining: left})
	}
	return list
}

// Demand returns the demand of all daemons' callers for a pool. The root of a large site gets it
// in reports; its other daemons estimate the rest from the average of the peers whose state they
// receive.
func (p *Peers) Demand(pool string) wire.MemberDemand {
	if p.IsRoot() {
		return p.aggregate.demand(pool)
	}
	sum := p.localDemand()[pool]
	p.mu.Lock()
	defer p.mu.Unlock()
	var others wire.MemberDemand
	for _, other := range p.peers {
		if other.up {
			others = others.Add(other.demands[pool])
		}
	}
	sum.PrefillEngines += (1 + p.unreportedRatio()) * others.PrefillEngines
	sum.DecodeEngines += (1 + p.unreportedRatio()) * others.DecodeEngines
	return sum
}

// Rank returns the number of daemons that precede this one for tasks that one daemon does for
// all. In a small site those are the serving ones with a lower address; in a large one, where
// each daemon receives the state of a few only, those ranked before it as aggregators.
func (p *Peers) Rank() int {
	return p.rank(func(other *peer) bool { return other.Peers < p.self.Peers })
}

// DutyRank is Rank for duties that need a path to the upstreams: in a small site, daemons without
// one come last.
func (p *Peers) DutyRank() int {
	lost := p.summary().PathLost
	return p.rank(func(other *peer) bool {
		if other.summary.PathLost != lost {
			return lost
		}
		return other.Peers < p.self.Peers
	})
}

// rank counts the serving daemons of a small site that precede this one.
func (p *Peers) rank(precedes func(other *peer) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fullMesh {
		return p.parent.rank()
	}
	rank := 0
	for _, other := range p.peers {
		if other.up && other.summary.Serving && precedes(other) {
			rank++
		}
	}
	return rank
}

// Serving returns the daemons that serve callers, as recently reported.
func (p *Peers) Serving() []wire.MemberAddress {
	p.mu.Lock()
	defer p.mu.Unlock()
	var serving []wire.MemberAddress
	for _, other := range p.peers {
		if other.up && other.summary.Serving {
			serving = append(serving, other.MemberAddress)
		}
	}
	return serving
}

// ReadsFirst reports whether this daemon reads the store for the others: the root of a large site,
// or the first in rank of a small one.
func (p *Peers) ReadsFirst() bool {
	if p.isFullMesh() {
		return p.Rank() == 0
	}
	return p.IsRoot()
}

// askParent sends a request to the daemon that this one reports to, or to the first in rank of a
// small site. The request is lost if there is no connection.
func (p *Peers) askParent(m wire.ConfigProofRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fullMesh {
		if p.parent.link != nil {
			p.parent.link.Send(m)
		}
		return
	}
	if first := p.firstServing(); first != nil && first.link != nil {
		first.link.Send(m)
	}
}

// firstServing returns the serving peer with the lowest address, nil if there is none.
func (p *Peers) firstServing() *peer {
	var first *peer
	for _, other := range p.peers {
		if other.up && other.summary.Serving && (first == nil || other.Peers < first.Peers) {
			first = other
		}
	}
	return first
}

// askAny sends a request to a neighbour chosen at random.
func (p *Peers) askAny(m wire.ConfigProofRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.peers { // the order of the iteration is random
		if other.up && other.link != nil && !other.summary.KeysStale {
			other.link.Send(m)
			return
		}
	}
}

// Freshest returns the address and summary of the peer with the newest configuration, if newer
// than the local one, or else of one with a different list of upstreams that was read later; ""
// if there is none.
func (p *Peers) Freshest(local Summary) (string, Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, newest, minAge := "", local.Config, local.ListAge-minAgeGain
	var summary Summary
	for address, other := range p.peers {
		if !other.givesView() {
			continue
		}
		remote := other.summary
		age := remote.ListAge + time.Since(other.lastUpdate)
		newerList := remote.ListPosition > local.ListPosition && remote.ListDigest != local.ListDigest && age < minAge
		if remote.Config > newest || (remote.Config == newest && newerList) {
			best, newest, summary = address, remote.Config, remote
			if newerList {
				minAge = age
			}
		}
	}
	return best, summary
}

// KnownCount returns the number of daemons that are or recently were part of the system,
// including this one.
func (p *Peers) KnownCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.peers)
}

// MostKnown returns the largest number of daemons that were known at a time since the start, including
// this one.
func (p *Peers) MostKnown() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + p.mostKnown
}

// HasHeard reports whether another daemon was ever heard.
func (p *Peers) HasHeard() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard
}

// HearsAll reports whether this daemon hears all neighbours, so that its messages should reach the
// whole site.
func (p *Peers) HearsAll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.peers {
		if other.link == nil {
			continue
		}
		if !other.up || time.Since(other.lastReceived) > peerTimeout || !p.beat.unbroken(other.lastReceived) {
			return false
		}
	}
	return true
}

// heardThroughout reports whether this daemon has heard all neighbours since a time, so that their messages
// should have reached it.
func (p *Peers) heardThroughout(since time.Time) bool {
	if !p.beat.unbroken(since) || !p.HearsAll() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.rejoinedAt.After(since)
}

// neighbour is a daemon that this one has a link to.
type neighbour struct {
	address string
	up      bool
}

// neighbours returns the neighbours.
func (p *Peers) neighbours() []neighbour {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []neighbour
	for address, other := range p.peers {
		if other.link != nil {
			all = append(all, neighbour{address, other.up})
		}
	}
	return all
}
