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

// Kind identifies the type of a message on the wire. A number must never be reused.
type Kind uint8

// Kinds of messages.
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

	KindConfigProofRequest Kind = 16
	KindConfigProofReply   Kind = 17
	KindUsageReport        Kind = 18
	KindUsageAck           Kind = 19
	KindUsageRequest       Kind = 20
	KindUsageReply         Kind = 21
	KindQuarantineReport   Kind = 22
	KindUpstreamLimits     Kind = 23

	KindStreamVersions       Kind = 24
	KindStreamVersionRequest Kind = 25
	KindStreamBookRequest    Kind = 26
	KindStreamBook           Kind = 27
)

// Message is a typed message between two processes of the system.
type Message interface {
	// Kind returns the kind, which is the same for all messages of a type.
	Kind() Kind
}

// Ping shows that a connection is alive while nothing else is sent.
type Ping struct{}

// Heartbeat carries a membership heartbeat.
type Heartbeat struct {
	membership.Heartbeat
}

// Summary carries a data centre's membership summary.
type Summary struct {
	membership.Summary
}

// MaxStatusAge is the age up to which a leader accepts a listed entry's status as
// acknowledgement of a drain. An entry killed since may have been replaced by one that
// doesn't know of the drain until it has read the log. A restarted entry therefore
// serves only with state from the log until this time has passed.
const MaxStatusAge = time.Second

// EntryStatus is the status that an entry reports to the leading controllers.
type EntryStatus struct {
	Instance   string `msgpack:"n"`
	DataCentre string `msgpack:"d"`
	// Incarnation differs for each start of the entry, and Seq counts the statuses
	// of one incarnation. The code that sends statuses sets both.
	Incarnation uint64 `msgpack:"i"`
	Seq         uint64 `msgpack:"q"`
	// Applied is the log position up to which the entry has applied the records. It
	// obeys drain records up to this position.
	Applied journal.Position `msgpack:"a"`
	// InFlight lists the engines with requests of this entry in progress; an engine
	// that isn't listed has none.
	InFlight []EngineInFlight `msgpack:"f"`
	Demand   []ModelDemand    `msgpack:"m"`
	// At is the time by the entry's clock. Receivers measure age by their local clocks.
	At time.Time `msgpack:"t"`
}

// EngineInFlight counts an entry's requests at an engine, streams included.
type EngineInFlight struct {
	Engine   string `msgpack:"e"`
	Requests int    `msgpack:"r"`
}

// ModelDemand is the demand for a model at one entry, as smoothed rates.
type ModelDemand struct {
	Model              string  `msgpack:"m"`
	PromptTokensPerSec float64 `msgpack:"p"`
	OutputTokensPerSec float64 `msgpack:"o"`
	RequestsPerSec     float64 `msgpack:"r"`
	// Queued is the number of requests that wait in the entry.
	Queued int `msgpack:"q"`
}

// StatusAck confirms to an entry that a controller has received its status.
type StatusAck struct {
	// At is the acknowledged status's At.
	At time.Time `msgpack:"t"`
}

// RulesRequest asks a peer for the rules in force. It is sent by a process that starts
// while the log is unavailable.
type RulesRequest struct{}

// RulesReply is the response to a RulesRequest: the rules in force as the peer has
// computed them from the log.
type RulesReply struct {
	rules.PeerState
	// Draining names the engines to which the peer sends no new work because of a
	// planned or running order.
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

// Encoded is a message that was encoded once in order to be sent to several peers.
type Encoded struct {
	kind Kind
	body []byte
}

// Kind implements Message.
func (e Encoded) Kind() Kind { return e.kind }

// Encode encodes a message that is sent to several peers.
func Encode(m Message) (Encoded, error) {
	body, err := encode(m)
	return Encoded{kind: m.Kind(), body: body}, err
}

func encode(m Message) ([]byte, error) {
	if e, done := m.(Encoded); done {
		return e.body, nil
	}
	body, err := msgpack.Marshal(m)
	return body, eris.Wrapf(err, "encode message of kind %d", m.Kind())
}

// decode decodes a body as a message of a kind. An unknown kind is an error: the
// handshake rejects peers of another version.
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
	case KindConfigProofRequest:
		return decodeAs[ConfigProofRequest](body)
	case KindConfigProofReply:
		return decodeAs[ConfigProofReply](body)
	case KindUsageReport:
		return decodeAs[UsageReport](body)
	case KindUsageAck:
		return decodeAs[UsageAck](body)
	case KindUsageRequest:
		return decodeAs[UsageRequest](body)
	case KindUsageReply:
		return decodeAs[UsageReply](body)
	case KindQuarantineReport:
		return decodeAs[QuarantineReport](body)
	case KindUpstreamLimits:
		return decodeAs[UpstreamLimits](body)
	case KindStreamVersions:
		return decodeAs[StreamVersions](body)
	case KindStreamVersionRequest:
		return decodeAs[StreamVersionRequest](body)
	case KindStreamBookRequest:
		return decodeAs[StreamBookRequest](body)
	case KindStreamBook:
		return decodeAs[StreamBook](body)
	case KindLoadTotals:
		return decodeAs[LoadTotals](body)
	default:
		return nil, eris.Errorf("unknown message kind %d", k)
	}
}

func decodeAs[M Message](body []byte) (Message, error) {
	var m M
	if err := codec.Unmarshal(body, &m); err != nil {
		return nil, eris.Wrapf(err, "decode message of kind %d", m.Kind())
	}
	return m, nil
}
