package claim

import (
	"bytes"
	"encoding/base64"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/internal/codec"
	"tamarackchute/journal"
	"tamarackchute/upstream"
)

// messageType stands first in an entry's body. The numbers stand in the log:
// never reuse one.
type messageType uint8

const (
	typeClaim      messageType = 1
	typeWithdrawal messageType = 2
	typeOutcome    messageType = 3
	typeBrokenOff  messageType = 4
	typeCheckpoint messageType = 5
)

// claimed asks for the right to run a key's call.
type claimRequest struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Key     KeyID
	Attempt AttemptID
	Digest  uint64
	// MadeMillis is Key.Made as Unix milliseconds, 0 if not known.
	CreatedAtMillis int64
}

// abandoned withdraws a claim that was never dispatched and never will be.
type withdrawal struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Key     KeyID
	Attempt AttemptID
}

// outcome records the answer of a run.
type outcome struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Key     KeyID
	Attempt AttemptID
	Digest  uint64
	Status  uint16
	// Kept is whether Headers and Body are the whole answer.
	Complete bool
	// Headers holds names and values in turn.
	Headers []string
	Body    []byte
}

// brokenOff records that a run's outcome will never be known.
type brokenOff struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Key     KeyID
	Attempt AttemptID
	Digest  uint64
}

// checkpoint repeats what a ledger knew at UpTo, in several parts, so that a
// reader that starts behind expired records learns it.
type checkpoint struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Set         AttemptID
	Part, Parts uint32
	UpTo        journal.Position
	// NowMillis is the ledger's time at UpTo.
	NowMillis int64
	// Rows holds checkpointRow values, one after the other.
	Rows []byte
}

// checkpointRow is a key, or an attempt that was decided against.
type checkpointRow struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Bucket  int64
	Phase   phase
	Key     KeyID
	Digest  uint64
	Status  uint16
	Attempt AttemptID
	Writer  uint64
}

var errCorrupt = eris.New("claim: entry can't be decoded")

// encodeEntry builds a journal entry. The id must be unique to the message.
func encodeEntry(t messageType, id AttemptID, suffix string, m any) journal.Entry {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseCompactInts(true)
	if err := enc.EncodeMulti(uint8(t), m); err != nil {
		panic(err) // the message types always encode
	}
	return journal.Entry{
		Kind: journal.KindClaim,
		ID:   base64.RawURLEncoding.EncodeToString(id[:]) + suffix,
		Body: b.Bytes(),
	}
}

func (m claimRequest) entry() journal.Entry {
	return encodeEntry(typeClaim, m.Attempt, "c", &m)
}

func (m withdrawal) entry() journal.Entry {
	return encodeEntry(typeWithdrawal, m.Attempt, "a", &m)
}

func (m outcome) entry() journal.Entry {
	return encodeEntry(typeOutcome, m.Attempt, "o", &m)
}

func (m brokenOff) entry() journal.Entry {
	return encodeEntry(typeBrokenOff, m.Attempt, "b", &m)
}

// decodeEntry returns a pointer to one of the message types.
func decodeEntry(body []byte) (any, error) {
	// The type is below 128, so it is its own msgpack form.
	if len(body) == 0 {
		return nil, errCorrupt
	}
	var m any
	switch messageType(body[0]) {
	case typeClaim:
		m = new(claimRequest)
	case typeWithdrawal:
		m = new(withdrawal)
	case typeOutcome:
		m = new(outcome)
	case typeBrokenOff:
		m = new(brokenOff)
	case typeCheckpoint:
		m = new(checkpoint)
	default:
		return nil, errCorrupt
	}
	if err := codec.Unmarshal(body[1:], m); err != nil {
		return nil, eris.Wrap(errCorrupt, err.Error())
	}
	return m, nil
}

// recorded is the answer that the outcome holds.
func (m *outcome) response() Response {
	r := Response{Status: int(m.Status), Body: m.Body}
	for i := 0; i+1 < len(m.Headers); i += 2 {
		r.Headers = append(r.Headers, upstream.Header{Name: m.Headers[i], Value: m.Headers[i+1]})
	}
	return r
}

// newOutcome records an answer, without headers and body if it is larger than
// maxBytes.
func newOutcome(key KeyID, attempt AttemptID, digest uint64, r Response, maxBytes int) outcome {
	m := outcome{Key: key, Attempt: attempt, Digest: digest, Status: uint16(r.Status)}
	if r.size() > maxBytes {
		return m
	}
	m.Complete = true
	// The caller's HTTP library may use the answer's memory again.
	m.Body = bytes.Clone(r.Body)
	for _, h := range r.Headers {
		m.Headers = append(m.Headers, strings.Clone(h.Name), strings.Clone(h.Value))
	}
	return m
}
