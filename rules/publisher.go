package rules

import (
	"context"
	"errors"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tamarackchute/journal"
)

// Publisher appends publications and tells their verdicts.
type Publisher struct {
	log   Log
	book  *Replica
	known KnownNames
}

// NewPublisher returns a publisher over the log that folds into book.
func NewPublisher(log Log, b *Replica, known KnownNames) *Publisher {
	return &Publisher{log: log, book: b, known: known}
}

// Result is what became of a publication.
type Result struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Version is the new version if the outcome is accepted.
	Version Version `json:"version"`
	// Current is the version in force as far as known here.
	Current Version `json:"current"`
	// Diff leads from the version in force to what was to be published; it is
	// given with a conflict.
	Diff Diff `json:"diff"`
	// Reason explains an unknown outcome.
	Reason string `json:"reason,omitempty"`
}

// Publish checks a document and publishes it. It returns once this process has
// folded the verdict; the outcome is unknown if ctx ends first. A publication
// that was sent before, here or elsewhere, keeps its ID and its verdict: so a
// lost reply is settled by sending it again. An empty ID is replaced by a new
// one. Errors are *InvalidError and those that match infra.ErrNotWritten:
// the document is then not published and never will be.
func (p *Publisher) Publish(ctx context.Context, publish Publication) (Result, error) {
	if err := p.check(publish.Document); err != nil {
		return Result{}, err
	}
	if publish.ID == "" {
		publish.ID = uuid.NewString()
	}
	// Taken before the verdict is looked up: a copy of the publication that was
	// read later lies behind it.
	publish.Through = p.log.Applied().Offset
	if v, decided := p.book.Verdict(publish.ID); decided {
		return p.result(publish, v), nil
	}
	entry := journal.Entry{Kind: journal.KindRules, ID: publish.ID, Body: encodePublish(publish)}
	_, err := p.log.Append(ctx, entry)
	switch {
	case err == nil:
		return p.await(ctx, publish), nil
	case errors.Is(err, journal.ErrOutcomeUnknown):
		return p.await(ctx, publish), nil
	default:
		return Result{}, eris.Wrap(err, "rules: not published")
	}
}

// check refuses what Parse refuses, and a document that won't fit into a record.
// One that fits only just would be lost at its first checkpoint, which is larger.
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
func (p *Publisher) await(ctx context.Context, publish Publication) Result {
	for {
		changed := p.book.Changed()
		if v, decided := p.book.Verdict(publish.ID); decided {
			return p.result(publish, v)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p.result(publish, Verdict{ID: publish.ID, Outcome: OutcomeUnknown})
		}
	}
}

func (p *Publisher) result(publish Publication, v Verdict) Result {
	r := Result{ID: v.ID, Outcome: v.Outcome}
	document := []byte(nil)
	if inForce := p.book.Current(); inForce != nil {
		r.Current, document = inForce.Version, inForce.Set.Document()
	}
	switch v.Outcome {
	case OutcomeAccepted:
		r.Version = v.Version
	case OutcomeConflict:
		r.Diff, _ = DiffDocuments(document, publish.Document)
	default:
		r.Reason = p.unknownReason()
	}
	return r
}

func (p *Publisher) unknownReason() string {
	if p.book.Status().Settled {
		return "the log hasn't shown the publication; it may still arrive"
	}
	return "records of the log expired unread, so the version in force isn't certain; a checkpoint is awaited"
}
