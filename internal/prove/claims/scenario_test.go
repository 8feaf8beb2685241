package claims

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/internal/prove"
)

// ciOptions selects the interleavings that CI runs.
var ciOptions = prove.Options{Interleavings: 1500, Seed: 1, Workers: 4}

func TestInvariantsHold(t *testing.T) {
	sum := prove.Run(t.Context(), Scenario{}, ciOptions)
	require.Equal(t, ciOptions.Interleavings, sum.Interleavings)
	for name, tally := range sum.Report.Invariants {
		require.Zero(t, tally.Violated, "%s: %s", name, tally.Example)
		require.Positive(t, tally.Checked, name)
	}
	for _, m := range sum.Mutants {
		require.True(t, m.Caught, m.Name)
	}
}

// A failing interleaving can be investigated only if its seed reproduces it.
func TestSeedsAreReproducible(t *testing.T) {
	a, b := prove.NewReport(), prove.NewReport()
	for seed := range uint64(50) {
		Scenario{}.Run(seed, "", a)
		Scenario{}.Run(seed, "", b)
	}
	require.Equal(t, a, b)
}

// Seeds of interleavings that failed are kept below testdata/rapid.
func TestRapidInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := prove.NewReport()
		r.Seed = rapid.Uint64().Draw(t, "seed")
		Scenario{}.Run(r.Seed, "", r)
		for name, tally := range r.Invariants {
			if tally.Violated > 0 {
				t.Fatalf("%s: %s", name, tally.Example)
			}
		}
	})
}
