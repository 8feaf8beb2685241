package usage

import (
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/infra"
	"tamarackchute/internal/codec"
	"tamarackchute/journal"
)

// Report is what is reported of a window.
type Report struct {
	Window Window            `msgpack:"w"`
	Counts map[string]uint32 `msgpack:"c"`
}

// Record is a report as the journal holds it.
type Record struct {
	Report
	// Era is the journal's era that the writer knew, WrittenAt the time by the clock of windows. It is
	// zero in records of earlier releases.
	Era       uint64    `msgpack:"e,omitempty"`
	WrittenAt time.Time `msgpack:"t"`
}

// Encode returns the body of the record's journal entry.
func (r Record) Encode() ([]byte, error) { return msgpack.Marshal(r) }

// maxAppendDelay is how long after it was written a record may reach the journal.
const maxAppendDelay = 5 * time.Second

// Ledger folds the reports in the journal: the first of a window is the one that is sent. It
// implements journal.StateMachine, journal.TrimListener, journal.RestoreListener and
// journal.LateStartListener.
type Ledger struct {
	mu      sync.Mutex
	reports map[Window]Report
	// lost are the reports of an era of the journal that was followed by a restore from an older
	// copy. They may have been sent.
	lost map[Window]Report
	// era is the journal's era.
	era uint64
	// completeFrom is the time from which on this process knows all reports; earlier ones may have expired
	// or been lost in a restore before it read them. It is zero if no report can have been missed.
	completeFrom time.Time
	now          func() time.Time
	eraAge       func(era uint64) time.Duration
}

// NewLedger returns an empty ledger. now is the clock of windows; eraAge returns for how long an era of
// the journal has lasted at least.
func NewLedger(now func() time.Time, eraAge func(era uint64) time.Duration) *Ledger {
	return &Ledger{reports: make(map[Window]Report), lost: make(map[Window]Report), now: now, eraAge: eraAge}
}

// maxReports limits the reports kept. Older windows are never reported again.
const maxReports = 64

// Apply implements journal.StateMachine.
func (l *Ledger) Apply(e journal.LogEntry) {
	var r Record
	if err := codec.Unmarshal(e.Entry.Body, &r); err != nil {
		return // of another release
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceKnowledge(e, r)
	if _, decided := l.reports[r.Window]; decided {
		return
	}
	l.reports[r.Window] = r.Report
	forgetOldest(l.reports, r.Window)
}

// advanceKnowledge moves completeFrom back to the time of a record whose writer knew the journal's era:
// whatever was missed precedes it. l.mu is held.
func (l *Ledger) advanceKnowledge(e journal.LogEntry, r Record) {
	if r.WrittenAt.IsZero() || r.Era != e.Position.Offset.Era() {
		return
	}
	if from := r.WrittenAt.Add(maxAppendDelay); from.Before(l.completeFrom) {
		l.completeFrom = from
	}
}

// forgetOldest removes the windows that are too long before the latest one.
func forgetOldest(reports map[Window]Report, latest Window) {
	for w := range reports {
		if w < latest-maxReports {
			delete(reports, w)
		}
	}
}

// Trimmed implements journal.TrimListener.
func (l *Ledger) Trimmed(infra.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completeFrom = l.now()
}

// Restored implements journal.RestoreListener.
func (l *Ledger) Restored(oldest infra.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beginEra(oldest.Era())
}

// StartedAfterRestore implements journal.LateStartListener. An earlier journal of this process may have
// read the same era already.
func (l *Ledger) StartedAfterRestore(oldest infra.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if oldest.Era() != l.era {
		l.beginEra(oldest.Era())
	}
}

// beginEra keeps what was read in an earlier era as lost. l.mu is held.
func (l *Ledger) beginEra(era uint64) {
	for w, r := range l.reports {
		l.lost[w] = r
		forgetOldest(l.lost, w)
	}
	clear(l.reports)
	l.era, l.completeFrom = era, l.now().Add(-l.eraAge(era))
}

// Record returns the journal's record of a report that is written now.
func (l *Ledger) Record(r Report) Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Record{Report: r, Era: l.era, WrittenAt: l.now()}
}

// Decided returns the report of a window, if one is in the journal.
func (l *Ledger) Decided(w Window) (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.reports[w]
	return r, ok
}

// Proposal returns the report to write for a window that isn't decided. ok is false if none may
// be written, because another one may have been sent which this process hasn't read. reportable is when the window could first be reported.
func (l *Ledger) Proposal(w Window, counts map[string]uint32, reportable time.Time) (r Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lost, sent := l.lost[w]; sent {
		return lost, true
	}
	if reportable.Before(l.completeFrom) {
		return Report{}, false
	}
	return Report{Window: w, Counts: counts}, true
}
