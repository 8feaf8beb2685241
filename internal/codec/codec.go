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
func Unmarshal(data []byte, v any) (err error) {
	if err := check(data); err != nil {
		return err
	}
	defer func() {
		if r := recover(); r != nil {
			err = eris.Wrapf(ErrMalformed, "decoder failed: %v", r)
		}
	}()
	if err := msgpack.Unmarshal(data, v); err != nil {
		return eris.Wrapf(ErrMalformed, "%v", err)
	}
	return nil
}

// maxDepth bounds how deep arrays and maps lie in each other: the library
// recurses over parts that v has no field for.
const maxDepth = 32

// check walks over the value without recursion. Every element takes one byte at
// least, so more elements than bytes can't be.
func check(data []byte) error {
	r := bytes.NewReader(data)
	d := msgpack.NewDecoder(r)
	// due holds how many values are still to come at each open level.
	due := []int{1}
	for len(due) > 0 {
		last := len(due) - 1
		if due[last] == 0 {
			due = due[:last]
			continue
		}
		due[last]--
		children, err := skipOne(d)
		switch {
		case err != nil:
			return eris.Wrapf(ErrMalformed, "%v", err)
		case children > r.Len():
			return eris.Wrapf(ErrMalformed, "%d elements in %d bytes", children, r.Len())
		case len(due) > maxDepth:
			return eris.Wrapf(ErrMalformed, "more than %d levels", maxDepth)
		case children > 0:
			due = append(due, children)
		}
	}
	if r.Len() > 0 {
		return eris.Wrapf(ErrMalformed, "%d bytes after the value", r.Len())
	}
	return nil
}

// skipOne steps over a plain value, or into an array or map and returns how many
// values it holds.
func skipOne(d *msgpack.Decoder) (children int, err error) {
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
