package orders

import (
	"time"

	"tamarackchute/journal"
	"tamarackchute/lease"
)

// Engine is what the accepted records say about an engine.
type Engine struct {
	Name string
	// Known is false until a record of the engine has been accepted.
	Known bool
	// Believed is what the engine was last seen to be; its fields are empty
	// if no record told.
	Observed Settings
	// Change is the last change; Phase.Open tells whether it still runs.
	Change *Change
	// Last is the position of the last accepted record, LastReadAt this
	// process's own clock just after it read that record.
	LastPosition journal.Position
	LastReadAt   time.Time

	chain lease.Chain
}

// Open returns the open change, or nil.
func (e Engine) Open() *Change {
	if e.Change == nil || !e.Change.Phase.Open() {
		return nil
	}
	return e.Change
}

// TakesWork reports whether new work may go to the engine: it isn't being
// drained or changed.
//
// A router that asks must first count the request as in flight on the engine,
// and only then take the snapshot and ask; if the answer is no it uncounts and
// picks again. Otherwise it could report nothing in flight for a position and
// then send a request that it had picked before that position.
func (e Engine) TakesWork() bool { return e.Open() == nil }

// Leases tells who led a scope at the place of the journal that is being
// folded. A lease.State or lease.View does, if it is given each journal entry
// no later than the State that asks it.
type Leases interface {
	Scope(name string) lease.ScopeState
}

// State is the pure fold over all engines.
type State struct {
	leases  Leases
	engines map[string]Engine
}

// NewState returns the state of an empty journal.
func NewState(leases Leases) *State { return &State{leases: leases} }

// Apply folds one journal entry and reports whether it was an accepted record
// of an order.
func (s *State) Apply(p journal.LogEntry) (Engine, bool) {
	if p.Entry.Kind != journal.KindOrder {
		return Engine{}, false
	}
	r, err := DecodeRecord(p.Entry.Body)
	if err != nil {
		return Engine{}, false
	}
	return s.applyRecord(p, r)
}

func (s *State) applyRecord(p journal.LogEntry, r Record) (Engine, bool) {
	prev := s.engines[r.Engine]
	link := prev.chain.Classify(r.After, p.Position)
	if link == lease.LinkStale || !s.authorized(r) {
		return Engine{}, false
	}
	if link == lease.LinkFollows && r.Checkpoint && !prev.repeatedBy(r) {
		return Engine{}, false
	}
	if link == lease.LinkFollows && !r.Checkpoint && !s.allows(prev, r) {
		return Engine{}, false
	}
	next := prev.with(p, r)
	next.chain.Accept(link, r.After, p.Position)
	if s.engines == nil {
		s.engines = make(map[string]Engine)
	}
	s.engines[r.Engine] = next
	return next, true
}

// authorized reports whether the writer led the scope at this place of the
// log. A record of a former leader that lands late fails here, in every
// process alike. A reader that starts on a trimmed log knows a scope from its
// first renewal on, seconds later; it takes no record of an engine before.
func (s *State) authorized(r Record) bool {
	if r.Checkpoint {
		return true
	}
	l := s.leases.Scope(r.Scope)
	return l.Held && l.FencingToken == r.FencingToken
}

// repeatedBy reports whether a checkpoint tells this very state.
func (e Engine) repeatedBy(r Record) bool {
	if e.Observed != r.Observed || (e.Change == nil) != (r.Change == nil) {
		return false
	}
	return e.Change == nil || e.Change.sameStep(*r.Change)
}

func (c Change) sameStep(d Change) bool {
	return c.ID == d.ID && c.Phase == d.Phase && c.FencingToken == d.FencingToken && c.Attempt == d.Attempt
}

// allows reports whether a record is a step that may follow the engine's state.
func (s *State) allows(prev Engine, r Record) bool {
	open, next := prev.Open(), r.Change
	if next == nil {
		return open == nil
	}
	if next.Engine != r.Engine || next.Scope != r.Scope || next.FencingToken != r.FencingToken {
		return false
	}
	if open == nil {
		return next.Phase == PhaseDraining
	}
	if next.ID != open.ID || next.Scope != open.Scope {
		return false
	}
	return allowedSteps[step{open.Phase, next.Phase}] && s.withinBudget(r)
}

type step struct{ from, to Phase }

// allowedSteps lists the steps within one change. Ordered may follow ordered:
// a new attempt, after the former one's fate is known.
var allowedSteps = map[step]bool{
	{PhaseDraining, PhaseDrained}:  true,
	{PhaseDraining, PhaseUndone}:   true,
	{PhaseDrained, PhaseOrdered}:   true,
	{PhaseDrained, PhaseUndone}:    true,
	{PhaseOrdered, PhaseOrdered}:   true,
	{PhaseOrdered, PhaseConfirmed}: true,
	{PhaseOrdered, PhaseUndone}:    true,
	{PhaseDrained, PhaseConfirmed}: true,
}

// withinBudget reports whether a load fits beside those already under way.
// The reservation ends with the change, whoever ends it.
func (s *State) withinBudget(r Record) bool {
	if r.Change.Phase != PhaseOrdered || r.Change.Reservation == nil {
		return true
	}
	sum := r.Change.Reservation.BytesPerSec
	for name, e := range s.engines {
		if name != r.Engine {
			sum += e.reserved()
		}
	}
	return sum <= r.Change.Reservation.LimitPerSec
}

func (e Engine) reserved() float64 {
	c := e.Open()
	if c == nil || c.Phase != PhaseOrdered || c.Reservation == nil {
		return 0
	}
	return c.Reservation.BytesPerSec
}

func (e Engine) with(p journal.LogEntry, r Record) Engine {
	e.Name = r.Engine
	e.Known = true
	e.Observed = r.Observed
	e.LastPosition = p.Position
	e.LastReadAt = p.ReadAt
	if r.Change == nil {
		return e
	}
	c := *r.Change
	e.Change = &c
	if r.Checkpoint {
		return e
	}
	c.PhaseAt = p.At
	if c.Phase == PhaseDraining {
		c.DrainStart = p.Position
		c.PlannedAt = p.At
	}
	return e
}

// Gap takes note that records have expired before they were read. What was
// known is kept, but the next record of an engine may follow one that was
// missed.
func (s *State) Trimmed() {
	for name, e := range s.engines {
		e.chain.Reset()
		s.engines[name] = e
	}
}

// Engine returns what is known of an engine; its Known is false if nothing is.
func (s *State) Engine(name string) Engine {
	e, ok := s.engines[name]
	if !ok {
		return Engine{Name: name}
	}
	return e
}
