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
	for i, d := range []Digest{
		DigestOf("ab", "c", nil), DigestOf("a", "bc", nil), DigestOf("a", "b", []byte("c")), DigestOf("", "", nil),
		DigestOf("", "", long), DigestOf("", "", middle), DigestOf("", "", long[1:]),
	} {
		other, known := seen[d]
		require.False(t, known, "requests %d and %d", i, other)
		seen[d] = i
	}
	require.Equal(t, DigestOf("a", "b", long), DigestOf("a", "b", bytes.Clone(long)))
}

func TestParseDigestReversesString(t *testing.T) {
	d := DigestOf("scope", "/path", []byte("body"))
	parsed, err := ParseDigest(d.String())
	require.NoError(t, err)
	require.Equal(t, d, parsed)
}

// Computes the digests of a request of the common size and of the largest.
func BenchmarkDigest(b *testing.B) {
	for name, size := range map[string]int{"8KB": 8 << 10, "4MB": 4 << 20} {
		body := make([]byte, size)
		b.Run("head-"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Head("POST organisation", "/path/of/a/request", body)
			}
		})
		b.Run("whole-"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				DigestOf("POST organisation", "/path/of/a/request", body)
			}
		})
	}
}
