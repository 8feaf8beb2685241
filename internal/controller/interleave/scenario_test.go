package interleave

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"tamarackchute/internal/prove"
)

// TestInterleavings plays a fixed part of what `make prove` plays: controllers
// are killed, paused, stopped and replaced at every step, replies and appends
// get lost or come late, engines crash in the middle of changes. An engine
// must never see an order that it shouldn't, and all changes must end.
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

// TestBrokenVariantsAreCaught plays, for each broken variant, an interleaving
// in which it shows, so that the checks are known to bite. The seeds were
// found by trying them in order; a change to the play may need new ones.
func TestBrokenVariantsAreCaught(t *testing.T) {
	seeds := map[string]uint64{
		mutantNoFencing:         4,
		mutantNoRaise:           297,
		mutantFromReply:         12,
		mutantNoComparison:      4,
		mutantUnfencedByTime:    148,
		mutantSilentIsGone:      1,
		mutantReleaseInHand:     529,
		mutantNoSettle:          800,
		mutantNoDrift:           9,
		mutantLostIsNotTaken:    166,
		mutantNoAcknowledgement: 102,
		mutantLookFirst:         17,
	}
	for _, mutant := range (Scenario{}).Mutants() {
		r := prove.NewReport()
		r.Seed = seeds[mutant]
		Scenario{}.Run(r.Seed, mutant, r)
		assert.Positive(t, r.Violated(), mutant)
		real := prove.NewReport()
		Scenario{}.Run(r.Seed, "", real)
		assert.Zero(t, real.Violated(), mutant)
	}
}
