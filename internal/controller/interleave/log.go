package interleave

import (
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
	"tamarackchute/lease"
)

// simLog simulates the platform's log and its faults.
type simLog struct {
	w       *world
	records []journal.LogEntry
	// written holds the IDs of entries already in the log: an entry counts once, however
	// often it was appended.
	written map[string]bool
	down    bool
}

// appendTimeout is how long a writer waits for a reply.
const appendTimeout = time.Second

// The errors that the journal returns for a failed append.
var (
	errUnknown    = journal.ErrOutcomeUnknown
	errNotWritten = infra.ErrNotWritten
)

// scheduleOutages schedules random outages of the log.
func (w *world) scheduleOutages() {
	w.schedule(w.randDuration(20*time.Second), func() {
		w.simLog.down = w.fault(0.5)
		w.schedule(w.randDuration(5*time.Second), func() {
			w.simLog.down = false
			w.scheduleOutages()
		})
	})
}

// append writes an entry, subject to faults, and calls done unless the writer has died.
func (l *simLog) append(e journal.Entry, done func(journal.Position, error)) {
	w := l.w
	switch {
	case l.down || w.fault(0.02):
		w.schedule(w.randDuration(20*time.Millisecond), func() { done(journal.Position{}, errNotWritten) })
	case w.fault(0.03): // the request is lost
		w.schedule(appendTimeout, func() { done(journal.Position{}, errUnknown) })
	case w.fault(0.03): // the reply is lost
		w.schedule(w.randDuration(20*time.Millisecond), func() { l.write(e) })
		w.schedule(appendTimeout, func() { done(journal.Position{}, errUnknown) })
	case w.fault(0.03): // the request arrives late
		w.schedule(appendTimeout+w.randDuration(8*time.Second), func() { l.write(e) })
		w.schedule(appendTimeout, func() { done(journal.Position{}, errUnknown) })
	default:
		w.schedule(w.randDuration(20*time.Millisecond), func() {
			p := l.write(e)
			w.schedule(w.randDuration(20*time.Millisecond), func() { done(p, nil) })
		})
	}
}

// write adds an entry to the log and returns its position.
func (l *simLog) write(e journal.Entry) journal.Position {
	w := l.w
	if l.written[e.ID] {
		return l.positionOf(e.ID)
	}
	l.written[e.ID] = true
	at := journal.Position{Offset: infra.Offset(len(l.records) + 1)}
	if w.mutant == mutantUncomparedClaim && e.Kind == journal.KindLease {
		e.Body = w.forgePredecessor(e.Body)
	}
	l.records = append(l.records, journal.LogEntry{Position: at, At: epoch.Add(w.now), Entry: e})
	w.catchUp(&w.reference, &w.referenceRead, epoch.Add(w.now))
	return at
}

func (l *simLog) positionOf(id string) journal.Position {
	for _, r := range l.records {
		if r.Entry.ID == id {
			return r.Position
		}
	}
	return journal.Position{}
}

// forgePredecessor makes a claim name the scope's last record as its predecessor, as if
// claims were not compared.
func (w *world) forgePredecessor(body []byte) []byte {
	r, err := lease.DecodeRecord(body)
	if err != nil || r.Op != lease.OpClaim {
		return body
	}
	r.After = w.reference.leases.Scope(r.Scope).Last
	return r.Encode()
}

// catchUp applies the records that a reader has not read yet.
func (w *world) catchUp(state *logState, read *int, readAt time.Time) {
	for _, p := range w.simLog.records[*read:] {
		p.ReadAt = readAt
		state.leases.Apply(p)
		state.changes.Apply(p)
	}
	*read = len(w.simLog.records)
}
