package claims

import (
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// simLog simulates the platform's log.
type simLog struct {
	records []logRecord // records[i] has offset i+1
	oldest  infra.Offset
	down    bool
	// delayed holds records still in transit whose writers have given up on them.
	delayed [][]journal.Entry
}

type logRecord struct {
	at      time.Time
	entries []journal.Entry
}

func (l *simLog) next() infra.Offset { return infra.Offset(len(l.records) + 1) }

func (l *simLog) write(w *world, entries []journal.Entry) {
	l.records = append(l.records, logRecord{at: w.now, entries: entries})
}

// writeDelayed writes a random delayed record.
func (l *simLog) writeDelayed(w *world) {
	if len(l.delayed) == 0 || l.down {
		return
	}
	i := w.rng.IntN(len(l.delayed))
	l.write(w, l.delayed[i])
	l.delayed = append(l.delayed[:i], l.delayed[i+1:]...)
	w.report.Event("delayed record written")
}

// trim removes the records that are older than the retention.
func (l *simLog) trim(w *world) {
	before := l.oldest
	for l.oldest < l.next() && w.now.Sub(l.records[l.oldest-1].at) > config.Retention {
		l.oldest++
	}
	if l.oldest != before {
		w.report.Event("records expired")
	}
}

// appendOutcome is the outcome of an append.
type appendOutcome int

const (
	appendWritten appendOutcome = iota
	appendReplyLost
	appendLost
	appendDelayed
	appendRefused
)

// append appends a record and returns the outcome. The writer learns only of appendWritten
// and appendRefused.
func (l *simLog) append(w *world, entries []journal.Entry) appendOutcome {
	outcome := appendWritten
	if !w.faultsEnded {
		outcome = pick(w, []appendOutcome{
			appendWritten, appendWritten, appendWritten, appendWritten, appendWritten,
			appendReplyLost, appendLost, appendDelayed, appendRefused,
		})
	}
	if l.down {
		outcome = pick(w, []appendOutcome{appendRefused, appendLost, appendDelayed})
	}
	switch outcome {
	case appendWritten, appendReplyLost:
		l.write(w, entries)
	case appendDelayed:
		l.delayed = append(l.delayed, entries)
	}
	if outcome == appendReplyLost {
		w.report.Event("reply of an append lost after the write")
	}
	return outcome
}
