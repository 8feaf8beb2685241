package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"

	"github.com/rotisserie/eris"
)

// A frame is a big-endian length of 4 bytes, then so many bytes: the kind of
// message (1 byte), its msgpack body, and a code (16 bytes) over the frame's
// number in its direction, the kind and the body.
const (
	lengthBytes = 4
	kindBytes   = 1
	macBytes    = 16
)

// MaxFrameBytes is the largest frame taken after the handshake. It leaves room
// for the largest rule set.
const MaxFrameBytes = 1 << 20

// readRaw reads one length and so many bytes.
func readPrefixed(r io.Reader, maxBytes int) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if uint64(size) > uint64(maxBytes) {
		return nil, &TooLargeError{Size: int(size), Max: maxBytes}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, unexpectedEOF(err)
	}
	return data, nil
}

// noEOF turns an end in the middle of a frame into an error of its own.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func appendPrefixed(buf, data []byte) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(data)))
	return append(buf, data...)
}

// sealer numbers the frames of one direction of a connection and computes
// their codes. A frame that was altered, repeated, left out or taken from
// another connection has a code that doesn't fit.
type sealer struct {
	mac hash.Hash
	seq uint64
}

func newSealer(key []byte) *sealer {
	return &sealer{mac: hmac.New(sha256.New, key)}
}

func (s *sealer) nextMAC(content []byte) []byte {
	s.mac.Reset()
	s.mac.Write(binary.BigEndian.AppendUint64(nil, s.seq))
	s.mac.Write(content)
	s.seq++
	return s.mac.Sum(nil)[:macBytes]
}

// seal returns the frame of a message.
func (s *sealer) seal(m Message) ([]byte, error) {
	body, err := encode(m)
	if err != nil {
		return nil, err
	}
	size := kindBytes + len(body) + macBytes
	if size > MaxFrameBytes {
		return nil, &TooLargeError{Size: size, Max: MaxFrameBytes}
	}
	frame := make([]byte, 0, lengthBytes+size)
	frame = binary.BigEndian.AppendUint32(frame, uint32(size))
	frame = append(frame, byte(m.Kind()))
	frame = append(frame, body...)
	return append(frame, s.nextMAC(frame[lengthBytes:])...), nil
}

// open checks what readRaw returned and decodes it.
func (s *sealer) open(data []byte) (Message, error) {
	if len(data) < kindBytes+macBytes {
		return nil, eris.Wrapf(ErrMalformed, "%d bytes", len(data))
	}
	content, code := data[:len(data)-macBytes], data[len(data)-macBytes:]
	if !hmac.Equal(code, s.nextMAC(content)) {
		return nil, ErrTampered
	}
	return decode(Kind(content[0]), content[kindBytes:])
}
