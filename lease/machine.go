package lease

import "time"

// Config configures a process as a candidate for the lease of one scope.
type Config struct {
	Scope string
	// Instance and Incarnation identify this process. Incarnation differs for
	// each start of the program.
	Instance    string
	Incarnation string
	// Term is how long a record gives authority.
	Term time.Duration
	// Renew is the time between renewals, well under Term.
	Renew time.Duration
	// Drift is the largest difference of two clocks' rates, as a fraction.
	Drift float64
	// Unfenced is set for a scope whose upstreams don't check fencing tokens.
	// Its lease never changes hands by expiry alone, only on proof that the
	// holder has ended.
	Unfenced bool
	// Settle is the wait between a claim of an unfenced scope and the first
	// order, for bytes that a dead process left in the network.
	Settle time.Duration
	// ClaimDelay differs between claimants, so that they don't all claim at once.
	ClaimDelay time.Duration
	// Retention is how long the log keeps a record; 0 means forever.
	Retention time.Duration
}

// checkpointDivisor: a scope's last record is repeated once it is older than the
// retention divided by this.
const checkpointDivisor = 4

// pollInterval is the time between checks for a basis outside the journal, such
// as the platform's instance list.
const pollInterval = 100 * time.Millisecond

// Authority is the right to give orders within a scope.
type Authority struct {
	Scope string
	// FencingToken is carried by each order.
	FencingToken uint64
	// From is the earliest time for an order, Until the time at which the
	// authority ends, both by this process's monotonic clock.
	From  time.Time
	Until time.Time
}

// Valid reports whether an order may be given at that time. The write that
// follows this last check of the clock may still be delayed. Fencing tokens
// guard against that, or for an unfenced scope the proof that claims need.
func (a Authority) Valid(now time.Time) bool {
	return !now.Before(a.From) && now.Before(a.Until)
}

// Observation is what a process knows of instances from outside the journal.
type Observation struct {
	// HolderGone says that the platform's list no longer has the scope's holder,
	// by responses requested after the holder's last record was read.
	HolderGone bool
	// SelfListed says that the list has this instance.
	SelfListed bool
	// AddressBound says that this process has bound its instance's exclusive
	// address, so no earlier process of the instance is alive.
	AddressBound bool
}

// Step is what a process should do next.
type Step struct {
	// Record is to be appended now; nil means wait.
	Record *Record
	// WakeAt is the latest time for the next call of Step.
	WakeAt time.Time
}

// pendingRecord is a record that was sent and whose outcome is unknown.
type pendingRecord struct {
	id     string
	record Record
	sentAt time.Time
}

// Machine decides for one process and one scope when to claim, renew and
// release. It is pure: no clock, no I/O, no goroutine.
type Machine struct {
	cfg       Config
	startedAt time.Time
	pending   *pendingRecord
	// acceptedID is the entry ID of this process's last accepted record,
	// acceptedSentAt when it was sent, ordersFrom the earliest time for orders.
	acceptedID     string
	acceptedSentAt time.Time
	ordersFrom     time.Time
	renumber       bool
}

// NewMachine returns the machine of a process that started at startedAt.
func NewMachine(cfg Config, startedAt time.Time) *Machine {
	return &Machine{cfg: cfg, startedAt: startedAt}
}

// Step returns what to do next in a state of the scope.
func (m *Machine) Step(s ScopeState, obs Observation, now time.Time) Step {
	m.Observe(s, now)
	if m.pending != nil {
		return m.resend(s, now)
	}
	if s.HeldBy(m.cfg.Instance, m.cfg.Incarnation) {
		return m.holderStep(s, obs, now)
	}
	if m.needsCheckpoint(s, now) {
		r := m.stateRecord(s, OpCheckpoint)
		return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
	}
	basis, at := m.claimable(s, obs)
	if basis == 0 {
		return Step{WakeAt: now.Add(min(m.cfg.Renew, pollInterval))}
	}
	if now.Before(at) {
		return Step{WakeAt: earlier(now.Add(m.cfg.Renew), at)}
	}
	r := m.claimRecord(s, basis)
	return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
}

