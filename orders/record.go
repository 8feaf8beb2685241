package orders

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/internal/codec"
	"tamarackchute/journal"
	"tamarackchute/upstream"
)

// Phase is the progress of a change.
type Phase uint8

// The phases. Their numbers are stored in the log: never reuse one.
const (
	// PhaseDraining: entry instances send the engine no new work.
	PhaseDraining Phase = 1
	// PhaseDrained: every listed entry instance has applied PhaseDraining and
	// reported nothing in flight on the engine.
	PhaseDrained Phase = 2
	// PhaseOrdered: the order may have been sent; its outcome is unknown.
	PhaseOrdered Phase = 3
	// PhaseConfirmed: the engine's state, read back, shows the change.
	PhaseConfirmed Phase = 4
	// PhaseUndone: the change was abandoned, and none of its orders is in flight.
	PhaseUndone Phase = 5
)

// String returns the name used on status pages, in logs and in the audit trail.
func (p Phase) String() string {
	names := [...]string{"none", "draining", "drained", "ordered", "confirmed", "undone"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Open reports whether a change in this phase is unfinished and so blocks other
// changes to the engine.
func (p Phase) Open() bool {
	return p == PhaseDraining || p == PhaseDrained || p == PhaseOrdered
}

// Settings are the properties of an engine that an order can change.
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

// Reservation is a share of the weight store's read rate, which all data centres'
// loads share.
type Reservation struct {
	Bytes int64 `msgpack:"b" json:"bytes"`
	// BytesPerSec is the reserved rate, LimitPerSec the store's total rate.
	BytesPerSec float64 `msgpack:"s" json:"bytes_per_s"`
	LimitPerSec float64 `msgpack:"l" json:"limit_per_s"`
}

// Change is one change to an engine.
type Change struct {
	// ID is unique to the change. It is also the ID of its order in each attempt.
	ID     string             `msgpack:"id" json:"id"`
	Engine string             `msgpack:"e" json:"engine"`
	Kind   upstream.OrderKind `msgpack:"k" json:"kind"`
	Target Settings           `msgpack:"t" json:"target"`
	Phase  Phase              `msgpack:"p" json:"phase"`
	// Scope and FencingToken are those of the leader that recorded this phase.
	Scope        string `msgpack:"s" json:"scope"`
	FencingToken uint64 `msgpack:"f" json:"fence"`
	// DrainStart is the position of the record that started the drain. It is zero
	// in that record itself; State.Apply sets it.
	DrainStart journal.Position `msgpack:"d" json:"drain"`
	// Attempt counts the recorded intents to send the order.
	Attempt int `msgpack:"n" json:"attempt"`
	// Incarnation is the engine's incarnation when the latest intent was recorded.
	Incarnation string `msgpack:"i" json:"incarnation"`
	// Reason says why the change was planned, Outcome why it ended.
	Reason  string `msgpack:"w" json:"reason"`
	Outcome string `msgpack:"o" json:"outcome"`
	// Reservation is set if the order makes the engine read the weight store. It
	// takes effect in PhaseOrdered.
	Reservation *Reservation `msgpack:"b" json:"reserve,omitempty"`
	// PlannedAt and PhaseAt are the log's wall-clock times of the change's first
	// and latest records; State.Apply sets them.
	PlannedAt time.Time `msgpack:"pa" json:"planned_at"`
	PhaseAt   time.Time `msgpack:"ca" json:"phase_at"`
}

// Order returns the order that executes the change.
func (c Change) Order() upstream.Order {
	return upstream.Order{
		ID: c.ID, Kind: c.Kind, FencingToken: c.FencingToken, Role: c.Target.Role,
		Model: c.Target.Model, Version: c.Target.Version, Adapter: c.Target.Adapter,
	}
}

// SatisfiedBy reports whether an engine with the given settings shows the change.
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

// Record is the body of a journal entry of kind KindOrder. It holds the complete
// state of one engine after a step, so that a reader can start at any record.
type Record struct {
	Engine string `msgpack:"e"`
	// After is the position of the engine's last accepted record as the writer
	// knew it.
	After journal.Position `msgpack:"a"`
	// Scope and FencingToken prove the writer's authority.
	Scope        string `msgpack:"s"`
	FencingToken uint64 `msgpack:"f"`
	// Checkpoint marks a record that repeats the engine's state unchanged, so
	// that the state isn't lost when its last record expires. Any process may
	// write one.
	Checkpoint bool `msgpack:"k,omitempty"`
	// Change is the change after the step; nil for a record that only updates
	// the engine's settings.
	Change *Change `msgpack:"c"`
	// Observed holds the engine's settings as last read.
	Observed Settings `msgpack:"b"`
}

// CheckpointOf returns the record that repeats an engine's state, with the scope
// and fencing token of its last change.
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

// DecodeRecord decodes the body of a journal entry. An error means that the entry
// is not a record of this package and must be ignored.
func DecodeRecord(body []byte) (Record, error) {
	var r Record
	if err := codec.Unmarshal(body, &r); err != nil {
		return Record{}, eris.Wrap(err, "orders: decode record")
	}
	return r, nil
}
