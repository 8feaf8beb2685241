package lease

import (
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// ScopeState is what the accepted records say about a scope. All fields but
// LastReadAt are alike in every process that has read as far.
type ScopeState struct {
	Scope string
	// Known is false until a record of the scope has been accepted.
	Known bool
	// Held is false once the holder has released the scope.
	Held        bool
	Holder      string
	Incarnation string
	Term        time.Duration
	Unfenced    bool
	// Fence is the fencing number: the offset of the claim of this term.
	FencingToken uint64
	// Since is the log's wall clock when it took that claim.
	Since time.Time
	// Ground is why the claim was allowed; zero if the claim had expired from
	// the log before this process started.
	Basis Basis
	// Last and LastID name the last accepted record.
	Last   journal.Position
	LastID string
	// LastAt is the log's wall clock when it took that record.
	LastAt time.Time
	// LastReadAt is this process's own clock just after it read that record.
	LastReadAt time.Time

	// RestoredAt is when this process learnt that the log had come back from an older
	// copy; zero if it never did.
	RestoredAt time.Time

	// Era is the log's, as far as this process knows.
	Era uint64

	// Uncertain is true if the last accepted record is all that this process
	// knows of the scope, and earlier ones have expired: it may yet prove to
	// have lost.
	Provisional bool

	chain Chain
	// own says that a record was accepted whose writer knew of the log's present era.
	// Those of the copy, and of writers that don't know of the restore yet, count until
	// then only.
	own bool
}

// HeldBy reports whether that process holds the scope, as far as records say.
func (s ScopeState) HeldBy(instance, incarnation string) bool {
	return s.Held && s.Holder == instance && s.Incarnation == incarnation
}

// formerFence reports whether the fencing number is of an earlier era than the log's. A
// higher one may have been given out since, by a record that is lost.
func (s ScopeState) formerFence() bool { return infra.Offset(s.FencingToken).Era() < s.Era }

// Apply returns the state after a record, and whether it was accepted.
func (s ScopeState) Apply(p journal.Placed, r Record) (ScopeState, bool) {
	era := p.Position.Offset.Era()
	if s.own && r.Era < era {
		return s, false
	}
	link := s.chain.Classify(r.After, p.Position)
	if link == LinkStale {
		return s, false
	}
	if link == LinkFollows && !s.allows(r) {
		return s, false
	}
	next := s.with(p, r)
	next.chain.Accept(link, r.After, p.Position)
	next.Era = era
	next.own = s.own || r.Era == era
	next.Last = p.Position
	next.LastID = p.Entry.ID
	next.LastAt = p.At
	next.LastReadAt = p.ReadAt
	return next, true
}

// allows reports whether the operation fits the state it follows.
func (s ScopeState) allows(r Record) bool {
	if r.Op == OpClaim {
		return s.allowsClaim(r)
	}
	same := r.Holder == s.Holder && r.Incarnation == s.Incarnation && r.FencingToken == s.FencingToken
	if r.Op == OpCheckpoint {
		return same && r.Released != s.Held
	}
	return same && s.Held
}

// allowsClaim checks what the records can show of a claim's ground. That a
// term has run out on the claimant's clock, or that the list no longer names
// an instance, the claimant alone knows.
func (s ScopeState) allowsClaim(r Record) bool {
	switch r.Basis {
	case BasisReleased:
		return !s.Held
	case BasisExpired:
		return !s.Held || !s.Unfenced
	case BasisSuccessor:
		return r.Holder == s.Holder && r.Incarnation != s.Incarnation
	case BasisGone:
		return r.Holder != s.Holder
	case BasisRenumber:
		return s.HeldBy(r.Holder, r.Incarnation)
	default:
		return false
	}
}

func (s ScopeState) with(p journal.Placed, r Record) ScopeState {
	s.Scope = r.Scope
	s.Known = true
	s.Held = r.Op != OpRelease && !r.Released
	s.Holder = r.Holder
	s.Incarnation = r.Incarnation
	s.Term = r.Term
	s.Unfenced = r.Unfenced
	if r.Op == OpClaim {
		s.FencingToken = uint64(p.Position.Offset)
		s.Since = p.At
		s.Basis = r.Basis
		return s
	}
	if s.FencingToken != r.FencingToken {
		s.Basis = 0
	}
	s.FencingToken = r.FencingToken
	s.Since = r.Since
	return s
}

// State is the pure fold over all scopes. The zero value is empty.
type State struct {
	scopes map[string]ScopeState
	// gapAt is when this reader last learnt that it had missed records, or that they
	// were lost.
	gapAt time.Time
	// restoredAt is when it learnt that the log had come back from an older copy, era
	// the one that it is in since.
	restoredAt time.Time
	era        uint64
}

// Apply folds one journal entry and reports whether it was an accepted record.
func (s *State) Apply(p journal.Placed) (ScopeState, bool) {
	s.noteEra(p)
	if p.Entry.Kind != journal.KindLease {
		return ScopeState{}, false
	}
	r, err := DecodeRecord(p.Entry.Body)
	if err != nil {
		return ScopeState{}, false
	}
	next, ok := s.scopes[r.Scope].Apply(p, r)
	if !ok {
		return ScopeState{}, false
	}
	next.Provisional = !s.gapAt.IsZero() && next.chain.Provisional()
	next.RestoredAt = s.restoredAt
	if s.scopes == nil {
		s.scopes = make(map[string]ScopeState)
	}
	s.scopes[r.Scope] = next
	return next, true
}

// noteEra takes the first record of an era for the news of a restore: a reader that begins
// then can't know how long ago it was.
func (s *State) noteEra(p journal.Placed) {
	if era := p.Position.Offset.Era(); era > s.era {
		s.era, s.restoredAt = era, p.ReadAt
	}
}

// Gap takes note that records have expired before they were read. What was
// known is kept, but the next record of a scope may follow one that was
// missed, and nobody may conclude from silence before a whole term from now.
func (s *State) Trimmed(now time.Time) {
	s.gapAt = now
	for name, scope := range s.scopes {
		scope.chain.Reset()
		scope.LastReadAt = now
		s.scopes[name] = scope
	}
}

// Scope returns the state of a scope; its Known is false if there is none.
func (s *State) Scope(name string) ScopeState {
	scope, ok := s.scopes[name]
	if !ok {
		return s.unknown()
	}
	return scope
}

// unknown is the state of a scope without a record.
func (s *State) unknown() ScopeState {
	return ScopeState{LastReadAt: s.gapAt, RestoredAt: s.restoredAt, Era: s.era}
}

// Restored takes note that the log has come back from an older copy. All records are read
// again, in the order that the copy has; whoever held a scope by a record that is lost may
// go on until it learns of that, for a term at most.
func (s *State) Restored(now time.Time, oldest infra.Offset) {
	*s = State{gapAt: now, restoredAt: now, era: oldest.Era()}
}
