package rules

import "tamarackchute/journal"

// PeerState is the state of the rules as sent from one process to another, so
// that a process that starts while the log is down has rules at once.
type PeerState struct {
	State State `json:"state"`
	// Through is the position up to which State reflects the log.
	Through journal.Position `json:"through"`
	// Settled reports whether the sender knew the state at Through from the log.
	Settled bool `json:"settled"`
}

// PeerState returns the state to send to another process. applied is the position
// up to which the journal had folded, read before the call.
func (b *Replica) PeerState(applied journal.Position) PeerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fold.state.Version.Less(b.peerState.Version) {
		return PeerState{State: b.peerState, Through: journal.Position(b.peerState.Version)}
	}
	c := b.checkpointAt(applied)
	return PeerState{State: c.State, Through: c.Through, Settled: b.fold.settled}
}

// checkpointAt returns the state with the latest position that it is known to
// reflect: no entry between the last folded one and applied was missed.
func (b *Replica) checkpointAt(applied journal.Position) Checkpoint {
	through := b.fold.through
	if through.Less(applied) {
		through = applied
	}
	return Checkpoint{State: b.fold.state, Through: through}
}

// ApplyPeerState merges a peer's state. A version higher than the one in force
// comes into force at once; the log must later reach it. The result reports
// whether the state changed anything.
func (b *Replica) ApplyPeerState(p PeerState) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, wasSettled := b.current.Load(), b.fold.settled
	if p.Through.Less(journal.Position(p.State.Version)) {
		b.faults.Contradictions++
		return false
	}
	if b.peerState.Version.Less(p.State.Version) {
		b.peerState = p.State
	}
	if p.Settled && (b.settledPeerState == nil || b.settledPeerState.Through.Less(p.Through)) {
		b.settledPeerState = &Checkpoint{State: p.State, Through: p.Through}
		b.recordVerdicts(b.fold.adopt(*b.settledPeerState))
	}
	b.refresh(true)
	used := b.current.Load() != before || b.fold.settled != wasSettled
	if used {
		b.notify()
	}
	return used
}

// checkPeerState reports a peer's version that isn't in the log although the log
// was read past its position: the peer is faulty, or the log was restored from an
// older copy. The version stays in force, as rules never go back.
func (b *Replica) checkPeerState() {
	if !b.fold.settled || b.fold.through.Less(journal.Position(b.peerState.Version)) {
		return
	}
	b.faults.Contradictions++
	b.options.Logger.Error("rules received from a peer are not in the log; they stay in force",
		"version", b.peerState.Version.String(), "log", b.fold.state.Version.String())
}
