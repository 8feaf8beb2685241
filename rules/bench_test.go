package rules

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// benchSet returns n rules of which only the last holds for benchRequest. Plain
// conditions compare fields; the others call functions.
func benchSet(b *testing.B, n int, plain bool) *Set {
	list := make([]string, 0, n)
	for i := range n - 1 {
		when := fmt.Sprintf(`path startsWith "/v1/x%d" && header("x-kind") != "k"`, i)
		if plain {
			when = fmt.Sprintf(`model == "soil" && prompt_tokens > %d && organisation == "org-%d"`, 100+i, i)
		}
		list = append(list, rule(fmt.Sprintf("r%d", i), when, toAgronomy))
	}
	list = append(list, rule("last", `path == "/v1/completions"`, toAgronomy))
	s, err := Parse(document(list...), testKnown)
	require.NoError(b, err)
	return s
}

var benchRequest = Request{
	Model: "soil", Path: "/v1/completions", Method: "POST", Organisation: "kalku",
	PromptTokens: 700, OutputTokens: 200, DataCentre: "cesis-a", Load: 0.7, Stream: true,
}

func BenchmarkMatch(b *testing.B) {
	for _, kind := range []string{"plain", "functions"} {
		for _, n := range []int{1, 30, 300} {
			b.Run(fmt.Sprintf("%s/rules=%d", kind, n), func(b *testing.B) {
				s := benchSet(b, n, kind == "plain")
				b.ReportAllocs()
				for b.Loop() {
					if !s.Match(benchRequest).Matched {
						b.Fatal("no match")
					}
				}
			})
		}
	}
}
