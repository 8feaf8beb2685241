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
func (r *Replica) PeerState(applied journal.Position) PeerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fold.state.Version.Less(r.peerState.Version) {
		return PeerState{State: r.peerState, Through: journal.Position(r.peerState.Version)}
	}
	c := r.checkpointAt(applied)
	return PeerState{State: c.State, Through: c.Through, Settled: r.fold.settled}
}

// checkpointAt returns the state with the latest position that it is known to
// reflect: no entry between the last folded one and applied was missed.
func (r *Replica) checkpointAt(applied journal.Position) Checkpoint {
	through := r.fold.through
	if through.Less(applied) {
		through = applied
	}
	return Checkpoint{State: r.fold.state, Through: through}
}

// ApplyPeerState merges a peer's state. A version higher than the one in force
// comes into force at once; the log must later reach it. The result reports
// whether the version in force changed or the state became settled.
func (r *Replica) ApplyPeerState(p PeerState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, wasSettled := r.current.Load(), r.fold.settled
	if p.Through.Less(journal.Position(p.State.Version)) {
		r.faults.Contradictions++
		return false
	}
	if r.peerState.Version.Less(p.State.Version) {
		r.peerState = p.State
	}
	if p.Settled && (r.settledPeerState == nil || r.settledPeerState.Through.Less(p.Through)) {
		r.settledPeerState = &Checkpoint{State: p.State, Through: p.Through}
		r.recordVerdicts(r.fold.adopt(*r.settledPeerState))
	}
	r.refresh(true)
	changed := r.current.Load() != before || r.fold.settled != wasSettled
	if changed {
		r.notify()
	}
	return changed
}

// checkPeerState reports a peer's version that isn't in the log although the log
// was read past its position: the peer is faulty, or the log was restored from an
// older copy. The version stays in force, as rules never go back.
func (r *Replica) checkPeerState() {
	if !r.fold.settled || r.fold.through.Less(journal.Position(r.peerState.Version)) {
		return
	}
	r.faults.Contradictions++
	r.options.Logger.Error("rules received from a peer are not in the log; they stay in force",
		"version", r.peerState.Version.String(), "log", r.fold.state.Version.String())
}