// resend repeats the pending record under the same entry ID and with the time
// of its first send, so that whichever copy is accepted, it gives no more
// authority than the first would have.
func (m *Machine) resend(s ScopeState, now time.Time) Step {
	if s.Last != m.pending.record.After {
		m.pending = nil
		return Step{WakeAt: now}
	}
	r := m.pending.record
	return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
}

// holderStep returns the next step of a process that holds the scope.
func (m *Machine) holderStep(s ScopeState, obs Observation, now time.Time) Step {
	if m.cfg.Unfenced && !obs.SelfListed {
		r := m.stateRecord(s, OpRelease)
		return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
	}
	if m.renumber || s.hasStaleToken() {
		r := m.claimRecord(s, BasisRenumber)
		return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
	}
	due := m.acceptedSentAt.Add(m.cfg.Renew)
	if now.Before(due) {
		return Step{WakeAt: due}
	}
	r := m.stateRecord(s, OpRenewal)
	return Step{Record: &r, WakeAt: now.Add(m.cfg.Renew)}
}

// claimable returns the basis on which this process may claim, and from when;
// a zero basis if it may not.
func (m *Machine) claimable(s ScopeState, obs Observation) (Basis, time.Time) {
	if m.cfg.Unfenced && !(obs.SelfListed && obs.AddressBound) {
		return 0, time.Time{}
	}
	switch {
	case !s.Known:
		return BasisFirst, later(m.startedAt, s.LastReadAt).Add(m.withDrift(m.cfg.Term) + m.cfg.ClaimDelay)
	case !s.Held:
		return BasisReleased, s.LastReadAt.Add(m.cfg.ClaimDelay)
	case s.Holder == m.cfg.Instance:
		return m.successorClaim(obs)
	case s.Unfenced || m.cfg.Unfenced:
		if !obs.HolderGone {
			return 0, time.Time{}
		}
		return BasisGone, s.LastReadAt.Add(m.cfg.ClaimDelay)
	default:
		return BasisExpired, s.LastReadAt.Add(m.withDrift(s.Term) + m.cfg.ClaimDelay)
	}
}

// successorClaim is claimable's case of an earlier process on the same instance.
// The kernel lets only one live process bind the instance's address, so having
// bound it proves that the earlier process is dead.
func (m *Machine) successorClaim(obs Observation) (Basis, time.Time) {
	if !obs.AddressBound {
		return 0, time.Time{}
	}
	return BasisSuccessor, m.startedAt
}

// withDrift returns how long this clock must run until the holder's clock is
// sure to have run a term.
func (m *Machine) withDrift(term time.Duration) time.Duration {
	return term + time.Duration(float64(term)*m.cfg.Drift)
}

func (m *Machine) needsCheckpoint(s ScopeState, now time.Time) bool {
	if !s.Known || m.cfg.Retention == 0 {
		return false
	}
	return now.Sub(s.LastReadAt) > m.cfg.Retention/checkpointDivisor+m.cfg.ClaimDelay
}

func (m *Machine) claimRecord(s ScopeState, b Basis) Record {
	return Record{
		Op: OpClaim, Scope: m.cfg.Scope, Holder: m.cfg.Instance, Incarnation: m.cfg.Incarnation,
		Term: m.cfg.Term, After: s.Last, Unfenced: m.cfg.Unfenced, Basis: b, Era: s.Era,
	}
}

