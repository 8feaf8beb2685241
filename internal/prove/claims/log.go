package claims

import (
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// simLog is the platform's log.
type simLog struct {
	records []logRecord // records[i] has offset i+1
	oldest  infra.Offset
	down    bool
	// late holds records that are on their way although their writers have
	// given them up.
	late [][]journal.Entry
}

type logRecord struct {
	at      time.Time
	entries []journal.Entry
}

func (l *simLog) next() infra.Offset { return infra.Offset(len(l.records) + 1) }

func (l *simLog) write(w *world, entries []journal.Entry) {
	l.records = append(l.records, logRecord{at: w.now, entries: entries})
}

// land writes a late record.
func (l *simLog) land(w *world) {
	if len(l.late) == 0 || l.down {
		return
	}
	i := w.rng.IntN(len(l.late))
	l.write(w, l.late[i])
	l.late = append(l.late[:i], l.late[i+1:]...)
	w.report.Event("record landed late")
}

// trim lets records expire that are older than the retention.
func (l *simLog) trim(w *world) {
	before := l.oldest
	for l.oldest < l.next() && w.now.Sub(l.records[l.oldest-1].at) > config.Retention {
		l.oldest++
	}
	if l.oldest != before {
		w.report.Event("records expired")
	}
}

// fate is what becomes of an append.
type fate int

const (
	fateWritten fate = iota
	fateReplyLost
	fateLost
	fateLate
	fateRefused
)

// append takes a record and tells what became of it. Only fateWritten and
// fateRefused are known to the writer.
func (l *simLog) append(w *world, entries []journal.Entry) fate {
	f := fateWritten
	if !w.calm {
		f = pick(w, []fate{
			fateWritten, fateWritten, fateWritten, fateWritten, fateWritten,
			fateReplyLost, fateLost, fateLate, fateRefused,
		})
	}
	if l.down {
		f = pick(w, []fate{fateRefused, fateLost, fateLate})
	}
	switch f {
	case fateWritten, fateReplyLost:
		l.write(w, entries)
	case fateLate:
		l.late = append(l.late, entries)
	}
	if f == fateReplyLost {
		w.report.Event("reply of an append lost after the write")
	}
	return f
}
