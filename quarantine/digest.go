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

// Request is the content by which requests are recognised as equal.
type Request struct {
	// Scope and Method separate requests that aren't equal although their paths and bodies are.
	// Scope is the model or the organisation.
	Scope, Method string
	// Pool is that of the upstreams that may run it, Host the name by which the caller addressed it:
	// another host or pool may run an equal path and body differently.
	Pool, Host string
	// Path and Body are those sent to the upstream.
	Path string
	Body []byte
	// Parts are the IDs of the parts of its prompt that other requests may have, Model is the model
	// that it is for. They are known by pool.
	Parts []uint64
	Model string
}

// Digest returns the request's digest.
func (r *Request) Digest() Digest {
	return Digest{r.Head(), r.sum(wholeSeed, r.Body)}
}

// Head returns the first half of the request's digest, in a time that doesn't grow with the body.
func (r *Request) Head() uint64 {
	if len(r.Body) <= 2*maxEndBytes {
		return r.sum(0, r.Body)
	}
	return r.sum(uint64(len(r.Body)), r.Body[:maxEndBytes], r.Body[len(r.Body)-maxEndBytes:])
}

// sum hashes the names with their lengths, so that moving a byte from one to the next changes the
// hash, and parts of the body.
func (r *Request) sum(seed uint64, body ...[]byte) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(seed)
	var length [8]byte
	for _, name := range [...]string{r.Scope, r.Method, r.Pool, r.Host, r.Path} {
		binary.BigEndian.PutUint64(length[:], uint64(len(name)))
		_, _ = h.Write(length[:]) // writing to a hash never fails
		_, _ = h.WriteString(name)
	}
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// Digest returns the digest itself, so that a known digest can stand for its request.
func (d Digest) Digest() Digest { return d }

// Digester is a request whose digests may have to be computed: its own, which is among all of them.
type Digester interface {
	Digest() Digest
	Digests() []Digest
}

// DigestOf returns the digest of a request for a model whose pool and host aren't known.
func DigestOf(model, path string, body []byte) Digest {
	r := Request{Scope: model, Path: path, Body: body}
	return r.Digest()
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
