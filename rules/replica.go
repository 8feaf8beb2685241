package rules

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// maxEagerCompileAge is the greatest age of a publication whose document is
// compiled when it is folded. Older ones are compiled when a request needs them.
const maxEagerCompileAge = 5 * time.Second

// ReplicaOptions configures a Replica.
type ReplicaOptions struct {
	// Logger receives reports of faults; slog.Default if nil.
	Logger *slog.Logger
	// Observe, if set, is called with each verdict in the order in which they
	// are reached. It must not call the replica.
	Observe func(Verdict)
}

// Replica is this process's copy of the published rules, built by folding the
// log's rules entries. It implements journal.StateMachine and journal.TrimListener;
// register it for journal.KindRules. Its other methods may be called from any
// goroutine.
type Replica struct {
	options ReplicaOptions
	// current decides requests; it is replaced atomically.
	current atomic.Pointer[snapshot]

	mu   sync.Mutex
	fold fold
	// peerState is the newest state received from a peer, settledPeerState the
	// newest one that can replace a checkpoint.
	peerState        State
	settledPeerState *Checkpoint
	verdicts         verdictCache
	history          history
	stateRecord      recordTimes
	// requestedAt is when a request for a checkpoint was read that no checkpoint
	// has followed yet, unsettledSince when fold stopped being settled.
	requestedAt    time.Time
	unsettledSince time.Time
	faults         Faults
	changed        chan struct{}
}

var (
	_ journal.StateMachine = (*Replica)(nil)
	_ journal.TrimListener = (*Replica)(nil)
)

// recordTimes are the times of the last record that holds the state in force.
type recordTimes struct {
	// logTime is by the log's clock, readAt by this process's.
	logTime time.Time
	readAt  time.Time
}

// Faults counts events that a correct deployment never produces.
type Faults struct {
	// Undecodable counts entries that couldn't be decoded as a record.
	Undecodable int `json:"undecodable"`
	// Contradictions counts checkpoints and peer states that contradict themselves
	// or the log.
	Contradictions int `json:"contradictions"`
	// Uncompiled counts versions whose document doesn't compile here.
	Uncompiled int `json:"uncompiled"`
}

// NewReplica returns a replica of a log that has no rules yet.
func NewReplica(o ReplicaOptions) *Replica {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	r := &Replica{options: o, fold: newFold(), changed: make(chan struct{})}
	r.current.Store(newSnapshot(State{}, nil))
	return r
}

// Current returns the rules in force, or nil if they aren't known: the beginning
// of the log has expired, and no checkpoint or peer has supplied the state.
// Until a process has caught up, it may get the zero version or an old one.
func (r *Replica) Current() *InForce {
	s := r.current.Load()
	if s == nil {
		return nil
	}
	inForce, _ := s.resolve()
	return inForce
}

// Verdict returns the verdict on a publication, if it is among the latest.
func (r *Replica) Verdict(id string) (Verdict, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdicts.get(id)
}

// History returns the latest verdicts, newest first.
func (r *Replica) History() []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.list()
}

// Changed returns a channel that is closed when the replica next changes.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Status describes a replica for operators.
type Status struct {
	// InForce decides requests. Accepted is the newest known version; the two
	// differ only if its document doesn't compile here. Both are zero if the rules
	// aren't known.
	InForce  Version `json:"in_force"`
	Accepted Version `json:"accepted"`
	// Settled is false if records expired before they were read: publications
	// are then undecided until a checkpoint arrives.
	Settled bool   `json:"settled"`
	Pending int    `json:"pending"`
	Problem string `json:"problem,omitempty"`
	Faults  Faults `json:"faults"`
	// Failures counts evaluations of conditions in force that failed.
	Failures uint64 `json:"failures"`
}

