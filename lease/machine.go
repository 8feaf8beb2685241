package lease

import "time"

// Config sets a process's part in the lease of one scope.
type Config struct {
	Scope string
	// Instance and Incarnation name this process. Incarnation differs for
	// each start of the program.
	Instance    string
	Incarnation string
	// Term is how long a record gives authority.
	Term time.Duration
	// Renew is the time between renewals, well under Term.
	Renew time.Duration
	// Drift is the most by which two clocks' rates may differ, as a fraction.
	Drift float64
	// ByProof is set for a scope whose upstreams don't check fencing numbers.
	// It never passes on by time alone.
	Unfenced bool
	// Settle is waited between a claim of a ByProof scope and the first order,
	// for bytes that a dead process left in the network.
	Settle time.Duration
	// ClaimDelay sets claimants apart, so that they don't all claim at once.
	ClaimDelay time.Duration
	// Retention is how long the log keeps a record; 0 means for ever.
	Retention time.Duration
}

// checkpointFraction is the part of the retention after which a scope's last
// record is repeated.
const checkpointFraction = 4

// lookAgain is the time between two looks for a ground that stands outside the
// journal, such as the platform's list.
const lookAgain = 100 * time.Millisecond

// Authority is the right to give orders within a scope.
type Authority struct {
	Scope string
	// FencingToken is the fencing token that each order carries.
	FencingToken uint64 `json:"Fence" msgpack:"Fence"`
	// From is the earliest time for an order, Until the time at which the
	// right ends, both by this process's clock with its monotonic part.
	From  time.Time
	Until time.Time
}

// Valid reports whether an order may be given at that time. It is the last
// look at the clock before a write, which may still be held up after it:
// fencing numbers or the passing by proof guard against that.
func (a Authority) Valid(now time.Time) bool {
	return !now.Before(a.From) && now.Before(a.Until)
}

// Sight is what a process sees of other instances beside the journal.
type Observation struct {
	// HolderGone says that the platform's list names the scope's holder no
	// more, by answers asked for after its last record was read.
	HolderGone bool
	// SelfListed says that the list names this instance.
	SelfListed bool
	// AddressBound says that this process has bound its instance's exclusive
	// address, so no former process of the instance is alive.
	AddressBound bool
}

// Step is what a process should do next.
type Step struct {
	// Record is to be appended now; nil means wait.
	Record *Record
	// WakeAt is when to ask again at the latest.
	WakeAt time.Time
}

// pending is a record sent whose fate is open.
type pending struct {
	id     string
	record Record
	sentAt time.Time
}

// Machine decides for one process and one scope when to claim, renew and
// release. It is pure: no clock, no I/O, no goroutine.
type Machine struct {
	cfg       Config
	startedAt time.Time
	sent      *pending
	// heldID is the last accepted record of this process, heldFrom when it
	// was sent, settled when orders may begin.
	heldID   string
	heldFrom time.Time
	settled  time.Time
	renumber bool
}

// NewMachine returns the machine of a process that started at that time.
func NewMachine(cfg Config, startedAt time.Time) *Machine {
	return &Machine{cfg: cfg, startedAt: startedAt}
}

// Step returns the next thing to do in a state of the scope.
func (m *Machine) Step(s ScopeState, see Observation, now time.Time) Step {
	m.Observe(s, now)
	if m.sent != nil {
		return m.resend(s, now)
	}
	if s.HeldBy(m.cfg.Instance, m.cfg.Incarnation) {
		return m.keep(s, see, now)
	}
	if m.needsCheckpoint(s, now) {
		r := m.repeat(s, OpCheckpoint)
		return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
	}
	ground, at := m.claimable(s, see)
	if ground == 0 {
		return Step{WakeAt: now.Add(min(m.cfg.Renew, lookAgain))}
	}
	if now.Before(at) {
		return Step{WakeAt: earlier(now.Add(m.cfg.Renew), at)}
	}
	r := m.claim(s, ground)
	return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
}

// resend repeats the very record whose fate is open, under the same entry ID
// and with the first send's time, so that whichever copy is accepted gives no
// more authority than the first would have.
func (m *Machine) resend(s ScopeState, now time.Time) Step {
	if s.Last != m.sent.record.After {
		m.sent = nil
		return Step{WakeAt: now}
	}
	r := m.sent.record
	return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
}

func (m *Machine) keep(s ScopeState, see Observation, now time.Time) Step {
	if m.cfg.Unfenced && !see.SelfListed {
		r := m.repeat(s, OpRelease)
		return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
	}
	if m.renumber || s.formerFence() {
		r := m.claim(s, BasisRenumber)
		return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
	}
	due := m.heldFrom.Add(m.cfg.Renew)
	if now.Before(due) {
		return Step{WakeAt: due}
	}
	r := m.repeat(s, OpRenewal)
	return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
}

// claimable returns the ground on which this process may claim, and from when;
// a zero ground if it may not.
func (m *Machine) claimable(s ScopeState, see Observation) (Basis, time.Time) {
	if m.cfg.Unfenced && !(see.SelfListed && see.AddressBound) {
		return 0, time.Time{}
	}
	switch {
	case !s.Known:
		return BasisFirst, later(m.startedAt, s.LastReadAt).Add(m.wait(m.cfg.Term) + m.cfg.ClaimDelay)
	case !s.Held:
		return BasisReleased, s.LastReadAt.Add(m.cfg.ClaimDelay)
	case s.Holder == m.cfg.Instance:
		return m.succeed(see)
	case s.Unfenced || m.cfg.Unfenced:
		if !see.HolderGone {
			return 0, time.Time{}
		}
		return BasisGone, s.LastReadAt.Add(m.cfg.ClaimDelay)
	default:
		return BasisExpired, s.LastReadAt.Add(m.wait(s.Term) + m.cfg.ClaimDelay)
	}
}

