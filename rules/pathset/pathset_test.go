package pathset

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func rule(name, host, prefix string) Rule {
	return Rule{Name: name, Host: host, Prefix: prefix, Targets: []Target{{Pool: "p", Weight: 1}}}
}

func TestLongestPrefixDecides(t *testing.T) {
	s := New([]Rule{
		rule("root", "a", "/"), rule("x", "a", "/x/"), rule("xy", "a", "/x/y/"), rule("other", "b", "/x/"),
		rule("second", "a", "/x/"),
	})
	for path, want := range map[string]string{
		"/":       "root",
		"/x":      "root", // the prefix ends with a slash
		"/x/":     "x",
		"/x/1":    "x",
		"/x/y":    "x",
		"/x/y/":   "xy",
		"/x/y/z/": "xy",
		"/xx/":    "root",
	} {
		got, ok := s.Match("a", path)
		require.True(t, ok, path)
		require.Equal(t, want, got.Name, path)
	}
	_, ok := s.Match("b", "/y/")
	require.False(t, ok)
	_, ok = s.Match("c", "/x/")
	require.False(t, ok)
	_, ok = s.Match("a", "")
	require.False(t, ok)
}

func TestPoolsByWeight(t *testing.T) {
	r := Rule{Targets: []Target{{"a", 90}, {"b", 10}, {"never", 0}}}
	count := map[string]int{}
	for range 10_000 {
		count[r.Pool()]++
	}
	require.Zero(t, count["never"])
	require.InDelta(t, 1000, count["b"], 250)
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{30, 3000} {
		rules := make([]Rule, n)
		for i := range rules {
			rules[i] = rule(fmt.Sprint(i), "a", fmt.Sprintf("/r%d/", i))
		}
		s := New(rules)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				s.Match("a", "/r17/x")
			}
		})
	}
}
