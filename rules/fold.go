package rules

import (
	"slices"
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// Outcome is the outcome of a publication.
type Outcome string

// The outcomes of a publication.
const (
	// OutcomeAccepted means that the document came into force at its position.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict means that a version other than its base was in force there.
	OutcomeConflict Outcome = "conflict"
	// OutcomeUnknown means that the version in force there can no longer be
	// determined from the log.
	OutcomeUnknown Outcome = "unknown"
)

// Verdict is the result of one publication. All replicas that decide it reach
// the same outcome.
type Verdict struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Version is the publication's own position.
	Version Version `json:"version"`
	Base    Version `json:"base"`
	// Former is the version in force just before.
	Former Version   `json:"former"`
	Author string    `json:"author"`
	Note   string    `json:"note"`
	At     time.Time `json:"at"`
	Forced bool      `json:"forced,omitempty"`
	// Document is the document that was submitted.
	Document []byte `json:"-"`
}

// loggedPublication is a publication at its position in the log.
type loggedPublication struct {
	at journal.Position
	// logTime is the time of the record by the log's clock.
	logTime time.Time
	Publication
}

// fold is the state of the rules at a position of the log. Two folds that are
// settled at the same position have equal states, wherever they began to read.
type fold struct {
	state State
	// settled reports whether state was in force at through. Otherwise the
	// reader has missed records, and state was in force at some earlier time.
	settled bool
	// through is the position up to which state reflects the log.
	through journal.Position
	// contiguousFrom is the offset since which no record was missed.
	contiguousFrom infra.Offset
	// pending are the publications read since contiguousFrom while not settled.
	pending []loggedPublication
}

// maxPending bounds the publications kept while the state isn't settled.
const maxPending = 64

// newFold returns the state before the first record.
func newFold() fold { return fold{settled: true, contiguousFrom: 1} }

// publish folds a publication and returns the verdicts that can now be reached.
func (f *fold) publish(p loggedPublication) []Verdict {
	if !f.through.Less(p.at) {
		return []Verdict{f.covered(p)}
	}
	f.through = p.at
	switch {
	case f.settled:
		return []Verdict{f.decide(p)}
	case f.canForce(p):
		verdicts := f.dropPending()
		f.settled = true
		return append(verdicts, f.decide(p))
	case len(f.pending) >= maxPending:
		// Bound the memory: drop them all and treat the records so far as missed.
		f.contiguousFrom = p.at.Offset + 1
		f.pending = append(f.pending, p)
		return f.dropPending()
	default:
		f.pending = append(f.pending, p)
		return nil
	}
}

// canForce reports whether a forced publication is accepted even though the
// version in force isn't known: nothing can have been accepted since the record
// that it names.
func (f *fold) canForce(p loggedPublication) bool {
	if !p.Force || f.contiguousFrom > p.Through+1 {
		return false
	}
	return !slices.ContainsFunc(f.pending, func(q loggedPublication) bool { return q.at.Offset > p.Through })
}

// decide accepts or rejects a publication. Versions only increase, so one that
// arrives twice or late can't be accepted once its base was replaced. It isn't a
// conflict if an earlier copy, perhaps accepted, may have been missed.
func (f *fold) decide(p loggedPublication) Verdict {
	forced := p.Force && f.state.Version.Offset <= p.Through
	if !forced && p.Base != f.state.Version {
		if p.ID == f.state.PublishID || f.contiguousFrom > p.Through+1 {
			return f.covered(p)
		}
		v := p.verdict(OutcomeConflict)
		v.Former = f.state.Version
		return v
	}
	v := p.verdict(OutcomeAccepted)
	v.Former = f.state.Version
	f.state = State{
		Version: Version(p.at), PublishID: p.ID, Author: p.Author,
		Note: p.Note, At: p.logTime, Document: p.Document,
	}
	return v
}

// covered returns the verdict on a publication that the state already reflects,
// or of which it may reflect a copy.
func (f *fold) covered(p loggedPublication) Verdict {
	if p.ID == f.state.PublishID {
		v := p.verdict(OutcomeAccepted)
		v.Version = f.state.Version
		return v
	}
	return p.verdict(OutcomeUnknown)
}

func (p *loggedPublication) verdict(o Outcome) Verdict {
	return Verdict{
		ID: p.ID, Outcome: o, Version: Version(p.at), Base: p.Base, Former: p.Base,
		Author: p.Author, Note: p.Note, At: p.logTime, Forced: p.Force, Document: p.Document,
	}
}

// checkpoint folds a checkpoint at its position. It returns false if the
// checkpoint contradicts itself or a settled state, which is a fault of its writer.
func (f *fold) checkpoint(at journal.Position, c Checkpoint) ([]Verdict, bool) {
	if !f.through.Less(at) {
		return nil, true
	}
	consistent := c.Through.Less(at) && !c.Through.Less(journal.Position(c.State.Version))
	if f.settled {
		consistent = consistent && !f.state.Version.Less(c.State.Version)
	}
	if !consistent {
		return nil, false
	}
	f.through = at
	return f.adopt(c), true
}

// adopt takes over the state of a settled process and decides the pending
// publications after its position. That needs every record since: a checkpoint
// from before a gap in what was read doesn't cover publications in the gap, and
// only proves that its version was once in force.
func (f *fold) adopt(c Checkpoint) []Verdict {
	if f.settled {
		return nil
	}
	if f.state.Version.Less(c.State.Version) {
		f.state = c.State
	}
	if c.Through.Offset < f.contiguousFrom {
		return nil
	}
	f.settled = true
	if f.through.Less(c.Through) {
		f.through = c.Through
	}
	pending := f.pending
	f.pending = nil
	verdicts := make([]Verdict, 0, len(pending))
	for _, p := range pending {
		if c.Through.Less(p.at) {
			verdicts = append(verdicts, f.decide(p))
		} else {
			verdicts = append(verdicts, f.covered(p))
		}
	}
	return verdicts
}

// trimmed handles the expiry of unread records before oldest. Publications among
// them are unknown, so the state is no longer settled; it stays as a lower bound
// of the version in force.
func (f *fold) trimmed(oldest infra.Offset) []Verdict {
	f.contiguousFrom = max(f.contiguousFrom, oldest)
	if f.settled && f.through.Offset >= oldest {
		return nil // the state was adopted from a process that had read them
	}
	f.settled = false
	return f.dropPending()
}

func (f *fold) dropPending() []Verdict {
	verdicts := make([]Verdict, 0, len(f.pending))
	for _, p := range f.pending {
		verdicts = append(verdicts, p.verdict(OutcomeUnknown))
	}
	f.pending = nil
	return verdicts
}
