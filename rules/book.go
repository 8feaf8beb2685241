package rules

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// freshRecord is the greatest age of a publication whose document is compiled
// when it is read. Older ones are compiled when a request wants them.
const freshRecord = 5 * time.Second

// ReplicaOptions sets a Book up.
type ReplicaOptions struct {
	// Logger takes reports of faults; slog.Default if nil.
	Logger *slog.Logger
	// Observe, if set, is called with each verdict, in the order in which they
	// became certain. It must not call the book.
	Observe func(Verdict)
}

// Replica folds the log's rules entries. It implements journal.Folder and
// journal.Trimmer; register it for journal.KindRules. Its other methods may be
// called from any goroutine.
type Replica struct {
	options ReplicaOptions
	// current is what requests get, swapped whole.
	current atomic.Pointer[snapshot]

	mu   sync.Mutex
	fold fold
	// offered is the newest state that a peer gave, settled the newest that can
	// stand in for a checkpoint.
	offered        State
	settledOffer   *Checkpoint
	verdicts       verdictCache
	history        history
	carried        carried
	askedAt        time.Time
	unsettledSince time.Time
	faults         Faults
	changed        chan struct{}
}

var (
	_ journal.Folder  = (*Replica)(nil)
	_ journal.Trimmer = (*Replica)(nil)
)

// carried is when a record that holds the state in force was read last.
type carried struct {
	// logTime is by the log's clock, readAt by the reader's.
	logTime time.Time
	readAt  time.Time
}

// Faults counts what a book has met that should never happen.
type Faults struct {
	// Undecodable counts entries that weren't in the form of a record.
	Undecodable int `json:"undecodable"`
	// Contradictions counts checkpoints and peers' states that contradict the
	// log.
	Contradictions int `json:"contradictions"`
	// Uncompiled counts versions whose document doesn't compile here.
	Uncompiled int `json:"uncompiled"`
}

// NewReplica returns the book of a log that has no rules yet.
func NewReplica(o ReplicaOptions) *Replica {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	b := &Replica{options: o, fold: newFold(), changed: make(chan struct{})}
	b.current.Store(newSnapshot(State{}, nil))
	return b
}

// Current returns the rules in force, or nil if none are known: the log's
// beginning has expired and no checkpoint or peer has told the state. A process
// that hasn't caught up yet may still get the zero version, or an old one.
func (b *Replica) Current() *InForce {
	s := b.current.Load()
	if s == nil {
		return nil
	}
	inForce, _ := s.resolve()
	return inForce
}

// Verdict returns the verdict on a publication, if it was read lately.
func (b *Replica) Verdict(id string) (Verdict, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.verdicts.get(id)
}

// History returns the verdicts read lately, newest first.
func (b *Replica) History() []Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.history.list()
}

// Changed returns a channel that is closed at the next change of the book.
func (b *Replica) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Status is what a book knows, for operators.
type Status struct {
	// InForce decides requests. Accepted is the newest version known; it differs
	// only if its document doesn't compile here, or no rules are known at all.
	InForce  Version `json:"in_force"`
	Accepted Version `json:"accepted"`
	// Settled is false if records expired unread: publications are then not
	// decided until a checkpoint comes.
	Settled bool   `json:"settled"`
	Pending int    `json:"pending"`
	Problem string `json:"problem,omitempty"`
	Faults  Faults `json:"faults"`
	// Failures counts conditions of the set in force that failed.
	Failures uint64 `json:"failures"`
}

// Status returns the book's status.
func (b *Replica) Status() Status {
	var status Status
	if s := b.current.Load(); s != nil {
		inForce, err := s.resolve()
		status.Accepted = s.state.Version
		if inForce != nil {
			status.InForce, status.Failures = inForce.Version, inForce.Set.Failures()
		}
		if err != nil {
			status.Problem = err.Error()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	status.Settled, status.Pending, status.Faults = b.fold.settled, len(b.fold.pending), b.faults
	return status
}

// Apply implements journal.Folder.
func (b *Replica) Apply(p journal.Placed) {
	r, err := decodeBody(p.Entry.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.notify()
	if err != nil {
		b.faults.Undecodable++
		b.options.Logger.Error("rules entry can't be read; it is left out", "position", p.Position, "err", err)
		return
	}
	switch r.Kind {
	case recordPublish:
		b.applyPublish(p, r.publish(p.Entry.ID))
	case recordCheckpoint:
		b.applyCheckpoint(p, r.checkpoint())
	case recordAsk:
		b.askedAt = p.ReadAt
	}
}

func (b *Replica) applyPublish(p journal.Placed, publish Publication) {
	verdicts := b.fold.publish(placedPublish{at: p.Position, logTime: p.At, Publication: publish})
	if b.fold.state.Version == Version(p.Position) {
		b.carried = carried{logTime: p.At, readAt: p.ReadAt}
	}
	b.note(verdicts)
	b.refresh(p.ReadAt.Sub(p.At) < freshRecord)
}

func (b *Replica) applyCheckpoint(p journal.Placed, c Checkpoint) {
	b.askedAt = time.Time{}
	verdicts, consistent := b.fold.checkpoint(p.Position, c)
	if !consistent {
		b.faults.Contradictions++
		b.options.Logger.Error("checkpoint contradicts the log; it is left out", "position", p.Position,
			"writer", p.Entry.Writer, "version", c.State.Version.String(), "own", b.fold.state.Version.String())
		return
	}
	if b.fold.state.Version == c.State.Version {
		b.carried = carried{logTime: p.At, readAt: p.ReadAt}
	}
	b.note(verdicts)
	b.refresh(p.ReadAt.Sub(p.At) < freshRecord)
}

// Trimmed implements journal.Trimmer.
func (b *Replica) Trimmed(oldest infra.Offset) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.notify()
	b.note(b.fold.trimmed(oldest))
	if b.settledOffer != nil {
		b.note(b.fold.adopt(*b.settledOffer))
	}
	if !b.fold.settled && b.unsettledSince.IsZero() {
		b.unsettledSince = time.Now()
	}
	b.refresh(true)
}

// note records verdicts.
func (b *Replica) note(verdicts []Verdict) {
	for _, v := range verdicts {
		b.verdicts.put(v)
		b.history.add(v)
		if b.options.Observe != nil {
			b.options.Observe(v)
		}
	}
	if b.fold.settled {
		b.unsettledSince = time.Time{}
	}
}

// refresh puts the newest known version in force. The version never falls: a
// peer's state only stands in until the log has told as much.
func (b *Replica) refresh(compile bool) {
	newest := b.fold.state
	if newest.Version.Less(b.offered.Version) {
		newest = b.offered
		b.checkOffered()
	}
	now := b.current.Load()
	if newest.Version.IsZero() && !b.fold.settled {
		b.current.Store(nil)
		return
	}
	if now != nil && !now.state.Version.Less(newest.Version) {
		return
	}
	next := newSnapshot(newest, now)
	if compile {
		// Before the swap: no request waits for it.
		b.compile(next)
	}
	b.current.Store(next)
}

func (b *Replica) compile(s *snapshot) {
	if _, err := s.resolve(); err != nil {
		b.faults.Uncompiled++
		b.options.Logger.Error("accepted rules don't compile here; the former stay in force",
			"version", s.state.Version.String(), "err", err)
	}
}

// notify wakes those who wait for a change.
func (b *Replica) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}
