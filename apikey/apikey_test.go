package apikey

import (
	"fmt"
	"strings"
	"testing"
	"time"

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

const bound = 5 * time.Second

// Guards against keys that are used although nobody knows whether they still hold.
func TestKeysNeedARecentProof(t *testing.T) {
	f := NewFreshness(bound)
	require.False(t, f.MayUse(0), "there is no proof")
	require.True(t, f.Record(Proof{Version: 3, SentAt: time.Second}, 3))
	require.True(t, f.MayUse(5*time.Second))
	require.False(t, f.MayUse(6*time.Second), "the bound has passed")
	require.False(t, f.Record(Proof{Version: 3, SentAt: time.Second / 2}, 3), "an older proof")
	require.False(t, f.Record(Proof{Version: 4, SentAt: 2 * time.Second}, 3), "the version in force isn't the newest")
	require.True(t, f.Record(Proof{Version: 2, SentAt: 2 * time.Second}, 3), "a newer version in force was published later")
	require.True(t, f.MayUse(6*time.Second))
	require.True(t, NewFreshness(0).MayUse(time.Hour), "there is no bound")
}

// Guards against a restored store, whose older configuration would prove that keys still hold.
func TestProofsOfARestoredStoreAreRejected(t *testing.T) {
	f := NewFreshness(bound)
	require.True(t, f.Record(Proof{Version: 3, SentAt: time.Second}, 3))
	f.RejectBefore(4 * time.Second)
	require.False(t, f.Record(Proof{Version: 3, SentAt: 3 * time.Second}, 3))
	require.True(t, f.MayUse(2*time.Second), "the proof from before the restore holds")
	require.True(t, f.Record(Proof{Version: 3, SentAt: 4 * time.Second}, 3))
}

// The daemon that reads for the others does so often, the others ask it, and each has tried all
// sources before its proof is too old.
func TestSearchUsesEverySourceInTime(t *testing.T) {
	search := Search{Limit: bound, Spread: 1}
	first := Search{Limit: bound}
	var sources [3]time.Duration
	for age := time.Duration(0); age < bound; age += 50 * time.Millisecond {
		step := search.Next(age, age, false)
		for i, seen := range []bool{step.Read, step.Ask, step.AskAny} {
			if seen && sources[i] == 0 {
				sources[i] = age
			}
		}
		if age >= 400*time.Millisecond && age < 450*time.Millisecond {
			require.True(t, first.Next(age, age, true).Read)
		}
	}
	read, ask, any := sources[0], sources[1], sources[2]
	require.Less(t, ask, read)
	require.Less(t, read, any)
	require.Less(t, any, bound/2)
	require.NotZero(t, ask)
}

// Guards against a search that floods a source that doesn't answer.
func TestSearchRepeatsAtIntervals(t *testing.T) {
	search := Search{Limit: bound}
	reads := 0
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		if search.Next(bound+now, bound+now, true).Read {
			reads++
		}
	}
	require.LessOrEqual(t, reads, 4)
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
