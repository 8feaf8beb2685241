package orders

import (
	"maps"
	"sync/atomic"

	"tamarackchute/infra"
	"tamarackchute/internal/notify"
	"tamarackchute/journal"
)

// Snapshot is an immutable state of all engines.
type Snapshot struct {
	// Position is the last order entry that was applied. An entry instance that
	// reports how far it has applied the journal must read the position (this one
	// or that of the whole journal) before its counts of requests in flight.
	// Otherwise a request routed before the position could be missing in them.
	Position journal.Position
	// Engines is read-only.
	Engines map[string]Engine
}

// Engine returns the state of an engine. If there is no record of the engine, its
// Known is false and it takes work.
func (s *Snapshot) Engine(name string) Engine {
	e, ok := s.Engines[name]
	if !ok {
		return Engine{Name: name}
	}
	return e
}

// View applies the journal's order records. It implements journal.StateMachine
// and journal.TrimListener; its other methods may be called from any goroutine.
type View struct {
	state   *State
	current atomic.Pointer[Snapshot]
	changes notify.Broadcaster
}

// NewView returns a view of an empty journal. Register it for journal.KindOrder
// on the journal on which leases is registered for journal.KindLease.
func NewView(leases Leases) *View {
	v := &View{state: NewState(leases)}
	v.current.Store(&Snapshot{Engines: map[string]Engine{}})
	return v
}

// Apply implements journal.StateMachine.
func (v *View) Apply(p journal.LogEntry) {
	next := &Snapshot{Position: p.Position, Engines: v.current.Load().Engines}
	_, accepted := v.state.Apply(p)
	if accepted {
		next.Engines = maps.Clone(v.state.engines)
	}
	v.current.Store(next)
	if accepted {
		v.changes.Broadcast()
	}
}

// Trimmed implements journal.TrimListener.
func (v *View) Trimmed(infra.Offset) { v.state.Trimmed() }

// Snapshot returns the current state.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

// Changed returns a channel that is closed at the next accepted record. Get the
// channel before the snapshot, so that no change is missed in between.
func (v *View) Changed() <-chan struct{} { return v.changes.Changed() }
