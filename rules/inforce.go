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

// snapshot is a version of the rules, compiled on first use: a process that
// catches up passes through many versions that never decide a request.
type snapshot struct {
	state State
	mu    sync.Mutex
	done  bool
	// inForce decides requests: this version or, if its document doesn't compile
	// here, the previous one.
	inForce  *InForce
	err      error
	previous *snapshot
}

func newSnapshot(s State, previous *snapshot) *snapshot {
	if previous != nil {
		previous.dropUncompiled()
	}
	return &snapshot{state: s, previous: previous}
}

// resolve compiles the document. One that another release of this program
// accepted may not compile here: the previous rules then stay in force, as
// crashing or refusing all requests would be worse, and the error is returned.
// Pool names aren't checked, as settings differ between instances during a change.
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
		if s.previous != nil {
			s.inForce, _ = s.previous.resolve()
		}
	}
	s.previous = nil
	return s.inForce, s.err
}

// dropUncompiled shortens the chain of previous versions: of those before s, only
// the last that was compiled is kept.
func (s *snapshot) dropUncompiled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.previous != nil && !s.previous.compiled() {
		s.previous = s.previous.previous
	}
}

func (s *snapshot) compiled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}
