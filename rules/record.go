package rules

import (
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/infra"
	"tamarackchute/internal/codec"
	"tamarackchute/journal"
)

// State is a published rule set with its metadata.
type State struct {
	Version Version `json:"version"`
	// PublishID is the ID of the publication that created the version.
	PublishID string `json:"publish_id"`
	Author    string `json:"author"`
	Note      string `json:"note"`
	// At is the time of the publication by the log's clock.
	At       time.Time `json:"at"`
	Document []byte    `json:"document"`
}

// Publication requests that a document come into force. It is accepted if Base is
// the version in force at its position in the log, which becomes the new version.
type Publication struct {
	// ID identifies the publication; copies with the same ID count once.
	ID       string
	Base     Version
	Document []byte
	Author   string
	Note     string
	// Through is the last record that the writer had read before it wrote.
	Through infra.Offset
	// Force accepts it even if the version in force isn't Base, unless that was
	// published after Through. It serves operators of a deployment in which every
	// instance has missed records and none knows the version in force.
	Force bool
}

// Checkpoint repeats the version in force, so that it outlives the log's
// retention. A replica that already has the state ignores it.
type Checkpoint struct {
	State State
	// Through is the position up to which the writer had folded the log.
	Through journal.Position
}

// recordKind distinguishes the entries of journal.KindRules. The numbers are
// stored in the log: never reuse one.
type recordKind uint8

const (
	recordPublication recordKind = 1
	recordCheckpoint  recordKind = 2
	// recordCheckpointRequest requests a checkpoint from any instance.
	recordCheckpointRequest recordKind = 3
)

// record is the body of an entry of journal.KindRules. The ID of a publication
// is that of its entry.
type record struct {
	Kind      recordKind `msgpack:"k"`
	Base      position   `msgpack:"b"`
	Force     bool       `msgpack:"f,omitempty"`
	Version   position   `msgpack:"v"`
	Through   position   `msgpack:"t"`
	PublishID string     `msgpack:"p,omitempty"`
	Author    string     `msgpack:"a,omitempty"`
	Note      string     `msgpack:"n,omitempty"`
	At        time.Time  `msgpack:"at"`
	// Document is compressed, as an entry must fit into one record.
	Document []byte `msgpack:"d,omitempty"`
}

// position is a journal.Position that isn't encoded as text like a Version.
type position journal.Position

func encodeBody(r record) []byte {
	body, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err) // strings, numbers and byte slices always encode
	}
	return body
}

func encodePublication(p Publication) []byte {
	return encodeBody(record{
		Kind: recordPublication, Base: position(p.Base), Force: p.Force, Through: position{Offset: p.Through},
		Author: p.Author, Note: p.Note, Document: compress(p.Document),
	})
}

func encodeCheckpoint(c Checkpoint) []byte {
	s := c.State
	return encodeBody(record{
		Kind: recordCheckpoint, Version: position(s.Version), Through: position(c.Through),
		PublishID: s.PublishID, Author: s.Author, Note: s.Note, At: s.At, Document: compress(s.Document),
	})
}

func encodeCheckpointRequest() []byte { return encodeBody(record{Kind: recordCheckpointRequest}) }

func decodeBody(body []byte) (record, error) {
	var r record
	if err := codec.Unmarshal(body, &r); err != nil {
		return record{}, eris.Wrap(err, "rules: record can't be decoded")
	}
	document, err := decompress(r.Document)
	r.Document = document
	return r, err
}

func (r *record) checkpoint() Checkpoint {
	return Checkpoint{
		State: State{
			Version: Version(r.Version), PublishID: r.PublishID,
			Author: r.Author, Note: r.Note, At: r.At, Document: r.Document,
		},
		Through: journal.Position(r.Through),
	}
}

func (r *record) publication(id string) Publication {
	return Publication{
		ID: id, Base: Version(r.Base), Document: r.Document,
		Author: r.Author, Note: r.Note, Force: r.Force, Through: r.Through.Offset,
	}
}

// maxCompressedBytes bounds a compressed document, so that it fits into a record
// of the journal together with the rest of its entry.
const maxCompressedBytes = 48 << 10

func compress(document []byte) []byte { return s2.EncodeBetter(nil, document) }

// decompress rejects documents larger than MaxDocumentBytes before it allocates
// them, so that a damaged record can't exhaust the memory.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	size, err := s2.DecodedLen(data)
	if err != nil || size > MaxDocumentBytes {
		return nil, eris.New("rules: document in the log is damaged or too large")
	}
	document, err := s2.Decode(nil, data)
	return document, eris.Wrap(err, "rules: document can't be decompressed")
}
