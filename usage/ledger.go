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

// Encode returns the body of the report's journal entry.
func (r Report) Encode() ([]byte, error) { return msgpack.Marshal(r) }

// Ledger folds the reports in the journal: the first of a window is the one that is sent. It
// implements journal.StateMachine and journal.RestoreListener.
type Ledger struct {
	mu      sync.Mutex
	reports map[Window]Report
	// lost are the reports of an era of the journal that was followed by a restore from an older
	// copy. They may have been sent.
	lost map[Window]Report
	// restoredAt is when this process learned of the last restore; zero if there was none.
	restoredAt time.Time
	now        func() time.Time
}

// NewLedger returns an empty ledger. now is the clock of windows.
func NewLedger(now func() time.Time) *Ledger {
	return &Ledger{reports: make(map[Window]Report), lost: make(map[Window]Report), now: now}
}

// maxReports limits the reports kept. Older windows are never reported again.
const maxReports = 64

// Apply implements journal.StateMachine.
func (l *Ledger) Apply(e journal.LogEntry) {
	var r Report
	if err := codec.Unmarshal(e.Entry.Body, &r); err != nil {
		return // of another release
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, decided := l.reports[r.Window]; decided {
		return
	}
	l.reports[r.Window] = r
	forgetOldest(l.reports, r.Window)
}

// forgetOldest removes the windows that are too long before the latest one.
func forgetOldest(reports map[Window]Report, latest Window) {
	for w := range reports {
		if w < latest-maxReports {
			delete(reports, w)
		}
	}
}

// Restored implements journal.RestoreListener.
func (l *Ledger) Restored(infra.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w, r := range l.reports {
		l.lost[w] = r
		forgetOldest(l.lost, w)
	}
	clear(l.reports)
	l.restoredAt = l.now()
}

// Decided returns the report of a window, if one is in the journal.
func (l *Ledger) Decided(w Window) (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.reports[w]
	return r, ok
}

// Proposal returns the report to write for a window that isn't decided. ok is false if none may
// be written, because another one may have been sent: it may have been lost in a restore.
// reportable is when the window could first be reported.
func (l *Ledger) Proposal(w Window, counts map[string]uint32, reportable time.Time) (r Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lost, sent := l.lost[w]; sent {
		return lost, true
	}
	if reportable.Before(l.restoredAt) {
		return Report{}, false
	}
	return Report{Window: w, Counts: counts}, true
}
