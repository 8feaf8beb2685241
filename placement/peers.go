package placement

import (
	"time"
)

// total returns the load of all daemons.
func (e *trackedUpstream) total() Load { return e.local.Plus(e.others) }

// setPeer replaces the load of a peer.
func (e *trackedUpstream) setPeer(peer string, l Load) {
	e.others = e.others.Minus(e.peers[peer]).Plus(l)
	e.peers[peer] = l
}

func (e *trackedUpstream) forgetPeer(peer string) {
	e.others = e.others.Minus(e.peers[peer])
	delete(e.peers, peer)
}

// pendingPrefill returns the prefill work pending for all daemons, in milliseconds. The
// sums wrap around alike, so their difference is correct.
func (e *trackedUpstream) pendingPrefill() float64 {
	all := e.total()
	pending := int32(all.PrefillSent - all.PrefillDone)
	return float64(max(0, pending)) / microsPerMilli * e.prefillSlowdown
}

const microsPerMilli = 1000

// PrefillEvents returns the prefill events since the last call.
func (tr *Tracker) PrefillEvents() []PrefillEvent {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	events := tr.prefillEvents
	tr.prefillEvents = nil
	return events
}

// LocalLoads returns the local loads that have changed since the last call, or with all
// every local load.
func (tr *Tracker) LocalLoads(all bool) []UpstreamLoad {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var loads []UpstreamLoad
	if all {
		for _, e := range tr.byID {
			if !e.dirty && e.local != (Load{}) {
				loads = append(loads, UpstreamLoad{Upstream: e.key(), Load: e.local})
			}
		}
	}
	for _, e := range tr.dirty {
		e.dirty = false
		changed := e.local != e.reported || (all && e.local != (Load{}))
		if changed && tr.byID[e.ID] == e {
			e.reported = e.local
			loads = append(loads, UpstreamLoad{Upstream: e.key(), Load: e.local})
		}
	}
	tr.dirty = tr.dirty[:0]
	return loads
}

// markDirty records that the local load at an upstream changes. tr.mu is held.
func (tr *Tracker) markDirty(e *trackedUpstream) {
	if e.dirty {
		return
	}
	e.dirty = true
	tr.dirty = append(tr.dirty, e)
	if len(tr.dirty) == 1 && tr.onChange != nil {
		tr.onChange()
	}
}

// OnChange registers f to be called when LocalLoads has something new to return. f must not
// block, nor call the tracker.
func (tr *Tracker) OnChange(f func()) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.onChange = f
}

// ApplyPeerUpdate applies the loads and prefill events that a peer reports.
func (tr *Tracker) ApplyPeerUpdate(peer string, loads []UpstreamLoad, events []PrefillEvent) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.now()
	for _, l := range loads {
		e := tr.byKey[l.Upstream]
		if e == nil {
			continue
		}
		before, known := e.peers[peer]
		e.setPeer(peer, l.Load)
		// It is unknown when an unknown or restarted peer added the work it reports; only
		// the difference to a known report counts as new.
		if known {
			e.recordPeerWork(now, l.Load.PrefillSent-before.PrefillSent, l.Load.TransferredTokens-before.TransferredTokens)
		}
	}
	for _, r := range events {
		if e := tr.byKey[r.Engine]; e != nil && e.cache != nil {
			e.cache.applyEvent(r, now)
		}
	}
}

// recordPeerWork queues the prefill work and the KV transfers that a peer has added.
func (e *trackedUpstream) recordPeerWork(now time.Time, sent, transferred uint32) {
	if sent < maxReportedDelta {
		e.addPrefill(now, float64(sent)/microsPerMilli)
	}
	if transferred < maxReportedDelta {
		e.addTransfer(now, float64(transferred)*e.TransferMillisPerToken)
	}
}

// addTransfer queues a KV transfer.
func (e *trackedUpstream) addTransfer(now time.Time, millis float64) {
	if millis == 0 {
		return
	}
	e.linkQueue.add(now, millis)
	e.recentTransfers.add(now, millis)
}

// addPrefill queues prefill work.
func (e *trackedUpstream) addPrefill(now time.Time, millis float64) {
	if millis == 0 {
		return
	}
	millis *= e.prefillSlowdown
	e.prefillQueue.add(now, millis)
	e.recentPrefill.add(now, millis)
}

// maxReportedDelta bounds the work added between two reports of a peer, in microseconds or
// tokens; a greater difference means that the peer's count started again.
const maxReportedDelta = 1 << 24

// ForgetPeer drops the load of a peer that no longer reports.
func (tr *Tracker) ForgetPeer(peer string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, e := range tr.byID {
		e.forgetPeer(peer)
	}
}
