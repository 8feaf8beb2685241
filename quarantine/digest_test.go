package quarantine

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against different requests that are taken for one, which would be refused together.
func TestDigestsDifferInEachPart(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 4*maxEndBytes)
	middle := bytes.Clone(long)
	middle[len(middle)/2] = 'y'
	seen := map[Digest]int{}
	for i, r := range []Request{
		{Scope: "ab", Path: "c"}, {Scope: "a", Path: "bc"}, {Scope: "a", Method: "b", Path: "c"}, {Scope: "a", Path: "b", Body: []byte("c")}, {},
		{Body: long}, {Body: middle}, {Body: long[1:]},
		{Path: "c", Pool: "a"}, {Path: "c", Pool: "b"}, {Path: "c", Host: "a"}, {Path: "c", Pool: "a", Host: "b"}, {Path: "c", Pool: "ab"},
	} {
		d := r.Digest()
		other, known := seen[d]
		require.False(t, known, "requests %d and %d", i, other)
		seen[d] = i
	}
	require.Equal(t, DigestOf("a", "b", long), DigestOf("a", "b", bytes.Clone(long)))
}

// Computes the digests of a request of the common size and of the largest.
func BenchmarkDigest(b *testing.B) {
	for name, size := range map[string]int{"8KB": 8 << 10, "4MB": 4 << 20} {
		r := Request{Scope: "organisation", Method: "POST", Path: "/path/of/a/request", Body: make([]byte, size)}
		b.Run("head-"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Head()
			}
		})
		b.Run("whole-"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Digest()
			}
		})
	}
}
