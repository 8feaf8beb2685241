package member

import (
	"slices"
	"time"

	"tamarackchute/internal/boottime"
	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

// loadUpdate returns the message to send between two heartbeats, nil if nothing has changed. It
// is a full state only if more than the loads has changed.
func (p *Peers) loadUpdate(now time.Time) wire.Message {
	loads := p.tracker.LocalLoads(false)
	if len(loads) == 0 {
		return nil
	}
	summary := p.summary()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.reported.covers(summary, now) {
		return p.newState(summary, loads, p.tracker.PrefillEvents(), now)
	}
	p.seq++
	return wire.MemberLoads{Incarnation: p.incarnation, Seq: p.seq, Loads: loads, Prefills: p.tracker.PrefillEvents()}
}

// reportedSummary is the summary in the last state sent, and when.
type reportedSummary struct {
	Summary
	at time.Time
}

// listAgeSlack is the difference up to which two ages of a list count as equal: they are
// measured at slightly different times.
const listAgeSlack = 10 * time.Millisecond

// covers reports whether the reported summary still holds, apart from the time passed.
func (r reportedSummary) covers(now Summary, at time.Time) bool {
	same := r.Serving == now.Serving && r.KeysStale == now.KeysStale && r.Overdue == now.Overdue && slices.Equal(r.LostPools, now.LostPools) && r.PathLost == now.PathLost && r.Config == now.Config &&
		r.ListPosition == now.ListPosition && r.ListDigest == now.ListDigest
	return same && now.ListAge > r.ListAge+at.Sub(r.at)-listAgeSlack
}

// newState returns a state to send. p.mu is held.
func (p *Peers) newState(summary Summary, loads []placement.UpstreamLoad, prefills []placement.PrefillEvent, now time.Time) wire.MemberState {
	p.seq++
	p.reported = reportedSummary{summary, now}
	return wire.MemberState{
		MemberAddress: p.self, Incarnation: p.incarnation, Seq: p.seq,
		Serving: summary.Serving, ConfigVersion: summary.Config, ConfigBytes: summary.ConfigBytes, ListAge: summary.ListAge,
		ListPosition: uint64(summary.ListPosition), ListDigest: summary.ListDigest, ListSize: summary.ListSize,
		FullMesh: p.fullMesh, Loads: loads, Prefills: prefills, Unavailable: p.unavailableEngines(),
		LostPools: summary.LostPools, PathLost: summary.PathLost,
		KeysStale: summary.KeysStale, Overdue: summary.Overdue, Clock: time.Now().UnixNano(), Quarantine: p.quarantineFingerprint(),
		SentAt: boottime.Now(),
	}
}

// heartbeatState returns the state of a heartbeat. It contains the loads even if they haven't
// changed, and periodically the observations and the addresses of other daemons.
func (p *Peers) heartbeatState(now time.Time) wire.MemberState {
	var loads []placement.UpstreamLoad
	var prefills []placement.PrefillEvent
	if p.isFullMesh() {
		loads, prefills = p.tracker.LocalLoads(true), p.tracker.PrefillEvents()
	}
	summary := p.summary()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.newState(summary, loads, prefills, now)
	s.Demands = p.localDemand()
	p.heartbeats++
	if p.heartbeats%observationsPeriod == 0 {
		s.Observations = p.tracker.LocalObservations()
	}
	if p.heartbeats%addressesPeriod != 1 {
		return s
	}
	for _, other := range p.peers {
		if other.up {
			s.KnownPeers = append(s.KnownPeers, other.MemberAddress)
		}
	}
	return s
}

// sendTo sends a message to a neighbour; it is lost if there is no link.
func (p *Peers) sendTo(address string, m wire.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if to := p.peers[address]; to != nil && to.link != nil {
		to.link.Send(m)
	}
}

// broadcast sends a message to all neighbours.
func (p *Peers) broadcast(m wire.Message) {
	encoded, err := wire.Encode(m)
	if err != nil {
		p.log.Error("encoding a message to peers failed", "kind", m.Kind(), "err", err)
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
