package rules

import "tamarackchute/journal"

// PeerState is what one process tells another of its rules, so that a process
// that starts while the log is down has rules at once.
type PeerState struct {
	State State `json:"state"`
	// Through is the position up to which State accounts for the log.
	Through journal.Position `json:"through"`
	// Settled says that the giver knew the state at Through from the log.
	Settled bool `json:"settled"`
}

// PeerState returns what this process can tell another. The argument is the
// position up to which its journal had folded, taken before the call.
func (b *Replica) PeerState(applied journal.Position) PeerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fold.state.Version.Less(b.offered.Version) {
		return PeerState{State: b.offered, Through: journal.Position(b.offered.Version)}
	}
	c := b.checkpointAt(applied)
	return PeerState{State: c.State, Through: c.Through, Settled: b.fold.settled}
}

// checkpointAt returns the state with the latest position that it is known to
// account for: no entry between the last one folded and applied was missed.
func (b *Replica) checkpointAt(applied journal.Position) Checkpoint {
	through := b.fold.through
	if through.Less(applied) {
		through = applied
	}
	return Checkpoint{State: b.fold.state, Through: through}
}

// ApplyPeerState hands a peer's state in. A higher version than the one in force is put
// in force at once; the log must later tell the same or more. It reports
// whether the state was of use.
func (b *Replica) ApplyPeerState(p PeerState) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, wasSettled := b.current.Load(), b.fold.settled
	if p.Through.Less(journal.Position(p.State.Version)) {
		b.faults.Contradictions++
		return false
	}
	if b.offered.Version.Less(p.State.Version) {
		b.offered = p.State
	}
	if p.Settled && (b.settledOffer == nil || b.settledOffer.Through.Less(p.Through)) {
		b.settledOffer = &Checkpoint{State: p.State, Through: p.Through}
		b.note(b.fold.adopt(*b.settledOffer))
	}
	b.refresh(true)
	used := b.current.Load() != before || b.fold.settled != wasSettled
	if used {
		b.notify()
	}
	return used
}

// checkOffered reports a peer's version that the log, read beyond its place,
// doesn't have. That is a fault of the peer, or the log was replaced by an
// older copy. The version stays in force, as rules never go back.
func (b *Replica) checkOffered() {
	if !b.fold.settled || b.fold.through.Less(journal.Position(b.offered.Version)) {
		return
	}
	b.faults.Contradictions++
	b.options.Logger.Error("a peer's rules are not in the log; they stay in force",
		"version", b.offered.Version.String(), "log", b.fold.state.Version.String())
}
