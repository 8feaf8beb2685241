package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies a request by its content. With 128 bits, the probability of
// a collision among a million digests is about 1.5e-27. The hash isn't
// cryptographic: a malicious caller can construct colliding bodies, and so get
// one of its own requests refused, or one whose exact content it knows.
type Digest struct {
	// A covers all but the middle of a long body, so that it is cheap to compute; B
	// covers everything.
	A uint64 `msgpack:"a" json:"a"`
	B uint64 `msgpack:"b" json:"b"`
}

const (
	// wholeSeed makes the second half of a digest independent of the first.
	wholeSeed = 0x9e3779b97f4a7c15
	// maxEndBytes is how much of each end of a body the first half of a digest covers.
	maxEndBytes = 256
)

// DigestOf returns the digest of a request. scope separates requests that aren't equal
// although their paths and bodies are: by model, or by method and organisation. path and
// body are those sent to the upstream.
func DigestOf(scope, path string, body []byte) Digest {
	return Digest{Head(scope, path, body), sum(wholeSeed, scope, path, body)}
}

// Head returns the first half of a request's digest, in a time that doesn't grow with the
// body.
func Head(scope, path string, body []byte) uint64 {
	if len(body) <= 2*maxEndBytes {
		return sum(0, scope, path, body)
	}
	return sum(uint64(len(body)), scope, path, body[:maxEndBytes], body[len(body)-maxEndBytes:])
}

// sum hashes the parts with their lengths, so that moving a byte from one part to
// the next changes the hash.
func sum(seed uint64, scope, path string, body ...[]byte) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(seed)
	var lengths [16]byte
	binary.BigEndian.PutUint64(lengths[:8], uint64(len(scope)))
	binary.BigEndian.PutUint64(lengths[8:], uint64(len(path)))
	_, _ = h.Write(lengths[:]) // writing to a hash never fails
	_, _ = h.WriteString(scope)
	_, _ = h.WriteString(path)
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// String returns the digest in hex, the form that operators use.
func (d Digest) String() string { return fmt.Sprintf("%016x%016x", d.A, d.B) }

// ParseDigest parses the result of String.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	if len(s) != 32 {
		return d, fmt.Errorf("quarantine: digest %q is not 32 hex digits", s)
	}
	if _, err := fmt.Sscanf(s, "%16x%16x", &d.A, &d.B); err != nil {
		return Digest{}, fmt.Errorf("quarantine: digest %q is not 32 hex digits", s)
	}
	return d, nil
}