// stateRecord returns a record that keeps the state's holder and term.
func (m *Machine) stateRecord(s ScopeState, op Op) Record {
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

// BeginSend must be called before a record's append begins. A repeated ID keeps
// the time of its first send.
func (m *Machine) BeginSend(id string, r Record, now time.Time) {
	if m.pending != nil && m.pending.id == id {
		return
	}
	m.pending = &pendingRecord{id: id, record: r, sentAt: now}
}

// PendingID returns the entry ID under which a record must be sent again, or
// "" if the record isn't pending.
func (m *Machine) PendingID(r Record) string {
	if m.pending == nil || m.pending.record != r {
		return ""
	}
	return m.pending.id
}

// Resolved notes that a record's outcome is known: it has been folded, or it is
// not in the log and never will be.
func (m *Machine) Resolved(id string) {
	if m.pending != nil && m.pending.id == id {
		m.pending = nil
	}
}

// Observe notes a state of the scope, which may show that the pending record was
// accepted.
func (m *Machine) Observe(s ScopeState, now time.Time) {
	if m.pending == nil || s.LastID != m.pending.id {
		return
	}
	r := m.pending.record
	if r.Op == OpClaim && r.Basis == BasisRenumber {
		m.renumber = false
	}
	if r.Op == OpClaim && r.Basis != BasisRenumber {
		m.ordersFrom = now.Add(m.settleTime(s))
	}
	if r.Op == OpClaim || r.Op == OpRenewal {
		m.acceptedID = m.pending.id
		m.acceptedSentAt = m.pending.sentAt
	}
	m.pending = nil
}

// settleTime returns how long a new holder waits before its first order. If its
// claim is all that it knows of the scope, the claim may have been rejected
// against an older record that others know; their own records show that within
// a term.
func (m *Machine) settleTime(s ScopeState) time.Duration {
	var wait time.Duration
	if m.cfg.Unfenced {
		wait = m.cfg.Settle
	}
	if s.Provisional {
		wait = max(wait, m.withDrift(s.Term))
	}
	return wait
}

// Renumber makes the next step begin a new term with a higher fencing token.
func (m *Machine) Renumber() { m.renumber = true }

// Release returns the record that releases the scope, if this process holds it.
func (m *Machine) Release(s ScopeState) (Record, bool) {
	if !s.HeldBy(m.cfg.Instance, m.cfg.Incarnation) {
		return Record{}, false
	}
	return m.stateRecord(s, OpRelease), true
}

// pendingClaim reports whether a pending claim may still be accepted, and until
// when it could give authority.
func (m *Machine) pendingClaim(s ScopeState, now time.Time) (bool, time.Time) {
	if m.pending == nil || m.pending.record.Op != OpClaim || s.Last != m.pending.record.After {
		return false, time.Time{}
	}
	until := m.pending.sentAt.Add(m.cfg.Term)
	return now.Before(until), until
}

// releasePending reports whether a release has been sent. From then on another
// process may hold the scope, although this one doesn't know the outcome.
func (m *Machine) releasePending() bool {
	return m.pending != nil && m.pending.record.Op == OpRelease
}

// Authority returns the right to give orders, if this process has it in a
// state of the scope. The term counts from before the last accepted record was
// sent and a claimant's wait from after it read that record, so the claimant
// begins later, however long the append and its reply took.
func (m *Machine) Authority(s ScopeState, now time.Time) (Authority, bool) {
	m.Observe(s, now)
	if m.releasePending() || !s.HeldBy(m.cfg.Instance, m.cfg.Incarnation) || s.LastID != m.acceptedID || s.hasStaleToken() {
		return Authority{}, false
	}
	a := Authority{Scope: s.Scope, FencingToken: s.FencingToken, From: later(m.ordersFrom, m.lostAuthorityEnd(s)), Until: m.acceptedSentAt.Add(s.Term)}
	return a, a.Valid(now)
}

// lostAuthorityEnd returns when the last authority ends that another process may
// have by a record that was lost when the log was restored from an older copy.
func (m *Machine) lostAuthorityEnd(s ScopeState) time.Time {
	if s.RestoredAt.IsZero() {
		return time.Time{}
	}
	return s.RestoredAt.Add(m.withDrift(max(s.Term, m.cfg.Term)))
}
