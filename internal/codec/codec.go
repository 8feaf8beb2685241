// Package codec decodes msgpack that another process wrote, or somebody who
// only says so.
package codec

import (
	"bytes"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// ErrMalformed says that the bytes aren't the msgpack form of one value.
var ErrMalformed = errors.New("codec: malformed msgpack")

// Unmarshal decodes the msgpack form of one value into the value that v points
// to. Any bytes are safe: the library alone would make a slice of whatever
// length a body of some bytes claims, up to 4 G elements, which ends the process
// for lack of memory, and it panics on nil in place of a time. So the lengths
// are held against the bytes that are there first, and a panic of the decoder
// becomes an error.
func Unmarshal(data []byte, v any) error {
	rest, err := Next(data, v)
	if err == nil && len(rest) > 0 {
		return eris.Wrapf(ErrMalformed, "%d bytes after the value", len(rest))
	}
	return err
}

// Next decodes the first of several values, as Unmarshal does a single one, and
// returns the bytes behind it.
func Next(data []byte, v any) (rest []byte, err error) {
	n, err := encodedLength(data)
	if err != nil {
		return nil, err
	}
	defer func() {
		if r := recover(); r != nil {
			err = eris.Wrapf(ErrMalformed, "decoder failed: %v", r)
		}
	}()
	if err := msgpack.Unmarshal(data[:n], v); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	return data[n:], nil
}

// maxDepth bounds how deep arrays and maps lie in each other: the library
// recurses over parts that v has no field for.
const maxDepth = 32

// length returns the length of the first value in bytes. It walks over it without
// recursion. Every element takes one byte at least, so more elements than bytes
// can't be.
func encodedLength(data []byte) (int, error) {
	r := bytes.NewReader(data)
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(r)
	// due holds how many values are still to come at each open level.
	var levels [maxDepth + 1]int
	due := append(levels[:0], 1)
	for len(due) > 0 {
		last := len(due) - 1
		if due[last] == 0 {
			due = due[:last]
			continue
		}
		due[last]--
		children, err := skipValue(d)
		switch {
		case err != nil:
			return 0, eris.Wrapf(ErrMalformed, "%v", err)
		case children > r.Len():
			return 0, eris.Wrapf(ErrMalformed, "%d elements in %d bytes", children, r.Len())
		case len(due) > maxDepth:
			return 0, eris.Wrapf(ErrMalformed, "more than %d levels", maxDepth)
		case children > 0:
			due = append(due, children)
		}
	}
	return len(data) - r.Len(), nil
}

// skipOne steps over a plain value, or into an array or map and returns how many
// values it holds.
func skipValue(d *msgpack.Decoder) (children int, err error) {
	code, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return d.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		n, err := d.DecodeMapLen()
		return 2 * n, err
	default:
		return 0, d.Skip()
	}
}
