package rules

import (
	"context"
	"errors"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tamarackchute/journal"
)

// Publisher appends publications to the log and returns their results.
type Publisher struct {
	log     Log
	replica *Replica
	known   KnownNames
}

// NewPublisher returns a publisher for the log that folds into replica.
func NewPublisher(log Log, replica *Replica, known KnownNames) *Publisher {
	return &Publisher{log: log, replica: replica, known: known}
}

// Result is the outcome of a publication, for its author.
type Result struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Version is the new version if the outcome is accepted.
	Version Version `json:"version"`
	// Current is the version in force as far as this process knows.
	Current Version `json:"current"`
	// Diff leads from the version in force to the submitted document; it is set
	// for a conflict.
	Diff Diff `json:"diff"`
	// Reason explains an unknown outcome.
	Reason string `json:"reason,omitempty"`
}

// Publish checks a document and publishes it. It returns once this process has
// folded the verdict; the outcome is unknown if ctx ends first. Publishing again
// under the same ID, here or elsewhere, returns the first verdict, which resolves
// a lost reply. An empty ID is replaced by a new one.
//
// An error is an *InvalidError or matches infra.ErrNotWritten: the document is
// then not published and never will be.
func (p *Publisher) Publish(ctx context.Context, publication Publication) (Result, error) {
	if err := p.check(publication.Document); err != nil {
		return Result{}, err
	}
	if publication.ID == "" {
		publication.ID = uuid.NewString()
	}
	// Read before the verdict is looked up: a copy of the publication that is
	// folded in between then has a higher offset.
	publication.Through = p.log.Applied().Offset
	if v, decided := p.replica.Verdict(publication.ID); decided {
		return p.result(publication, v), nil
	}
	entry := journal.Entry{Kind: journal.KindRules, ID: publication.ID, Body: encodePublication(publication)}
	_, err := p.log.Append(ctx, entry)
	switch {
	case err == nil:
		return p.await(ctx, publication), nil
	case errors.Is(err, journal.ErrOutcomeUnknown):
		return p.await(ctx, publication), nil
	default:
		return Result{}, eris.Wrap(err, "rules: not published")
	}
}

// check rejects what Parse rejects, and a document that is too large for a record
// of the log. The limit leaves room for a checkpoint, which is larger: a document
// that can't be checkpointed would vanish with its record.
func (p *Publisher) check(document []byte) error {
	if _, err := Parse(document, p.known); err != nil {
		return err
	}
	size := len(compress(document))
	if size <= maxCompressedBytes {
		return nil
	}
	c := &collector{src: document}
	c.add(0, "", "the document has %d bytes after compression, more than %d", size, maxCompressedBytes)
	return c.err()
}

// await waits for the verdict on a publication that may be in the log.
func (p *Publisher) await(ctx context.Context, publication Publication) Result {
	for {
		changed := p.replica.Changed()
		if v, decided := p.replica.Verdict(publication.ID); decided {
			return p.result(publication, v)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p.result(publication, Verdict{ID: publication.ID, Outcome: OutcomeUnknown})
		}
	}
}

func (p *Publisher) result(publication Publication, v Verdict) Result {
	r := Result{ID: v.ID, Outcome: v.Outcome}
	document := []byte(nil)
	if inForce := p.replica.Current(); inForce != nil {
		r.Current, document = inForce.Version, inForce.Set.Document()
	}
	switch v.Outcome {
	case OutcomeAccepted:
		r.Version = v.Version
	case OutcomeConflict:
		r.Diff, _ = DiffDocuments(document, publication.Document)
	default:
		r.Reason = p.unknownReason()
	}
	return r
}

func (p *Publisher) unknownReason() string {
	if p.replica.Status().Settled {
		return "the log hasn't shown the publication; it may still arrive"
	}
	return "records of the log expired unread, so the version in force isn't certain; a checkpoint is awaited"
}
