package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest names a request by its content. Of 128 bits, a million digests hold
// an accidental pair of equals with a chance of about 1.5e-27. The hash isn't
// cryptographic: a caller who means to can make two bodies collide, and so have
// its own other request refused, or one that it knows word for word.
type Digest struct {
	A uint64 `msgpack:"a" json:"a"`
	B uint64 `msgpack:"b" json:"b"`
}

// secondSeed makes the second half of a digest a hash of its own.
const secondSeed = 0x9e3779b97f4a7c15

// DigestOf returns the digest of a request. path is the path that the upstream
// is asked for, body what it is sent.
func DigestOf(model, path string, body []byte) Digest {
	return Digest{sum(xxhash.New(), model, path, body), sum(xxhash.NewWithSeed(secondSeed), model, path, body)}
}

// sum hashes the parts with their lengths, so that the bounds between them count.
func sum(h *xxhash.Digest, model, path string, body []byte) uint64 {
	_, _ = fmt.Fprintf(h, "%d %d ", len(model), len(path))
	_, _ = h.WriteString(model)
	_, _ = h.WriteString(path)
	_, _ = h.Write(body)
	return h.Sum64()
}

// String returns the digest in hex, as operators see and give it.
func (d Digest) String() string { return fmt.Sprintf("%016x%016x", d.A, d.B) }

// ParseDigest reads what String wrote.
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
