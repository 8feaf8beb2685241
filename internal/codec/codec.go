// Package codec decodes msgpack from untrusted sources.
package codec

import (
	"bytes"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// ErrMalformed means that the bytes aren't a valid msgpack value.
var ErrMalformed = errors.New("codec: malformed msgpack")

// Unmarshal decodes one msgpack value into the value that v points to. It is safe for
// any bytes: lengths are first checked against the size of data, because the library
// allocates slices of up to 4 G elements if a few bytes claim that length, and the
// library's panics, such as on nil in place of a time, are returned as errors.
func Unmarshal(data []byte, v any) error {
	rest, err := Next(data, v)
	if err == nil && len(rest) > 0 {
		return eris.Wrapf(ErrMalformed, "%d bytes after the value", len(rest))
	}
	return err
}

// Next decodes the first value in data, as safely as Unmarshal, and returns the
// remaining bytes.
func Next(data []byte, v any) (rest []byte, err error) {
	n, err := encodedLength(data)
	if err != nil {
		return nil, err
	}
	defer func() {
		if r := recover(); r != nil {
			err = eris.Wrapf(ErrMalformed, "decoder panicked: %v", r)
		}
	}()
	if err := msgpack.Unmarshal(data[:n], v); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	return data[n:], nil
}

// maxDepth is the maximum nesting of arrays and maps: the library skips unknown fields
// recursively.
const maxDepth = 32

// encodedLength returns the length in bytes of the first value, without recursion. As
// each element takes at least one byte, a count above the number of remaining bytes is
// an error.
func encodedLength(data []byte) (int, error) {
	r := bytes.NewReader(data)
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(r)
	// pending holds the number of remaining values at each open level.
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
			return 0, eris.Wrapf(ErrMalformed, "nested deeper than %d levels", maxDepth)
		case children > 0:
			due = append(due, children)
		}
	}
	return len(data) - r.Len(), nil
}

// skipValue skips a scalar, or the header of an array or map, and returns the number of
// values that the array or map contains.
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