// Status returns the replica's status.
func (r *Replica) Status() Status {
	var status Status
	if s := r.current.Load(); s != nil {
		inForce, err := s.resolve()
		status.Accepted = s.state.Version
		if inForce != nil {
			status.InForce, status.Failures = inForce.Version, inForce.Set.Failures()
		}
		if err != nil {
			status.Problem = err.Error()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status.Settled, status.Pending, status.Faults = r.fold.settled, len(r.fold.pending), r.faults
	return status
}

// Apply implements journal.StateMachine.
func (r *Replica) Apply(p journal.LogEntry) {
	rec, err := decodeBody(p.Entry.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.notify()
	if err != nil {
		r.faults.Undecodable++
		r.options.Logger.Error("rules entry can't be decoded; ignored", "position", p.Position, "err", err)
		return
	}
	switch rec.Kind {
	case recordPublication:
		r.applyPublication(p, rec.publication(p.Entry.ID))
	case recordCheckpoint:
		r.applyCheckpoint(p, rec.checkpoint())
	case recordCheckpointRequest:
		r.requestedAt = p.ReadAt
	}
}

func (r *Replica) applyPublication(p journal.LogEntry, publication Publication) {
	verdicts := r.fold.publish(loggedPublication{at: p.Position, logTime: p.At, Publication: publication})
	if r.fold.state.Version == Version(p.Position) {
		r.stateRecord = recordTimes{logTime: p.At, readAt: p.ReadAt}
	}
	r.recordVerdicts(verdicts)
	r.refresh(p.ReadAt.Sub(p.At) < maxEagerCompileAge)
}

func (r *Replica) applyCheckpoint(p journal.LogEntry, c Checkpoint) {
	r.requestedAt = time.Time{}
	verdicts, consistent := r.fold.checkpoint(p.Position, c)
	if !consistent {
		r.faults.Contradictions++
		r.options.Logger.Error("checkpoint contradicts the log; ignored", "position", p.Position,
			"writer", p.Entry.Writer, "version", c.State.Version.String(), "own", r.fold.state.Version.String())
		return
	}
	if r.fold.state.Version == c.State.Version {
		r.stateRecord = recordTimes{logTime: p.At, readAt: p.ReadAt}
	}
	r.recordVerdicts(verdicts)
	r.refresh(p.ReadAt.Sub(p.At) < maxEagerCompileAge)
}

// Trimmed implements journal.TrimListener.
func (r *Replica) Trimmed(oldest infra.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.notify()
	r.recordVerdicts(r.fold.trimmed(oldest))
	if r.settledPeerState != nil {
		r.recordVerdicts(r.fold.adopt(*r.settledPeerState))
	}
	if !r.fold.settled && r.unsettledSince.IsZero() {
		r.unsettledSince = time.Now()
	}
	r.refresh(true)
}

// recordVerdicts stores verdicts and passes them to the observer.
func (r *Replica) recordVerdicts(verdicts []Verdict) {
	for _, v := range verdicts {
		r.verdicts.put(v)
		r.history.add(v)
		if r.options.Observe != nil {
			r.options.Observe(v)
		}
	}
	if r.fold.settled {
		r.unsettledSince = time.Time{}
	}
}

// refresh puts the newest known version in force. The version never decreases: a
// peer's state applies until the log has reached the same version.
func (r *Replica) refresh(compile bool) {
	newest := r.fold.state
	if newest.Version.Less(r.peerState.Version) {
		newest = r.peerState
		r.checkPeerState()
	}
	now := r.current.Load()
	if newest.Version.IsZero() && !r.fold.settled {
		r.current.Store(nil)
		return
	}
	if now != nil && !now.state.Version.Less(newest.Version) {
		return
	}
	next := newSnapshot(newest, now)
	if compile {
		// Compile before the swap, so that no request waits for it.
		r.compile(next)
	}
	r.current.Store(next)
}

func (r *Replica) compile(s *snapshot) {
	if _, err := s.resolve(); err != nil {
		r.faults.Uncompiled++
		r.options.Logger.Error("accepted rules don't compile here; the previous rules stay in force",
			"version", s.state.Version.String(), "err", err)
	}
}

// notify wakes the goroutines that wait on Changed.
func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
