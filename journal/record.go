package journal

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// recordVersion stands first in each record. A reader skips records of a
// version that it doesn't know.
const recordVersion = 1

// maxEntriesPerRecord keeps Position.Index within its 16 bits.
const maxEntriesPerRecord = 1 << 15

// entryOverhead is the most bytes that an entry adds to a record beside its
// own strings and body.
const entryOverhead = 24

// recordFields is the number of fields of a record.
const recordFields = 3

// record is the form of one log record: the entries that share one append.
type record struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Version uint8
	// Writer is the writer of each entry that names no other.
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

// EncodeRecord builds the log record that holds the entries, in their order.
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

// DecodeRecord takes a log record apart. Its error says that the record is
// not of this journal's form, for example because somebody else wrote it.
func DecodeRecord(data []byte) ([]Entry, error) {
	dec := msgpack.NewDecoder(bytes.NewReader(data))
	writer, n, err := decodeHead(dec)
	if err != nil {
		return nil, eris.Wrap(errCorrupt, err.Error())
	}
	// The library allocates a slice of structs by its declared length, so a
	// corrupt length would exhaust memory; an entry takes at least one byte.
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

// decodeHead reads a record up to the first of its n entries.
func decodeHead(dec *msgpack.Decoder) (writer string, n int, err error) {
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
