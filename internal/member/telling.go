package member

import (
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

// changes returns what is to be told between two beats, nil if nothing has
// changed. A whole state goes out only if there is more to tell than loads.
func (p *Peers) changes(now time.Time) wire.Message {
	loads := p.books.LocalLoads(false)
	if len(loads) == 0 {
		return nil
	}
	about := p.about()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.toldAbout.covers(about, now) {
		return p.stateOf(about, loads, p.books.PrefillEvents(), now)
	}
	p.seq++
	return wire.MemberLoads{Incarnation: p.incarnation, Seq: p.seq, Loads: loads, Prefills: p.books.PrefillEvents()}
}

// toldAbout is what the last state said of this daemon, and when.
type toldAbout struct {
	About
	at time.Time
}

// readSlack is the difference between two accounts of when a list was read that
// count as the same: they are taken at slightly different times.
const readSlack = 10 * time.Millisecond

// covers reports whether what was told still holds, but for the time that has
// passed.
func (t toldAbout) covers(now About, at time.Time) bool {
	same := t.Serving == now.Serving && t.Config == now.Config &&
		t.ListPosition == now.ListPosition && t.ListDigest == now.ListDigest
	return same && now.ReadAge > t.ReadAge+at.Sub(t.at)-readSlack
}

// stateOf returns the state to be told. p.mu is held.
func (p *Peers) stateOf(about About, loads []placement.UpstreamLoad, reads []placement.PrefillEvent, now time.Time) wire.MemberState {
	p.seq++
	p.toldAbout = toldAbout{about, now}
	return wire.MemberState{
		MemberAddress: p.self, Incarnation: p.incarnation, Seq: p.seq,
		Serving: about.Serving, Config: about.Config, ListAge: about.ReadAge,
		ListPosition: uint64(about.ListPosition), ListDigest: about.ListDigest, ListSize: about.ListSize,
		FullMesh: p.full, Loads: loads, Prefills: reads, Unavailable: p.awayNow(),
	}
}

// state returns the state of a beat: it carries the loads even if they haven't
// changed, and now and then the addresses of other daemons.
func (p *Peers) state(now time.Time) wire.MemberState {
	var loads []placement.UpstreamLoad
	var reads []placement.PrefillEvent
	if p.meshed() {
		loads, reads = p.books.LocalLoads(true), p.books.PrefillEvents()
	}
	about := p.about()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(about, loads, reads, now)
	s.Demands = p.demand()
	p.beats++
	if p.beats%learntEvery == 0 {
		s.Observations = p.books.LocalObservations()
	}
	if p.beats%knownEvery != 1 {
		return s
	}
	for _, other := range p.peers {
		if other.up {
			s.KnownPeers = append(s.KnownPeers, other.MemberAddress)
		}
	}
	return s
}

// send tells a message to all neighbours.
func (p *Peers) send(m wire.Message) {
	encoded, err := wire.Encode(m)
	if err != nil {
		p.log.Error("message to peers left out", "kind", m.Kind(), "err", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, to := range p.peers {
		if to.link != nil {
			to.link.Send(encoded)
		}
	}
}
