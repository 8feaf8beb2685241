package interleave

import (
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
	"tamarackchute/lease"
)

// log is the platform's log with its faults.
type log struct {
	w       *world
	records []journal.LogEntry
	// landed holds the IDs of entries written before: a reader folds an entry
	// once, however often it was written.
	landed map[string]bool
	down   bool
}

// appendTimeout is how long a writer waits for a reply.
const appendTimeout = time.Second

// The errors of an append, as the journal tells them.
var (
	errUnknown    = journal.ErrOutcomeUnknown
	errNotWritten = infra.ErrNotWritten
)

// outages lets the log be down now and then.
func (w *world) outages() {
	w.after(w.upTo(20*time.Second), func() {
		w.log.down = w.fault(0.5)
		w.after(w.upTo(5*time.Second), func() {
			w.log.down = false
			w.outages()
		})
	})
}

// append writes an entry, or not, and calls done unless the writer has died.
func (l *log) append(e journal.Entry, done func(journal.Position, error)) {
	w := l.w
	switch {
	case l.down || w.fault(0.02):
		w.after(w.upTo(20*time.Millisecond), func() { done(journal.Position{}, errNotWritten) })
	case w.fault(0.03): // lost on the way there
		w.after(appendTimeout, func() { done(journal.Position{}, errUnknown) })
	case w.fault(0.03): // its reply is lost
		w.after(w.upTo(20*time.Millisecond), func() { l.land(e) })
		w.after(appendTimeout, func() { done(journal.Position{}, errUnknown) })
	case w.fault(0.03): // late
		w.after(appendTimeout+w.upTo(8*time.Second), func() { l.land(e) })
		w.after(appendTimeout, func() { done(journal.Position{}, errUnknown) })
	default:
		w.after(w.upTo(20*time.Millisecond), func() {
			p := l.land(e)
			w.after(w.upTo(20*time.Millisecond), func() { done(p, nil) })
		})
	}
}

// land writes an entry and returns its position.
func (l *log) land(e journal.Entry) journal.Position {
	w := l.w
	if l.landed[e.ID] {
		return l.find(e.ID)
	}
	l.landed[e.ID] = true
	at := journal.Position{Offset: infra.Offset(len(l.records) + 1)}
	if w.mutant == mutantNoComparison && e.Kind == journal.KindLease {
		e.Body = w.uncompared(e.Body)
	}
	l.records = append(l.records, journal.LogEntry{Position: at, At: epoch.Add(w.now), Entry: e})
	w.catchUp(&w.truth, &w.truthRead, epoch.Add(w.now))
	return at
}

func (l *log) find(id string) journal.Position {
	for _, r := range l.records {
		if r.Entry.ID == id {
			return r.Position
		}
	}
	return journal.Position{}
}

// uncompared makes a claim name whatever is the last record, as if claims
// were not compared.
func (w *world) uncompared(body []byte) []byte {
	r, err := lease.DecodeRecord(body)
	if err != nil || r.Op != lease.OpClaim {
		return body
	}
	r.After = w.truth.leases.Scope(r.Scope).Last
	return r.Encode()
}

// catchUp folds what a reader has not read yet.
func (w *world) catchUp(f *fold, read *int, readAt time.Time) {
	for _, p := range w.log.records[*read:] {
		p.ReadAt = readAt
		f.leases.Apply(p)
		f.changes.Apply(p)
	}
	*read = len(w.log.records)
}
