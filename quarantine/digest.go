package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies a request by its content. With 128 bits, the probability of
// a collision among a million digests is about 1.5e-27. The hash isn't
// cryptographic: a malicious caller can construct colliding bodies, and so get
// one of its own requests refused, or one whose exact content it knows.
type Digest struct {
	A uint64 `msgpack:"a" json:"a"`
	B uint64 `msgpack:"b" json:"b"`
}

// secondSeed makes the second half of a digest independent of the first.
const secondSeed = 0x9e3779b97f4a7c15

// DigestOf returns the digest of a request. path and body are those sent to the
// upstream.
func DigestOf(model, path string, body []byte) Digest {
	return Digest{sum(xxhash.New(), model, path, body), sum(xxhash.NewWithSeed(secondSeed), model, path, body)}
}

// sum hashes the parts with their lengths, so that moving a byte from one part to
// the next changes the hash.
func sum(h *xxhash.Digest, model, path string, body []byte) uint64 {
	_, _ = fmt.Fprintf(h, "%d %d ", len(model), len(path))
	_, _ = h.WriteString(model)
	_, _ = h.WriteString(path)
	_, _ = h.Write(body)
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
