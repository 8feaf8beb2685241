package member

import (
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/upstream"
)

// awayEngine is an engine that takes no work until a time, or until it has a role.
type unavailableEngine struct {
	to    upstream.Role
	until time.Time
}

// SendAway keeps the requests of all daemons from an engine for some time, or
// until it has a role; "" if it doesn't change.
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

// noteAway takes another daemon's word of engines that take no work.
func (p *Peers) applyUnavailable(engines []wire.AwayEngine) {
	for _, a := range engines {
		p.tracker.MarkUnavailable(a.At, a.To, a.Left)
	}
}

func (p *Peers) unavailableEngines() []wire.AwayEngine {
	var list []wire.AwayEngine
	for at, e := range p.unavailable {
		left := time.Until(e.until)
		if left <= 0 {
			delete(p.unavailable, at)
			continue
		}
		list = append(list, wire.AwayEngine{At: at, To: e.to, Left: left})
	}
	return list
}

// Demand returns what callers ask of a pool at all daemons. The one that adds up the loads
// of a large site is told it; for those that another one there doesn't hear the average of
// the others stands in.
func (p *Peers) Demand(pool string) wire.MemberDemand {
	if p.Aggregates() {
		return p.aggregate.demand(pool)
	}
	sum := p.localDemand()[pool]
	p.mu.Lock()
	defer p.mu.Unlock()
	var others wire.MemberDemand
	for _, other := range p.peers {
		if other.up {
			others = others.Plus(other.demands[pool])
		}
	}
	sum.Readers += (1 + p.unreportedRatio()) * others.Readers
	return sum
}

// Rank returns how many daemons come before this one where some act for all. In a small
// site it is the number of those serving and heard whose address is lower; in a large one,
// where each hears some only, that of those which stand before it in line as collectors.
func (p *Peers) Rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fullMesh {
		return p.parent.rank()
	}
	rank := 0
	for address, other := range p.peers {
		if other.up && other.summary.Serving && address < p.self.Peers {
			rank++
		}
	}
	return rank
}

// Up returns the daemons heard from lately that serve callers.
func (p *Peers) Serving() []wire.MemberAddress {
	p.mu.Lock()
	defer p.mu.Unlock()
	var up []wire.MemberAddress
	for _, other := range p.peers {
		if other.up && other.summary.Serving {
			up = append(up, other.MemberAddress)
		}
	}
	return up
}

// Better returns the peer address of a daemon with a newer configuration than
// this one's, or else one with another list of upstreams that was read later, and
// what it says of itself; "" if there is none.
func (p *Peers) Freshest(local Summary) (string, Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, newest, minAge := "", local.Config, local.ListAge-minAgeGain
	var summary Summary
	for address, other := range p.peers {
		if time.Since(other.lastUpdate) > peerTimeout {
			continue
		}
		a := other.summary
		age := a.ListAge + time.Since(other.lastUpdate)
		newerList := a.ListPosition > local.ListPosition && a.ListDigest != local.ListDigest && age < minAge
		if a.Config > newest || (a.Config == newest && newerList) {
			best, newest, summary = address, a.Config, a
			if newerList {
				minAge = age
			}
		}
	}
	return best, summary
}

// Known returns the number of daemons that are or lately were part of the
// system, this one included.
func (p *Peers) KnownCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.peers)
}
