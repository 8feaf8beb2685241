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

// messageType is the first byte of an entry's body. The numbers are stored in
// the log: never reuse one.
type messageType uint8

const (
	typeClaim      messageType = 1
	typeWithdrawal messageType = 2
	typeOutcome    messageType = 3
	typeBrokenOff  messageType = 4
	typeCheckpoint messageType = 5
)

// claimRequest asks for the right to run a key's call.
type claimRequest struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Key     KeyID
	Attempt AttemptID
	Digest  uint64
	// CreatedAtMillis is Key.CreatedAt in Unix milliseconds, 0 if not known.
	CreatedAtMillis int64
}

// withdrawal withdraws a claim that was never dispatched and never will be.
type withdrawal struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Key     KeyID
	Attempt AttemptID
}

// outcome records the response of a call that ran.
type outcome struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Key     KeyID
	Attempt AttemptID
	Digest  uint64
	Status  uint16
	// Complete says that Headers and Body are the complete response.
	Complete bool
	// Headers holds names and values alternately.
	Headers []string
	Body    []byte
}

// brokenOff records that a dispatch's outcome will never be known.
type brokenOff struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Key     KeyID
	Attempt AttemptID
	Digest  uint64
}

// checkpoint is one part of a ledger's snapshot at UpTo, for readers that start
// after records have expired.
type checkpoint struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	// Set identifies the checkpoint, Part the part among its Parts.
	Set         AttemptID
	Part, Parts uint32
	UpTo        journal.Position
	// NowMillis is the ledger's time at UpTo in Unix milliseconds.
	NowMillis int64
	// Rows holds concatenated checkpointRow values.
	Rows []byte
}

// checkpointRow is a key, or an attempt whose claim was rejected or withdrawn.
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

var errCorrupt = eris.New("claim: malformed entry")

// encodeEntry builds a journal entry. The id and the suffix together must be
// unique to the message.
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
	// A type below 128 is encoded as one byte of the same value in msgpack.
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

// response returns the response that the outcome holds.
func (m *outcome) response() Response {
	r := Response{Status: int(m.Status), Body: m.Body}
	for i := 0; i+1 < len(m.Headers); i += 2 {
		r.Headers = append(r.Headers, upstream.Header{Name: m.Headers[i], Value: m.Headers[i+1]})
	}
	return r
}

// newOutcome returns the record of a response, without headers and body if it
// is larger than maxBytes.
func newOutcome(key KeyID, attempt AttemptID, digest uint64, r Response, maxBytes int) outcome {
	m := outcome{Key: key, Attempt: attempt, Digest: digest, Status: uint16(r.Status)}
	if r.size() > maxBytes {
		return m
	}
	m.Complete = true
	// The caller's HTTP library may reuse the response's memory.
	m.Body = bytes.Clone(r.Body)
	for _, h := range r.Headers {
		m.Headers = append(m.Headers, strings.Clone(h.Name), strings.Clone(h.Value))
	}
	return m
}
