package lease

import (
	"maps"
	"sync/atomic"
	"time"

	"tamarackchute/infra"
	"tamarackchute/internal/notify"
	"tamarackchute/journal"
)

// Snapshot is an immutable state of all scopes.
type Snapshot struct {
	// Position is that of the last journal entry it includes.
	Position journal.Position
	// Scopes is read-only.
	Scopes map[string]ScopeState

	unknown ScopeState
}

// Scope returns the state of a scope; its Known is false if there is none.
func (s *Snapshot) Scope(name string) ScopeState {
	scope, ok := s.Scopes[name]
	if !ok {
		return s.unknown
	}
	return scope
}

// View folds the journal's lease records into the leader of each scope. It
// implements journal.StateMachine, journal.TrimListener and
// journal.RestoreListener; its other methods are safe for concurrent use.
type View struct {
	state   State
	current atomic.Pointer[Snapshot]
	changes notify.Broadcaster
}

// NewView returns a view of an empty journal.
func NewView() *View {
	v := &View{}
	v.current.Store(&Snapshot{Scopes: map[string]ScopeState{}})
	return v
}

// Apply implements journal.StateMachine.
func (v *View) Apply(p journal.LogEntry) {
	next := &Snapshot{Position: p.Position, Scopes: v.current.Load().Scopes, unknown: v.state.unknown()}
	_, accepted := v.state.Apply(p)
	if accepted {
		next.Scopes = maps.Clone(v.state.scopes)
	}
	v.current.Store(next)
	if accepted {
		v.changes.Broadcast()
	}
}

// Trimmed implements journal.TrimListener.
func (v *View) Trimmed(infra.Offset) {
	v.state.Trimmed(time.Now())
	v.publish(v.current.Load().Position)
}

// Restored implements journal.RestoreListener.
func (v *View) Restored(oldest infra.Offset) {
	v.state.Restored(time.Now(), oldest)
	v.publish(journal.Position{Offset: oldest - 1})
}

// publish makes the current state visible at a position and wakes waiters.
func (v *View) publish(at journal.Position) {
	v.current.Store(&Snapshot{Position: at, Scopes: maps.Clone(v.state.scopes), unknown: v.state.unknown()})
	v.changes.Broadcast()
}

// Snapshot returns the current state.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

// Scope returns the current state of a scope.
func (v *View) Scope(name string) ScopeState { return v.current.Load().Scope(name) }

// Changed returns a channel that is closed with the next accepted record. Get
// the channel before the snapshot, so that no change is missed in between.
func (v *View) Changed() <-chan struct{} { return v.changes.Changed() }
