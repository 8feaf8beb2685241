package lease

import (
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// ScopeState is the fold of a scope's accepted records. Basis, LastReadAt,
// RestoredAt and Provisional also depend on when this process started to read;
// the other fields are equal in every process that has read up to the same
// position.
type ScopeState struct {
	Scope string
	// Known is set once a record of the scope has been accepted.
	Known bool
	// Held is false once the holder has released the scope.
	Held        bool
	Holder      string
	Incarnation string
	Term        time.Duration
	Unfenced    bool
	// FencingToken is the offset of the claim that began this term.
	FencingToken uint64
	// Since is the log's wall clock at that claim.
	Since time.Time
	// Basis is why the claim was allowed; zero if the claim expired from the log
	// before this process read it.
	Basis Basis
	// Last and LastID are the position and entry ID of the last accepted record.
	Last   journal.Position
	LastID string
	// LastAt is the log's wall clock at that record.
	LastAt time.Time
	// LastReadAt is this process's clock just after it read that record.
	LastReadAt time.Time

	// RestoredAt is when this process learned that the log had been restored from
	// an older copy; zero if it never was.
	RestoredAt time.Time

	// Era is the log's era, as far as this process knows.
	Era uint64

	// Provisional is set if the last accepted record is all that this process
	// knows of the scope, and earlier ones have expired: later records may
	// still show that it had been rejected.
	Provisional bool

	chain Chain
	// currentEra is set once a record was accepted whose writer knew the log's
	// current era. Until then records of earlier eras are accepted too: those
	// restored with the copy, and those of writers unaware of the restore.
	currentEra bool
}

// HeldBy reports whether that process holds the scope by the accepted records.
// Whether its term still runs is not considered.
func (s ScopeState) HeldBy(instance, incarnation string) bool {
	return s.Held && s.Holder == instance && s.Incarnation == incarnation
}

// hasStaleToken reports whether the fencing token is of an earlier era than the
// log's. A record that the restore lost may have issued a higher one.
func (s ScopeState) hasStaleToken() bool { return infra.Offset(s.FencingToken).Era() < s.Era }

// Apply returns the state after a record and whether the record was accepted.
func (s ScopeState) Apply(p journal.LogEntry, r Record) (ScopeState, bool) {
	era := p.Position.Offset.Era()
	if s.currentEra && r.Era < era {
		return s, false
	}
	link := s.chain.Classify(r.After, p.Position)
	if link == LinkStale {
		return s, false
	}
	if link == LinkFollows && !s.allows(r) {
		return s, false
	}
	next := s.withRecord(p, r)
	next.chain.Accept(link, r.After, p.Position)
	next.Era = era
	next.currentEra = s.currentEra || r.Era == era
	next.Last = p.Position
	next.LastID = p.Entry.ID
	next.LastAt = p.At
	next.LastReadAt = p.ReadAt
	return next, true
}

// allows reports whether the state permits the record's operation.
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

// allowsClaim checks as much of a claim's basis as the records can show. Only
// the claimant knows whether a term has expired by its clock, or whether the
// instance list no longer has an instance.
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

// withRecord returns the state with a record's contents. Apply sets the chain, the
// era and the last record.
func (s ScopeState) withRecord(p journal.LogEntry, r Record) ScopeState {
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
		// The claim that began this term wasn't read, so its basis isn't known.
		s.Basis = 0
	}
	s.FencingToken = r.FencingToken
	s.Since = r.Since
	return s
}

// State is the pure fold over all scopes. The zero value is empty.
type State struct {
	scopes map[string]ScopeState
	// trimmedAt is when this reader last learned that it had missed records, or
	// that a restore had lost some.
	trimmedAt time.Time
	// restoredAt is when it learned that the log had been restored from an older
	// copy, era the log's era since then.
	restoredAt time.Time
	era        uint64
}

// Apply folds one journal entry and reports whether it was an accepted record.
func (s *State) Apply(p journal.LogEntry) (ScopeState, bool) {
	s.observeEra(p)
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
	next.Provisional = !s.trimmedAt.IsZero() && next.chain.Provisional()
	next.RestoredAt = s.restoredAt
	if s.scopes == nil {
		s.scopes = make(map[string]ScopeState)
	}
	s.scopes[r.Scope] = next
	return next, true
}

// observeEra treats the first record of a new era as a restore at this time: a
// reader that starts with it can't know how long ago the restore was.
func (s *State) observeEra(p journal.LogEntry) {
	if era := p.Position.Offset.Era(); era > s.era {
		s.era, s.restoredAt = era, p.ReadAt
	}
}

// Trimmed notes that records expired before they were read. The known state is
// kept, but the next record of a scope may follow a missed one, and the time
// without records counts from now, so no claim is made before a full term.
func (s *State) Trimmed(now time.Time) {
	s.trimmedAt = now
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

// unknown returns the state of a scope without records.
func (s *State) unknown() ScopeState {
	return ScopeState{LastReadAt: s.trimmedAt, RestoredAt: s.restoredAt, Era: s.era}
}

// Restored notes that the log was restored from an older copy. All records are
// read again in the copy's order. A holder whose record was lost may go on
// until it learns of the restore, for a term at most.
func (s *State) Restored(now time.Time, oldest infra.Offset) {
	*s = State{trimmedAt: now, restoredAt: now, era: oldest.Era()}
}
