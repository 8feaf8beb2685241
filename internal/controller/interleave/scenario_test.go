package interleave

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"tamarackchute/internal/prove"
)

// TestInterleavings runs a fixed part of what `make prove` runs: controllers are killed,
// paused, stopped and replaced at every step, replies and appends get lost or arrive late,
// and engines crash during changes. An engine must never receive an order that violates an
// invariant, and all changes must end.
func TestInterleavings(t *testing.T) {
	r := prove.NewReport()
	for seed := range uint64(200) {
		r.Seed = seed
		Scenario{}.Run(seed, "", r)
	}
	for name, tally := range r.Invariants {
		assert.Zero(t, tally.Violated, "%s: %s", name, tally.Example)
		assert.Positive(t, tally.Checked, name)
	}
}

// Each mutant is run with a seed whose interleaving violates an invariant, which shows that
// the checks detect it. A change to the simulation may need new seeds, found by trying them
// in order.
func TestMutantsAreCaught(t *testing.T) {
	seeds := map[string]uint64{
		mutantNoFencing:           4,
		mutantTokenNotRaised:      297,
		mutantLeaseFromReply:      12,
		mutantUncomparedClaim:     4,
		mutantUnfencedByTime:      148,
		mutantSilentHolderGone:    1,
		mutantReleaseWithOpenStep: 529,
		mutantNoSettle:            800,
		mutantNoDrift:             9,
		mutantLostReplyNotTaken:   166,
		mutantUnacknowledgedDrain: 102,
		mutantCheckBeforeCount:    17,
	}
	for _, mutant := range (Scenario{}).Mutants() {
		r := prove.NewReport()
		r.Seed = seeds[mutant]
		Scenario{}.Run(r.Seed, mutant, r)
		assert.Positive(t, r.Violated(), mutant)
		correct := prove.NewReport()
		Scenario{}.Run(r.Seed, "", correct)
		assert.Zero(t, correct.Violated(), mutant)
	}
}
