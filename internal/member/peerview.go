package member

import (
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/upstream"
)

// awayEngine is an engine that takes no work until a time, or until it has a role.
type awayEngine struct {
	to    upstream.Role
	until time.Time
}

// SendAway keeps the requests of all daemons from an engine for some time, or
// until it has a role; "" if it doesn't change.
func (p *Peers) SendAway(id string, to upstream.Role, d time.Duration) {
	at := p.books.KeyOf(id)
	p.books.MarkUnavailable(at, to, d)
	p.mu.Lock()
	told := time.Until(p.away[at].until) > d/2
	p.away[at] = awayEngine{to: to, until: time.Now().Add(d)}
	p.mu.Unlock()
	if !told {
		p.send(p.state(time.Now()))
	}
}

// noteAway takes another daemon's word of engines that take no work.
func (p *Peers) noteAway(engines []wire.UnavailableEngine) {
	for _, a := range engines {
		p.books.MarkUnavailable(a.Engine, a.TargetRole, a.Remaining)
	}
}

func (p *Peers) awayNow() []wire.UnavailableEngine {
	var list []wire.UnavailableEngine
	for at, e := range p.away {
		left := time.Until(e.until)
		if left <= 0 {
			delete(p.away, at)
			continue
		}
		list = append(list, wire.UnavailableEngine{Engine: at, TargetRole: e.to, Remaining: left})
	}
	return list
}

// Demand returns what callers ask of a pool at all daemons. The one that adds up the loads
// of a large site is told it; for those that another one there doesn't hear the average of
// the others stands in.
func (p *Peers) Demand(pool string) wire.MemberDemand {
	if p.Collects() {
		return p.tally.demand(pool)
	}
	sum := p.demand()[pool]
	p.mu.Lock()
	defer p.mu.Unlock()
	var others wire.MemberDemand
	for _, other := range p.peers {
		if other.up {
			others = others.Add(other.demands[pool])
		}
	}
	sum.PrefillEngines += (1 + p.unheard()) * others.PrefillEngines
	return sum
}

// Rank returns how many daemons come before this one where some act for all. In a small
// site it is the number of those serving and heard whose address is lower; in a large one,
// where each hears some only, that of those which stand before it in line as collectors.
func (p *Peers) Rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.full {
		return p.collect.rank()
	}
	rank := 0
	for address, other := range p.peers {
		if other.up && other.about.Serving && address < p.self.Peers {
			rank++
		}
	}
	return rank
}

// Up returns the daemons heard from lately that serve callers.
func (p *Peers) Up() []wire.MemberAddress {
	p.mu.Lock()
	defer p.mu.Unlock()
	var up []wire.MemberAddress
	for _, other := range p.peers {
		if other.up && other.about.Serving {
			up = append(up, other.MemberAddress)
		}
	}
	return up
}

// Better returns the peer address of a daemon with a newer configuration than
// this one's, or else one with another list of upstreams that was read later, and
// what it says of itself; "" if there is none.
func (p *Peers) Better(own About) (string, About) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, newest, youngest := "", own.Config, own.ReadAge-youngerBy
	var about About
	for address, other := range p.peers {
		if time.Since(other.told) > silentAfter {
			continue
		}
		a := other.about
		age := a.ReadAge + time.Since(other.told)
		newerList := a.ListPosition > own.ListPosition && a.ListDigest != own.ListDigest && age < youngest
		if a.Config > newest || (a.Config == newest && newerList) {
			best, newest, about = address, a.Config, a
			if newerList {
				youngest = age
			}
		}
	}
	return best, about
}

// Known returns the number of daemons that are or lately were part of the
// system, this one included.
func (p *Peers) Known() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.peers)
}
