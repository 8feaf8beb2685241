package rules

import (
	"sync"
	"time"
)

// InForce is the rule set that decides requests.
type InForce struct {
	Version Version
	// Set is never nil; it is empty for the zero version.
	Set    *Set
	Author string
	Note   string
	At     time.Time
}

// snapshot is a version of the rules, compiled once it is wanted: a reader that
// catches up passes through many versions that decide no request.
type snapshot struct {
	state State
	mu    sync.Mutex
	done  bool
	// inForce is what requests get: this version or, if its document doesn't
	// compile here, the one before.
	inForce *InForce
	err     error
	former  *snapshot
}

func newSnapshot(s State, former *snapshot) *snapshot {
	if former != nil {
		former.shorten()
	}
	return &snapshot{state: s, former: former}
}

// resolve compiles the document. A document that another version of this
// program accepted may not compile here: then the former rules stay in force,
// for to crash or to refuse everything would be worse, and the error is told.
// Names of pools aren't checked, as settings may differ while they are changed.
func (s *snapshot) resolve() (*InForce, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return s.inForce, s.err
	}
	s.done = true
	document := s.state.Document
	if s.state.Version.IsZero() {
		document = []byte(`{"rules": []}`)
	}
	set, err := Parse(document, KnownNames{})
	if err == nil {
		s.inForce = &InForce{
			Version: s.state.Version, Set: set, Author: s.state.Author, Note: s.state.Note, At: s.state.At,
		}
	} else {
		s.err = err
		if s.former != nil {
			s.inForce, _ = s.former.resolve()
		}
	}
	s.former = nil
	return s.inForce, s.err
}

// shorten keeps the chain of versions that were never compiled short: of those
// before s, only the last that was compiled is kept.
func (s *snapshot) shorten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.former != nil && !s.former.compiled() {
		s.former = s.former.former
	}
}

func (s *snapshot) compiled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}
