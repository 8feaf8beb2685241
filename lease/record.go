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

// The operations. Their numbers stand in the log: never reuse one.
const (
	OpClaim   Op = 1
	OpRenewal Op = 2
	OpRelease Op = 3
	// OpCheckpoint repeats a scope's state unchanged, so that the log's
	// retention doesn't take the only record that tells who held it.
	OpCheckpoint Op = 4
)

// Ground says why a claimant may take a scope.
type Basis uint8

// The grounds. Their numbers stand in the log: never reuse one.
const (
	// GroundFirst: no record of the scope is known.
	BasisFirst Basis = 1
	// GroundReleased: the holder gave the scope up.
	BasisReleased Basis = 2
	// GroundExpired: the holder's term, drift added, has passed since its
	// last record was read. No ground for a scope that passes by proof.
	BasisExpired Basis = 3
	// GroundSuccessor: the claimant runs on the holder's instance and has
	// bound the instance's exclusive address, so the former process is dead.
	BasisSuccessor Basis = 4
	// GroundGone: the platform's list no longer names the holder's instance.
	BasisGone Basis = 5
	// GroundRenumber: the holder itself begins a new term, to get a higher
	// fencing number than any of its orders still under way.
	BasisRenumber Basis = 6
)

// String names the ground for logs and the audit trail.
func (g Basis) String() string {
	names := [...]string{"none", "first", "released", "expired", "successor", "gone", "renumber"}
	if int(g) < len(names) {
		return names[g]
	}
	return "unknown"
}

// Record is the body of a journal entry of kind KindLease. Every record but a
// claim repeats the term's number and beginning, so that a reader can start
// at any of them after the claim itself has expired from the log.
type Record struct {
	Op    Op     `msgpack:"op"`
	Scope string `msgpack:"s"`
	// Holder is the instance, Incarnation the process on it.
	Holder      string `msgpack:"h"`
	Incarnation string `msgpack:"n"`
	// Term is how long the holder may act on this record.
	Term time.Duration `msgpack:"t"`
	// After is the scope's last accepted record as the writer knew it.
	After journal.Position `msgpack:"a"`
	// ByProof marks a scope that never passes on by time alone.
	Unfenced bool `msgpack:"p,omitempty"`
	// Ground is set on claims.
	Basis Basis `msgpack:"g,omitempty"`
	// Fence, Since and Released repeat the state; unset on claims.
	FencingToken uint64    `msgpack:"f,omitempty"`
	Since        time.Time `msgpack:"b"`
	Released     bool      `msgpack:"r,omitempty"`
	// Era is the log's, as the writer knew it.
	Era uint64 `msgpack:"e,omitempty"`
}

// Encode returns the record as the body of a journal entry.
func (r Record) Encode() []byte {
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic(eris.Wrap(err, "lease: a record of plain fields must encode"))
	}
	return b
}

// DecodeRecord reads the body of a journal entry. Its error means that the
// entry is no lease record and changes nothing.
func DecodeRecord(body []byte) (Record, error) {
	var r Record
	if err := codec.Unmarshal(body, &r); err != nil {
		return Record{}, eris.Wrap(err, "lease: decode record")
	}
	return r, nil
}
