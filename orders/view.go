package orders

import (
	"maps"
	"sync/atomic"

	"tamarackchute/infra"
	"tamarackchute/internal/notify"
	"tamarackchute/journal"
)

// Snapshot is a state of all engines that doesn't change any more.
type Snapshot struct {
	// Position is the last order record that was folded. An entry instance
	// that reports how far it obeys the journal must read the position (this
	// one, or the whole journal's) before its counts of work in flight: counted
	// first, a request could be missing from the counts and yet have been
	// picked before the position.
	Position journal.Position
	// Engines is read-only.
	Engines map[string]Engine
}

// Engine returns what is known of an engine; its Known is false, and it takes
// work, if there is no record of it.
func (s *Snapshot) Engine(name string) Engine {
	e, ok := s.Engines[name]
	if !ok {
		return Engine{Name: name}
	}
	return e
}

// View folds the journal's order records. It implements journal.Folder and
// journal.Trimmer; its other methods may be called from anywhere.
type View struct {
	state   *State
	current atomic.Pointer[Snapshot]
	changes notify.Broadcaster
}

// NewView returns a view of an empty journal. Register it for KindOrder with
// the same journal as leases for KindLease.
func NewView(leases Leases) *View {
	v := &View{state: NewState(leases)}
	v.current.Store(&Snapshot{Engines: map[string]Engine{}})
	return v
}

// Apply implements journal.Folder.
func (v *View) Apply(p journal.Placed) {
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

// Trimmed implements journal.Trimmer.
func (v *View) Trimmed(infra.Offset) { v.state.Gap() }

// Snapshot returns the current state.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

// Changed returns a channel that closes with the next accepted record. Take
// the channel before the snapshot, so that no change falls between the two.
func (v *View) Changed() <-chan struct{} { return v.changes.Changed() }
