package lease

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/internal/codec"
	"tamarackchute/journal"
)

// Op says what a record does to its scope.
type Op uint8

// The operations. Their numbers are stored in the log: never reuse one.
const (
	OpClaim   Op = 1
	OpRenewal Op = 2
	OpRelease Op = 3
	// OpCheckpoint repeats a scope's state unchanged, so that the only record
	// that names the holder doesn't expire from the log.
	OpCheckpoint Op = 4
)

// Basis says why a claimant may take a scope.
type Basis uint8

// The bases of a claim. Their numbers are stored in the log: never reuse one.
const (
	// BasisFirst: no record of the scope is known.
	BasisFirst Basis = 1
	// BasisReleased: the holder released the scope.
	BasisReleased Basis = 2
	// BasisExpired: the holder's term plus clock drift has passed since its
	// last record was read. Not valid for an unfenced scope.
	BasisExpired Basis = 3
	// BasisSuccessor: the claimant runs on the holder's instance and has
	// bound the instance's exclusive address, so the former process is dead.
	BasisSuccessor Basis = 4
	// BasisGone: the platform's instance list no longer has the holder's
	// instance.
	BasisGone Basis = 5
	// BasisRenumber: the holder begins a new term, to get a higher fencing
	// token than that of any of its orders in flight.
	BasisRenumber Basis = 6
)

// String returns the name used in logs, metrics and the audit trail.
func (b Basis) String() string {
	names := [...]string{"none", "first", "released", "expired", "successor", "gone", "renumber"}
	if int(b) < len(names) {
		return names[b]
	}
	return "unknown"
}

// Record is the body of a journal entry of kind KindLease. Every record but a
// claim repeats the term's fencing token and start, so that a reader can start
// at any of them after the claim has expired from the log.
type Record struct {
	Op    Op     `msgpack:"op"`
	Scope string `msgpack:"s"`
	// Holder is the holder's instance, Incarnation the process on it.
	Holder      string `msgpack:"h"`
	Incarnation string `msgpack:"n"`
	// Term is how long the holder may act on this record.
	Term time.Duration `msgpack:"t"`
	// After is the scope's last accepted record as the writer knew it.
	After journal.Position `msgpack:"a"`
	// Unfenced marks a scope whose lease never changes hands by expiry alone.
	Unfenced bool `msgpack:"p,omitempty"`
	// Basis is set on claims only.
	Basis Basis `msgpack:"g,omitempty"`
	// FencingToken, Since and Released repeat the scope's state; unset on claims.
	FencingToken uint64    `msgpack:"f,omitempty"`
	Since        time.Time `msgpack:"b"`
	Released     bool      `msgpack:"r,omitempty"`
	// Era is the log's era as the writer knew it.
	Era uint64 `msgpack:"e,omitempty"`
}

// Encode returns the record as the body of a journal entry.
func (r Record) Encode() []byte {
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic(eris.Wrap(err, "lease: encode record"))
	}
	return b
}

// DecodeRecord decodes the body of a journal entry. An error means that the
// entry is not a lease record and must be ignored.
func DecodeRecord(body []byte) (Record, error) {
	var r Record
	if err := codec.Unmarshal(body, &r); err != nil {
		return Record{}, eris.Wrap(err, "lease: decode record")
	}
	return r, nil
}
