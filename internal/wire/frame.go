package wire

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"

	"github.com/rotisserie/eris"
)

// A frame is a big-endian length of 4 bytes, followed by that many bytes: the
// message's kind (1 byte), its msgpack body, and a MAC (16 bytes) over the frame's
// sequence number in its direction, the kind and the body.
const (
	lengthBytes = 4
	kindBytes   = 1
	macBytes    = 16
)

// MaxFrameBytes is the size limit of a frame after the handshake. It leaves room
// for the largest configuration that the store returns.
const MaxFrameBytes = 8 << 20

// firstAllocation is the size up to which memory for a frame is allocated before its bytes arrive.
const firstAllocation = 64 << 10

// readPrefixed reads a length prefix and as many bytes as it says.
func readPrefixed(r io.Reader, maxBytes int) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if uint64(size) > uint64(maxBytes) {
		return nil, &TooLargeError{Size: int(size), Max: maxBytes}
	}
	if size <= firstAllocation {
		data := make([]byte, size)
		_, err := io.ReadFull(r, data)
		return data, unexpectedEOF(err)
	}
	var data bytes.Buffer
	data.Grow(firstAllocation)
	_, err := io.CopyN(&data, r, int64(size))
	return data.Bytes(), unexpectedEOF(err)
}

// unexpectedEOF turns io.EOF, which within a frame means that it was truncated, into
// io.ErrUnexpectedEOF.
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
// their MACs. A frame that was altered, replayed, taken from another connection, or
// that follows a missing one has a MAC that doesn't match.
type sealer struct {
	mac hash.Hash
	seq uint64
}

func newSealer(key []byte) *sealer {
	return &sealer{mac: hmac.New(sha256.New, key)}
}

// nextMAC returns the MAC of the next frame's content.
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

// open verifies what readPrefixed returned and decodes it.
func (s *sealer) open(data []byte) (Message, error) {
	if len(data) < kindBytes+macBytes {
		return nil, eris.Wrapf(ErrMalformed, "%d bytes", len(data))
	}
	content, mac := data[:len(data)-macBytes], data[len(data)-macBytes:]
	if !hmac.Equal(mac, s.nextMAC(content)) {
		return nil, ErrTampered
	}
	return decode(Kind(content[0]), content[kindBytes:])
}
