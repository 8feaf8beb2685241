package wire

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/internal/codec"
	"tamarackchute/journal"
	"tamarackchute/membership"
	"tamarackchute/rules"
)

// Kind tells the types of message apart. Its numbers go over the wire: never
// reuse one.
type Kind uint8

// The kinds of message.
const (
	KindPing         Kind = 1
	KindHeartbeat    Kind = 2
	KindSummary      Kind = 3
	KindEntryStatus  Kind = 4
	KindStatusAck    Kind = 5
	KindRulesRequest Kind = 6
	KindRulesReply   Kind = 7
	KindMemberState  Kind = 8
	KindViewRequest  Kind = 9
	KindViewReply    Kind = 10
	KindLoadReport   Kind = 11
	KindLoadTotals   Kind = 12
	KindMemberLoads  Kind = 13

	KindSnapshotRequest Kind = 14
	KindSnapshotReply   Kind = 15
)

// Message is a typed message between two processes of the system.
type Message interface {
	// Kind is the same for every message of the type.
	Kind() Kind
}

// Ping keeps a connection known as alive while nothing else is sent.
type Ping struct{}

// Heartbeat carries a heartbeat of the membership.
type Heartbeat struct {
	membership.Heartbeat
}

// Summary carries a data centre's summary of the membership.
type Summary struct {
	membership.Summary
}

// StatusFresh is the age up to which a leader counts a listed entry's status as
// its acknowledgement of a drain. An entry that was killed since is replaced by
// one with empty memory, which knows of no drain before it has read the log.
// Therefore it serves on nothing but the log for longer than this.
const MaxStatusAge = time.Second

// EntryStatus is what an entry tells the leading controllers of itself.
type EntryStatus struct {
	Instance   string `msgpack:"n"`
	DataCentre string `msgpack:"d"`
	// Incarnation tells the starts of the entry apart, and Seq counts the
	// statuses of one; the sender of statuses fills both.
	Incarnation uint64 `msgpack:"i"`
	Seq         uint64 `msgpack:"q"`
	// Applied is the place in the log up to which the entry acts on what it has
	// read. A drain entry up to there is obeyed.
	Applied journal.Position `msgpack:"a"`
	// InFlight lists engines with work of this entry on them; an engine that
	// isn't listed has none.
	InFlight []EngineInFlight `msgpack:"f"`
	Demand   []ModelDemand    `msgpack:"m"`
	// At is the entry's own clock. Receivers judge age by their own.
	At time.Time `msgpack:"t"`
}

// EngineInFlight counts an entry's requests at an engine, streams included.
type EngineInFlight struct {
	Engine   string `msgpack:"e"`
	Requests int    `msgpack:"r"`
}

// ModelDemand is what callers asked of a model at one entry, as smoothed rates.
type ModelDemand struct {
	Model              string  `msgpack:"m"`
	PromptTokensPerSec float64 `msgpack:"p"`
	OutputTokensPerSec float64 `msgpack:"o"`
	RequestsPerSec     float64 `msgpack:"r"`
	// Queued counts requests that wait in the entry.
	Queued int `msgpack:"q"`
}

// StatusAck tells an entry that a controller has taken its status.
type StatusAck struct {
	// At is the status's own time.
	At time.Time `msgpack:"t"`
}

// RulesRequest asks a peer for the rules in force, by a process that starts
// while the log is down.
type RulesRequest struct{}

// RulesReply is the answer: the rules in force as that peer has folded them.
type RulesReply struct {
	rules.PeerState
	// Draining names the engines that the peer gives no new work, for an order
	// that is to come or under way.
	Draining []string `msgpack:"drains"`
}

// Kind implements Message.
func (Ping) Kind() Kind { return KindPing }

// Kind implements Message.
func (Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (Summary) Kind() Kind { return KindSummary }

// Kind implements Message.
func (EntryStatus) Kind() Kind { return KindEntryStatus }

// Kind implements Message.
func (StatusAck) Kind() Kind { return KindStatusAck }

// Kind implements Message.
func (RulesRequest) Kind() Kind { return KindRulesRequest }

// Kind implements Message.
func (RulesReply) Kind() Kind { return KindRulesReply }

// Encoded is a message in the form in which it goes over the wire, made once for all
// peers that get the same.
type Encoded struct {
	kind Kind
	body []byte
}

// Kind implements Message.
func (e Encoded) Kind() Kind { return e.kind }

// Encode encodes a message that several peers will get.
func Encode(m Message) (Encoded, error) {
	body, err := encode(m)
	return Encoded{kind: m.Kind(), body: body}, err
}

func encode(m Message) ([]byte, error) {
	if e, done := m.(Encoded); done {
		return e.body, nil
	}
	body, err := msgpack.Marshal(m)
	return body, eris.Wrapf(err, "message of kind %d can't be encoded", m.Kind())
}

// decode turns a body into the message of its kind. An unknown kind is an
// error: peers of another version don't get past the handshake.
func decode(k Kind, body []byte) (Message, error) {
	switch k {
	case KindPing:
		return Ping{}, nil
	case KindHeartbeat:
		return decodeAs[Heartbeat](body)
	case KindSummary:
		return decodeAs[Summary](body)
	case KindEntryStatus:
		return decodeAs[EntryStatus](body)
	case KindStatusAck:
		return decodeAs[StatusAck](body)
	case KindRulesRequest:
		return decodeAs[RulesRequest](body)
	case KindRulesReply:
		return decodeAs[RulesReply](body)
	case KindMemberState:
		return decodeAs[MemberState](body)
	case KindViewRequest:
		return decodeAs[ViewRequest](body)
	case KindViewReply:
		return decodeAs[ViewReply](body)
	case KindLoadReport:
		return decodeAs[LoadReport](body)
	case KindMemberLoads:
		return decodeAs[MemberLoads](body)
	case KindSnapshotRequest:
		return decodeAs[SnapshotRequest](body)
	case KindSnapshotReply:
		return decodeAs[SnapshotReply](body)
	case KindLoadTotals:
		return decodeAs[LoadTotals](body)
	default:
		return nil, eris.Errorf("message of unknown kind %d", k)
	}
}

func decodeAs[M Message](body []byte) (Message, error) {
	var m M
	if err := codec.Unmarshal(body, &m); err != nil {
		return nil, eris.Wrapf(err, "message of kind %d", m.Kind())
	}
	return m, nil
}
