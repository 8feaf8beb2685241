package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// partMark is the second half of the digests of parts, which tells them from those of requests.
const partMark = 0x7061727473000001

// PartDigest returns the digest of a part of prompts for a model of a pool. Requests that are otherwise
// different, of several hosts too, may share it.
func PartDigest(pool, model string, id uint64) Digest {
	var h xxhash.Digest
	h.ResetWithSeed(partMark)
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], id)
	_, _ = h.Write(encoded[:]) // writing to a hash never fails
	binary.BigEndian.PutUint64(encoded[:], uint64(len(pool)))
	_, _ = h.Write(encoded[:])
	_, _ = h.WriteString(pool)
	_, _ = h.WriteString(model)
	return Digest{A: h.Sum64(), B: partMark}
}

// IsPart reports whether the digest is that of a part of prompts.
func (d Digest) IsPart() bool { return d.B == partMark }

// Digests returns the digests by which the request may be known: its own, and those of its parts.
func (r *Request) Digests() []Digest {
	all := make([]Digest, 0, 1+len(r.Parts))
	all = append(all, r.Digest())
	for _, id := range r.Parts {
		all = append(all, PartDigest(r.Pool, r.Model, id))
	}
	return all
}

// Digests returns the digest itself.
func (d Digest) Digests() []Digest { return []Digest{d} }
