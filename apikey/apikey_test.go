package apikey

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func digest(t testing.TB, key string) Digest {
	t.Helper()
	d, err := DigestOf(key)
	require.NoError(t, err)
	return d
}

func TestFromHeader(t *testing.T) {
	want := digest(t, "k1")
	for _, values := range [][]string{{"Bearer k1"}, {"bearer k1"}, {"BEARER  k1 "}} {
		got, err := FromHeader(values)
		require.NoError(t, err, values)
		require.Equal(t, want, got)
	}
	_, err := FromHeader(nil)
	require.ErrorIs(t, err, ErrMissing)
	for _, values := range [][]string{
		{""}, {"k1"}, {"Bearer"}, {"Bearer "}, {"Basic k1"}, {"Bearer k1", "Bearer k1"}, {"Bearer k 1"}, {"Bearer k\x011"},
		{"Bearer " + strings.Repeat("k", maxKeyBytes+1)},
	} {
		_, err := FromHeader(values)
		require.ErrorIs(t, err, ErrMalformed, "%q", values)
		require.NotContains(t, err.Error(), "k1", "errors must not contain a key")
	}
}

// Guards against keys that show up in errors or lists.
func TestKeysDontAppearInErrors(t *testing.T) {
	key := digest(t, "secret-key")
	_, err := NewSet([]Organisation{{Name: "a", Keys: []Digest{key}}, {Name: "b", Keys: []Digest{key}}, {Name: "a"}, {Name: ""}, {Name: "c\n"}})
	require.ErrorContains(t, err, `belongs to "a" and "b"`)
	require.ErrorContains(t, err, `"a" is listed twice`)
	require.ErrorContains(t, err, "has no name")
	require.ErrorContains(t, err, "printable")
	require.NotContains(t, err.Error(), "secret-key")
	require.Len(t, key.Fingerprint(), 8)
}

func TestLookup(t *testing.T) {
	priority := 3
	s, err := NewSet([]Organisation{
		{Name: "a", Priority: &priority, Keys: []Digest{digest(t, "a1"), digest(t, "a2")}}, {Name: "without keys"},
	})
	require.NoError(t, err)
	for _, key := range []string{"a1", "a2"} {
		o, ok := s.Lookup(digest(t, key))
		require.True(t, ok)
		require.Equal(t, "a", o.Name)
		require.Equal(t, 3, *o.Priority)
	}
	_, ok := s.Lookup(digest(t, "a3"))
	require.False(t, ok)
}

func BenchmarkLookup(b *testing.B) {
	const keys = 100_000
	organisations := make([]Organisation, keys/2)
	for i := range organisations {
		organisations[i] = Organisation{Name: fmt.Sprint("o", i), Keys: []Digest{digest(b, fmt.Sprint("first-key-", i)), digest(b, fmt.Sprint("second-key-", i))}}
	}
	s, err := NewSet(organisations)
	require.NoError(b, err)
	header := []string{"Bearer second-key-4711"}
	b.ReportAllocs()
	for b.Loop() {
		d, err := FromHeader(header)
		if err != nil {
			b.Fatal(err)
		}
		if _, ok := s.Lookup(d); !ok {
			b.Fatal("the key isn't found")
		}
	}
}
