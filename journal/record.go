package journal

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// recordVersion is the first field of each record. A reader skips records with
// a version that it doesn't know.
const recordVersion = 1

// maxEntriesPerRecord keeps Position.Index within 16 bits.
const maxEntriesPerRecord = 1 << 15

// entryOverhead is an upper bound of the bytes that an entry adds to a record
// in addition to its strings and body.
const entryOverhead = 24

// recordFields is the length of the array that encodes a record.
const recordFields = 3

// record is the encoding of one log record: the entries that share an append.
type record struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Version uint8
	// Writer is the writer of each entry whose own Writer is empty.
	Writer  string
	Entries []recordEntry
}

type recordEntry struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Kind   Kind
	ID     string
	Writer string
	Body   []byte
}

// EncodeRecord encodes entries as one log record, in the given order.
func EncodeRecord(writer string, entries []Entry) ([]byte, error) {
	r := record{Version: recordVersion, Writer: writer, Entries: make([]recordEntry, len(entries))}
	for i, e := range entries {
		r.Entries[i] = recordEntry{Kind: e.Kind, ID: e.ID, Writer: e.Writer, Body: e.Body}
		if e.Writer == writer {
			r.Entries[i].Writer = ""
		}
	}
	data, err := msgpack.Marshal(&r)
	return data, eris.Wrap(err, "journal: encode record")
}

// DecodeRecord returns the entries of a log record. It returns an error if the
// record doesn't have this journal's encoding, for example because another
// program wrote it.
func DecodeRecord(data []byte) ([]Entry, error) {
	dec := msgpack.NewDecoder(bytes.NewReader(data))
	writer, n, err := decodeHeader(dec)
	if err != nil {
		return nil, eris.Wrap(errCorrupt, err.Error())
	}
	// msgpack allocates a slice of structs by its declared length, so a corrupt
	// length would exhaust memory. An entry takes at least one byte.
	if n < 0 || n > min(maxEntriesPerRecord, len(data)) {
		return nil, errCorrupt
	}
	entries := make([]Entry, n)
	for i := range entries {
		var e recordEntry
		if err := dec.Decode(&e); err != nil {
			return nil, eris.Wrap(errCorrupt, err.Error())
		}
		entries[i] = Entry{Kind: e.Kind, ID: e.ID, Writer: e.Writer, Body: e.Body}
		if e.Writer == "" {
			entries[i].Writer = writer
		}
	}
	return entries, nil
}

// decodeHeader decodes a record up to the first of its n entries.
func decodeHeader(dec *msgpack.Decoder) (writer string, n int, err error) {
	fields, err := dec.DecodeArrayLen()
	if err != nil {
		return "", 0, err
	}
	version, err := dec.DecodeUint8()
	if err != nil {
		return "", 0, err
	}
	if fields != recordFields || version != recordVersion {
		return "", 0, errCorrupt
	}
	if writer, err = dec.DecodeString(); err != nil {
		return "", 0, err
	}
	n, err = dec.DecodeArrayLen()
	return writer, n, err
}

// entrySize is an upper bound of the bytes that e takes up in a record.
func entrySize(e Entry) int {
	return len(e.ID) + len(e.Writer) + len(e.Body) + entryOverhead
}
