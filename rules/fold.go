package rules

import (
	"slices"
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// Outcome is what became of a publication.
type Outcome string

// The outcomes of a publication.
const (
	// OutcomeAccepted: its document was put in force at its position.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict: another version than its base was in force there.
	OutcomeConflict Outcome = "conflict"
	// OutcomeUnknown: the log no longer tells what was in force there.
	OutcomeUnknown Outcome = "unknown"
)

// Verdict is the result of one publication, the same at each reader that has
// read up to it.
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
	// Document is what was to be published.
	Document []byte `json:"-"`
}

// placedPublish is a publication at its place in the log.
type placedPublish struct {
	at journal.Position
	// logTime is the log's clock.
	logTime time.Time
	Publication
}

// fold is the state of the rules at a place of the log. Two folds that are
// settled at one place have equal states, wherever they began to read.
type fold struct {
	state State
	// settled says that state is what was in force at through. Otherwise the
	// reader has missed records, and state is a version that was in force
	// earlier.
	settled bool
	// through is the position up to which state accounts for the log.
	through journal.Position
	// seenFrom is the offset from which on no record was missed.
	seenFrom infra.Offset
	// pending are the publications read since seenFrom while not settled.
	pending []placedPublish
}

// maxPending bounds the publications kept while the state isn't settled.
const maxPending = 64

// newFold returns the state before the first record.
func newFold() fold { return fold{settled: true, seenFrom: 1} }

// publish folds a publication, and returns the verdicts that became certain.
func (f *fold) publish(p placedPublish) []Verdict {
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
		// Kept for ever they would fill the memory. To forget them is to have
		// missed the records so far.
		f.seenFrom = p.at.Offset + 1
		f.pending = append(f.pending, p)
		return f.dropPending()
	default:
		f.pending = append(f.pending, p)
		return nil
	}
}

// canForce reports whether a forced publication is certainly accepted although
// the version in force isn't known: nothing can have been accepted since the
// record that it names.
func (f *fold) canForce(p placedPublish) bool {
	if !p.Force || f.seenFrom > p.Through+1 {
		return false
	}
	return !slices.ContainsFunc(f.pending, func(q placedPublish) bool { return q.at.Offset > p.Through })
}

// decide is the one rule of acceptance. Versions only grow, so a publication
// that arrives twice, or late, can't be accepted once its base was replaced. A
// reader that may have missed an earlier copy, which may have been accepted,
// can't call it a conflict.
func (f *fold) decide(p placedPublish) Verdict {
	forced := p.Force && f.state.Version.Offset <= p.Through
	if !forced && p.Base != f.state.Version {
		if p.ID == f.state.PublishID || f.seenFrom > p.Through+1 {
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

// covered is the verdict on a publication that the state accounts for already,
// or a copy of which it may account for.
func (f *fold) covered(p placedPublish) Verdict {
	if p.ID == f.state.PublishID {
		v := p.verdict(OutcomeAccepted)
		v.Version = f.state.Version
		return v
	}
	return p.verdict(OutcomeUnknown)
}

func (p *placedPublish) verdict(o Outcome) Verdict {
	return Verdict{
		ID: p.ID, Outcome: o, Version: Version(p.at), Base: p.Base, Former: p.Base,
		Author: p.Author, Note: p.Note, At: p.logTime, Forced: p.Force, Document: p.Document,
	}
}

// checkpoint folds a checkpoint at its place. It reports false if the
// checkpoint contradicts a settled state, which is a fault of its writer.
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

// adopt takes over the state that a settled process had at a place of the log.
// Publications after that place are then decided as if they were read now. That
// needs every record since: a checkpoint from before the reader's gap says
// nothing of what was published in the gap, and only shows that its version was
// in force once.
func (f *fold) adopt(c Checkpoint) []Verdict {
	if f.settled {
		return nil
	}
	if f.state.Version.Less(c.State.Version) {
		f.state = c.State
	}
	if c.Through.Offset < f.seenFrom {
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

// trimmed notes that records before oldest expired unread. What was published
// among them can't be known, so the state is no longer settled; it stays as the
// least that was in force.
func (f *fold) trimmed(oldest infra.Offset) []Verdict {
	f.seenFrom = max(f.seenFrom, oldest)
	if f.settled && f.through.Offset >= oldest {
		return nil // the state was taken over from a process that had read them
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
