package orders

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/internal/codec"
	"tamarackchute/journal"
	"tamarackchute/upstream"
)

// Phase is how far a change has come.
type Phase uint8

// The phases. Their numbers stand in the log: never reuse one.
const (
	// PhaseDraining: entries give the engine no new work.
	PhaseDraining Phase = 1
	// PhaseDrained: every listed entry instance has applied that and reported
	// nothing in flight on the engine.
	PhaseDrained Phase = 2
	// PhaseOrdered: the order may have been sent; its fate is open.
	PhaseOrdered Phase = 3
	// PhaseConfirmed: the engine's state, read back, shows the change.
	PhaseConfirmed Phase = 4
	// PhaseUndone: the change was given up, and no order of it is under way.
	PhaseUndone Phase = 5
)

// String names the phase for status pages, logs and the audit trail.
func (p Phase) String() string {
	names := [...]string{"none", "draining", "drained", "ordered", "confirmed", "undone"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Open reports whether a change in this phase still stands in the way of
// another one.
func (p Phase) Open() bool {
	return p == PhaseDraining || p == PhaseDrained || p == PhaseOrdered
}

// Settings is what an order can change about an engine.
type Settings struct {
	Role    upstream.Role `msgpack:"r,omitempty" json:"role,omitempty"`
	Model   string        `msgpack:"m,omitempty" json:"model,omitempty"`
	Version string        `msgpack:"v,omitempty" json:"version,omitempty"`
	Adapter string        `msgpack:"a,omitempty" json:"adapter,omitempty"`
}

// SettingsOf returns the settings that an engine reported.
func SettingsOf(s upstream.EngineState) Settings {
	return Settings{Role: s.Role, Model: s.Model, Version: s.Version, Adapter: s.Adapter}
}

// Reservation is a share of the weight store's rate, which loads in all data
// centres have in common.
type Reservation struct {
	Bytes int64 `msgpack:"b" json:"bytes"`
	// BytesPerSec is the share, LimitPerSec the store's whole rate.
	BytesPerSec float64 `msgpack:"s" json:"bytes_per_s"`
	LimitPerSec float64 `msgpack:"l" json:"limit_per_s"`
}

// Change is one change to an engine.
type Change struct {
	// ID is unique to the change and is the ID of its order, however often
	// that is sent.
	ID     string             `msgpack:"id" json:"id"`
	Engine string             `msgpack:"e" json:"engine"`
	Kind   upstream.OrderKind `msgpack:"k" json:"kind"`
	Target Settings           `msgpack:"t" json:"target"`
	Phase  Phase              `msgpack:"p" json:"phase"`
	// Scope and Fence are those of the leader that recorded this phase.
	Scope        string `msgpack:"s" json:"scope"`
	FencingToken uint64 `msgpack:"f" json:"fence"`
	// Drain is the position of the record that began the drain. It is zero in
	// that record itself; the fold fills it in.
	DrainStart journal.Position `msgpack:"d" json:"drain"`
	// Attempt counts how often the order was about to be sent.
	Attempt int `msgpack:"n" json:"attempt"`
	// Incarnation is the engine's when the order was about to be sent.
	Incarnation string `msgpack:"i" json:"incarnation"`
	// Reason says why the change was planned, Outcome why it was ended.
	Reason  string `msgpack:"w" json:"reason"`
	Outcome string `msgpack:"o" json:"outcome"`
	// Reserve is set from PhaseOrdered on if the order makes the engine read
	// the weight store.
	Reservation *Reservation `msgpack:"b" json:"reserve,omitempty"`
	// PlannedAt and PhaseAt are the log's wall clock at the first and at the
	// last record of the change; the fold fills them in.
	PlannedAt time.Time `msgpack:"pa" json:"planned_at"`
	PhaseAt   time.Time `msgpack:"ca" json:"phase_at"`
}

// Order returns the order that carries the change out.
func (c Change) Order() upstream.Order {
	return upstream.Order{
		ID: c.ID, Kind: c.Kind, FencingToken: c.FencingToken, Role: c.Target.Role,
		Model: c.Target.Model, Version: c.Target.Version, Adapter: c.Target.Adapter,
	}
}

// Reached reports whether an engine's settings show the change.
func (c Change) SatisfiedBy(s Settings) bool {
	switch c.Kind {
	case upstream.OrderRole:
		return s.Role == c.Target.Role
	case upstream.OrderModel:
		return s.Model == c.Target.Model && s.Version == c.Target.Version
	case upstream.OrderAdapter:
		return s.Adapter == c.Target.Adapter
	default:
		return false
	}
}

// Record is the body of a journal entry of kind KindOrder: the whole state of
// one engine after the step, so that a reader can start at any record.
type Record struct {
	Engine string `msgpack:"e"`
	// After is the engine's last accepted record as the writer knew it.
	After journal.Position `msgpack:"a"`
	// Scope and Fence show the writer's authority.
	Scope        string `msgpack:"s"`
	FencingToken uint64 `msgpack:"f"`
	// Checkpoint marks a record that repeats the engine's state unchanged, so
	// that the log's retention doesn't take the only record of it. Any process
	// may write one.
	Checkpoint bool `msgpack:"k,omitempty"`
	// Change is the change after the step; nil for a record that only tells
	// the engine's settings.
	Change *Change `msgpack:"c"`
	// Believed is what the engine was last seen to be.
	Observed Settings `msgpack:"b"`
}

// CheckpointOf returns the record that repeats what is known of an engine,
// under the scope and number of its last change.
func CheckpointOf(e Engine) Record {
	r := Record{Engine: e.Name, After: e.LastPosition, Checkpoint: true, Change: e.Change, Observed: e.Observed}
	if e.Change != nil {
		r.Scope, r.FencingToken = e.Change.Scope, e.Change.FencingToken
	}
	return r
}

// Encode returns the record as the body of a journal entry.
func (r Record) Encode() []byte {
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic(eris.Wrap(err, "orders: a record of plain fields must encode"))
	}
	return b
}

// DecodeRecord reads the body of a journal entry. Its error means that the
// entry is no record of this package and changes nothing.
func DecodeRecord(body []byte) (Record, error) {
	var r Record
	if err := codec.Unmarshal(body, &r); err != nil {
		return Record{}, eris.Wrap(err, "orders: decode record")
	}
	return r, nil
}
