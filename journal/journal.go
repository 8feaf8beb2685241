// Package journal carries typed entries over the platform's log. Several
// entries of one process share one append (group commit), each process reads
// the whole log in order, and folders turn the entries into state. Every
// process that has read up to the same position has the same state.
package journal

import (
	"context"
	"time"

	"tamarackchute/infra"
)

// Position is the place of an entry: the offset of its log record, and its
// index within that record. Positions are totally ordered, alike everywhere.
type Position struct {
	Offset infra.Offset `msgpack:"o" json:"offset"`
	Index  uint16       `msgpack:"i" json:"index"`
}

// Less reports whether p comes before q.
func (p Position) Less(q Position) bool {
	if p.Offset != q.Offset {
		return p.Offset < q.Offset
	}
	return p.Index < q.Index
}

// IsZero reports whether p is before every entry.
func (p Position) IsZero() bool { return p == Position{} }

// Kind says which folder an entry is for.
type Kind uint8

// The kinds of entry. Their numbers stand in the log: never reuse one.
const (
	KindRules      Kind = 1 // rules: publish and checkpoint
	KindLease      Kind = 2 // lease: claim, renewal, release
	KindClaim      Kind = 3 // claim: claims and outcomes of protected calls
	KindOrder      Kind = 4 // orders: phases of changes to engines
	KindQuarantine Kind = 5 // quarantine: suspicions, releases
	KindAudit      Kind = 6 // audit: who did what, and why
)

// Entry is one typed entry of the journal.
type Entry struct {
	Kind Kind `msgpack:"k"`
	// ID is unique to the entry. An entry that was appended twice, after a
	// lost reply, is folded once.
	ID string `msgpack:"id"`
	// Writer names the process that wrote it, as instance/program/incarnation.
	Writer string `msgpack:"w"`
	// Body is the msgpack form of the kind's own type.
	Body []byte `msgpack:"b"`
}

// Placed is an entry with its place in the log.
type LogEntry struct {
	Position Position
	// At is the log's wall clock when it took the record.
	At time.Time
	// ReadAt is the reader's own clock, with its monotonic part, just after
	// the read returned.
	ReadAt time.Time
	Entry  Entry
}

// Folder turns entries into state. Apply is called from one goroutine, in
// order of position, once per entry ID.
type StateMachine interface {
	Apply(p LogEntry)
}

// Writer appends entries.
type Writer interface {
	// Append adds an entry and returns its position once the process's own
	// reader has folded everything up to it, so that the caller sees the
	// verdict. An error that matches infra.ErrNotWritten is final. After
	// any other error the entry may be in the log, or may still arrive.
	Append(ctx context.Context, e Entry) (Position, error)
}