// succeed claims after a former process of the same instance. Having bound
// the instance's address, which the kernel gives to one living process, is
// the proof that the former one is dead.
func (m *Machine) succeed(see Observation) (Basis, time.Time) {
	if !see.AddressBound {
		return 0, time.Time{}
	}
	return BasisSuccessor, m.startedAt
}

// wait is how long this clock must run until the holder's has run a term.
func (m *Machine) wait(term time.Duration) time.Duration {
	return term + time.Duration(float64(term)*m.cfg.Drift)
}

func (m *Machine) needsCheckpoint(s ScopeState, now time.Time) bool {
	if !s.Known || m.cfg.Retention == 0 {
		return false
	}
	return now.Sub(s.LastReadAt) > m.cfg.Retention/checkpointFraction+m.cfg.ClaimDelay
}

func (m *Machine) claim(s ScopeState, g Basis) Record {
	return Record{
		Op: OpClaim, Scope: m.cfg.Scope, Holder: m.cfg.Instance, Incarnation: m.cfg.Incarnation,
		Term: m.cfg.Term, After: s.Last, Unfenced: m.cfg.Unfenced, Basis: g, Era: s.Era,
	}
}

// repeat returns a record that keeps the state's holder and term.
func (m *Machine) repeat(s ScopeState, op Op) Record {
	return Record{
		Op: op, Scope: s.Scope, Holder: s.Holder, Incarnation: s.Incarnation,
		Term: s.Term, After: s.Last, Unfenced: s.Unfenced,
		FencingToken: s.FencingToken, Since: s.Since, Released: !s.Held, Era: s.Era,
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Sending notes, before the append begins, that a record goes out. A repeated
// ID keeps the time of its first send.
func (m *Machine) BeginSend(id string, r Record, now time.Time) {
	if m.sent != nil && m.sent.id == id {
		return
	}
	m.sent = &pending{id: id, record: r, sentAt: now}
}

// PendingID returns the entry ID under which a record must be sent again, or
// "" if that record isn't one whose fate is open.
func (m *Machine) PendingID(r Record) string {
	if m.sent == nil || m.sent.record != r {
		return ""
	}
	return m.sent.id
}

// Settled notes that the fate of a record is known: it has been folded, or it
// is not in the log and never will be.
func (m *Machine) Resolved(id string) {
	if m.sent != nil && m.sent.id == id {
		m.sent = nil
	}
}

// Observe takes note of a state of the scope.
func (m *Machine) Observe(s ScopeState, now time.Time) {
	if m.sent == nil || s.LastID != m.sent.id {
		return
	}
	r := m.sent.record
	if r.Op == OpClaim && r.Basis == BasisRenumber {
		m.renumber = false
	}
	if r.Op == OpClaim && r.Basis != BasisRenumber {
		m.settled = now.Add(m.settle(s))
	}
	if r.Op == OpClaim || r.Op == OpRenewal {
		m.heldID = m.sent.id
		m.heldFrom = m.sent.sentAt
	}
	m.sent = nil
}

// settle is how long a new holder waits before its first order. Where its
// claim is all that this process knows of the scope, others may know of an
// older record, after which the claim has lost; they tell by their own records
// within a term.
func (m *Machine) settle(s ScopeState) time.Duration {
	var wait time.Duration
	if m.cfg.Unfenced {
		wait = m.cfg.Settle
	}
	if s.Provisional {
		wait = max(wait, m.wait(s.Term))
	}
	return wait
}

// Renumber asks for a new term with a higher fencing number at the next step.
func (m *Machine) Renumber() { m.renumber = true }

// Release returns the record that gives the scope up, if this process holds it.
func (m *Machine) Release(s ScopeState) (Record, bool) {
	if !s.HeldBy(m.cfg.Instance, m.cfg.Incarnation) {
		return Record{}, false
	}
	return m.repeat(s, OpRelease), true
}

// claiming reports whether a claim has been sent that may yet be accepted, and until when it
// could give a right.
func (m *Machine) claiming(s ScopeState, now time.Time) (bool, time.Time) {
	if m.sent == nil || m.sent.record.Op != OpClaim || s.Last != m.sent.record.After {
		return false, time.Time{}
	}
	until := m.sent.sentAt.Add(m.cfg.Term)
	return now.Before(until), until
}

// releasing reports whether a release has been sent. From then on another
// process may hold the scope, even while the release's fate is open here.
func (m *Machine) releasing() bool {
	return m.sent != nil && m.sent.record.Op == OpRelease
}

// Authority returns the right to give orders, if this process has it in a
// state of the scope. The term counts from before the last accepted record
// was sent: a claimant counts from after it read that record, so it begins
// later, however long the append and its reply took.
func (m *Machine) Authority(s ScopeState, now time.Time) (Authority, bool) {
	m.Observe(s, now)
	if m.releasing() || !s.HeldBy(m.cfg.Instance, m.cfg.Incarnation) || s.LastID != m.heldID || s.formerFence() {
		return Authority{}, false
	}
	a := Authority{Scope: s.Scope, FencingToken: s.FencingToken, From: later(m.settled, m.quietUntil(s)), Until: m.heldFrom.Add(s.Term)}
	return a, a.Valid(now)
}

// quietUntil is when the last right ends that another process may have by a record that was
// lost as the log came back from an older copy.
func (m *Machine) quietUntil(s ScopeState) time.Time {
	if s.RestoredAt.IsZero() {
		return time.Time{}
	}
	return s.RestoredAt.Add(m.wait(max(s.Term, m.cfg.Term)))
}
