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

// State is a published rule set as it stands in the log.
type State struct {
	Version Version `json:"version"`
	// PublishID is the ID of the publication that made the version.
	PublishID string `json:"publish_id"`
	Author    string `json:"author"`
	Note      string `json:"note"`
	// At is the log's clock when it took the publication.
	At       time.Time `json:"at"`
	Document []byte    `json:"document"`
}

// Publication asks for a document to be put in force. It is accepted if Base is the
// version in force at its place in the log; its place is then the new version.
type Publication struct {
	// ID is unique to the publication. Sent twice it counts once.
	ID       string
	Base     Version
	Document []byte
	Author   string
	Note     string
	// Through is the last record that its writer had read before it wrote.
	Through infra.Offset
	// Force accepts it also over another version than Base, unless that was
	// published after Through. It is for operators of a deployment all of whose
	// instances have missed records, and can't tell what is in force in the log.
	Force bool
}

// Checkpoint repeats the version in force, so that it outlives the log's
// retention. A reader that has the state ignores it.
type Checkpoint struct {
	State State
	// Through is the position up to which its writer had folded the log.
	Through journal.Position
}

// recordKind tells the entries of journal.KindRules apart. The numbers stand in
// the log: never reuse one.
type recordKind uint8

const (
	recordPublish    recordKind = 1
	recordCheckpoint recordKind = 2
	// recordAsk asks for a checkpoint.
	recordAsk recordKind = 3
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
	// Document is compressed, as an entry must fit into one record of the log.
	Document []byte `msgpack:"d,omitempty"`
}

// position is a journal.Position without the text form of a Version.
type position journal.Position

func encodeBody(r record) []byte {
	body, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err) // strings, numbers and byte slices always encode
	}
	return body
}

func encodePublish(p Publication) []byte {
	return encodeBody(record{
		Kind: recordPublish, Base: position(p.Base), Force: p.Force, Through: position{Offset: p.Through},
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

func encodeAsk() []byte { return encodeBody(record{Kind: recordAsk}) }

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

func (r *record) publish(id string) Publication {
	return Publication{
		ID: id, Base: Version(r.Base), Document: r.Document,
		Author: r.Author, Note: r.Note, Force: r.Force, Through: r.Through.Offset,
	}
}

// maxCompressedBytes bounds a document in the log. With the rest of its entry it
// fits into a record of the journal.
const maxCompressedBytes = 48 << 10

func compress(document []byte) []byte { return s2.EncodeBetter(nil, document) }

// decompress refuses what is larger than a document may be, so that a damaged
// record can't fill the memory.
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
