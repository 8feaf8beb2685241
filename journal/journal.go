// Package journal replicates typed entries over the platform's append-only log.
// Entries of one process share appends (group commit). Each process reads the
// whole log in order and applies the entries to its state machines, so all
// processes that have read up to the same position have the same state.
package journal

import (
	"context"
	"time"

	"tamarackchute/infra"
)

// Position identifies an entry by the offset of its log record and its index
// within that record. Positions are totally ordered, and an entry has the same
// position in every process.
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

// IsZero reports whether p is the zero position, which precedes every entry.
func (p Position) IsZero() bool { return p == Position{} }

// Kind selects the state machine that an entry is applied to.
type Kind uint8

// The kinds of entries. Their numbers are stored in the log: never reuse one.
const (
	KindRules      Kind = 1 // rules: publish and checkpoint
	KindLease      Kind = 2 // lease: claim, renewal, release
	KindClaim      Kind = 3 // claim: claims and outcomes of protected calls
	KindOrder      Kind = 4 // orders: phases of engine changes
	KindQuarantine Kind = 5 // quarantine: suspicions and releases
	KindAudit      Kind = 6 // audit: operator and system actions with their reasons
	KindUsage      Kind = 7 // usage: what is reported of a window

	KindServiceQuarantine Kind = 8 // quarantine: the same for calls of plain services
)

// Entry is one typed entry of the journal.
type Entry struct {
	Kind Kind `msgpack:"k"`
	// ID is unique to the entry. An entry that is appended again after a lost
	// reply is applied only once.
	ID string `msgpack:"id"`
	// Writer names the process that wrote it, as instance/program/incarnation.
	Writer string `msgpack:"w"`
	// Body is the msgpack encoding of the type that belongs to Kind.
	Body []byte `msgpack:"b"`
}

// LogEntry is an entry as read from the log, with its position and timestamps.
type LogEntry struct {
	Position Position
	// At is the log's wall-clock time when it accepted the record.
	At time.Time
	// ReadAt is the local time, with its monotonic reading, just after the read
	// returned.
	ReadAt time.Time
	Entry  Entry
}

// StateMachine builds state from entries. Apply is called from one goroutine,
// in order of position, once per entry ID.
type StateMachine interface {
	Apply(e LogEntry)
}

// Writer appends entries.
type Writer interface {
	// Append adds an entry and returns its position once the local reader has
	// applied everything up to it, so that the caller sees the entry's effect on
	// the state. An error that matches infra.ErrNotWritten is final. After any
	// other error the entry may be in the log or may still arrive there.
	Append(ctx context.Context, e Entry) (Position, error)
}
