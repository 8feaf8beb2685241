package orders

import (
	"time"

	"tamarackchute/journal"
	"tamarackchute/lease"
)

// Engine is the state of an engine according to the accepted records.
type Engine struct {
	Name string
	// Known is false until a record of the engine has been accepted.
	Known bool
	// Observed holds the engine's settings as last recorded; its fields are empty
	// if no record holds them.
	Observed Settings
	// Change is the last change; Phase.Open reports whether it is unfinished.
	Change *Change
	// LastPosition is the position of the last accepted record, LastReadAt the
	// local time just after this process read it.
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

// TakesWork reports whether new work may be sent to the engine: it isn't being
// drained or changed. A router must count a request as in flight before it takes
// the snapshot for this call, and undo that if the result is false. Otherwise it
// could report nothing in flight and then send a request routed before the report.
func (e Engine) TakesWork() bool { return e.Open() == nil }

// Leases returns who leads a scope at the journal position being applied. A
// lease.State or lease.View implements it if each journal entry is applied to it
// no later than to the State that uses it.
type Leases interface {
	Scope(name string) lease.ScopeState
}

// State is the state of all engines, built by applying the journal's records.
type State struct {
	leases  Leases
	engines map[string]Engine
}

// NewState returns the state of an empty journal.
func NewState(leases Leases) *State { return &State{leases: leases} }

// Apply applies one journal entry and reports whether it was an accepted order
// record.
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
	if link == lease.LinkFollows && r.Checkpoint && !prev.matchesCheckpoint(r) {
		return Engine{}, false
	}
	if link == lease.LinkFollows && !r.Checkpoint && !s.allowsStep(prev, r) {
		return Engine{}, false
	}
	next := prev.withRecord(p, r)
	next.chain.Accept(link, r.After, p.Position)
	if s.engines == nil {
		s.engines = make(map[string]Engine)
	}
	s.engines[r.Engine] = next
	return next, true
}

// authorized reports whether the writer led the scope at this position of the
// log. A late record of a former leader is rejected here by every process alike.
// A reader that starts on a trimmed log learns of a scope's leader from the first
// renewal, within seconds, and until then accepts only checkpoints.
func (s *State) authorized(r Record) bool {
	if r.Checkpoint {
		return true
	}
	l := s.leases.Scope(r.Scope)
	return l.Held && l.FencingToken == r.FencingToken
}

// matchesCheckpoint reports whether a checkpoint holds exactly this state.
func (e Engine) matchesCheckpoint(r Record) bool {
	if e.Observed != r.Observed || (e.Change == nil) != (r.Change == nil) {
		return false
	}
	return e.Change == nil || e.Change.sameStep(*r.Change)
}

func (c Change) sameStep(d Change) bool {
	return c.ID == d.ID && c.Phase == d.Phase && c.FencingToken == d.FencingToken && c.Attempt == d.Attempt
}

// allowsStep reports whether a record is an allowed step from the engine's state.
func (s *State) allowsStep(prev Engine, r Record) bool {
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

// allowedSteps lists the phase transitions within one change. Ordered may follow
// ordered: a new attempt, after the outcome of the previous one is known.
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

// withinBudget reports whether a load's reservation fits into the weight store's
// rate together with those of the loads in progress. A reservation ends with its
// change, whichever leader ends that.
func (s *State) withinBudget(r Record) bool {
	if r.Change.Phase != PhaseOrdered || r.Change.Reservation == nil {
		return true
	}
	sum := r.Change.Reservation.BytesPerSec
	for name, e := range s.engines {
		if name != r.Engine {
			sum += e.reservedRate()
		}
	}
	return sum <= r.Change.Reservation.LimitPerSec
}

func (e Engine) reservedRate() float64 {
	c := e.Open()
	if c == nil || c.Phase != PhaseOrdered || c.Reservation == nil {
		return 0
	}
	return c.Reservation.BytesPerSec
}

func (e Engine) withRecord(p journal.LogEntry, r Record) Engine {
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

// Trimmed notes that records expired before they were read. The known state is
// kept, but the next record of an engine may follow one that was missed.
func (s *State) Trimmed() {
	for name, e := range s.engines {
		e.chain.Reset()
		s.engines[name] = e
	}
}

// Engine returns the state of an engine; its Known is false if there is no record
// of the engine.
func (s *State) Engine(name string) Engine {
	e, ok := s.engines[name]
	if !ok {
		return Engine{Name: name}
	}
	return e
}
