package interleave

import (
	"fmt"

	"tamarackchute/internal/prove"
)

// The broken variants.
const (
	mutantNoFencing         = "engines ignore fencing numbers"
	mutantNoRaise           = "a new holder doesn't raise the numbers first"
	mutantFromReply         = "lease counted from the reply"
	mutantNoComparison      = "claim without comparison"
	mutantUnfencedByTime    = "unfenced scope passed on by time"
	mutantSilentIsGone      = "a silent holder counts as gone"
	mutantReleaseInHand     = "released with an order in hand"
	mutantNoSettle          = "no settle time"
	mutantNoDrift           = "drift not waited for"
	mutantLostIsNotTaken    = "an order without reply counts as not taken"
	mutantNoAcknowledgement = "drained without acknowledgement"
	mutantLookFirst         = "an entry looks before it counts"
)

// Scenario is the proof of lease and orders; it implements prove.Scenario.
type Scenario struct{}

// Name implements prove.Scenario.
func (Scenario) Name() string { return "orders" }

// Mutants implements prove.Scenario.
func (Scenario) Mutants() []string {
	return []string{
		mutantNoFencing, mutantNoRaise, mutantFromReply, mutantNoComparison,
		mutantUnfencedByTime, mutantSilentIsGone, mutantReleaseInHand, mutantNoSettle,
		mutantNoDrift, mutantLostIsNotTaken, mutantNoAcknowledgement, mutantLookFirst,
	}
}

// Run implements prove.Scenario.
func (Scenario) Run(seed uint64, mutant string, r *prove.Report) {
	newWorld(seed, mutant, r).run()
}

// The invariants as seen over all processes.
const (
	invariantLeader = "at most one process has authority over a scope"
	invariantAlike  = "readers at the same place have the same state"
	invariantEnds   = "every change ends once the faults have ended"
	invariantLed    = "every scope is led once the faults have ended"
)

// checkLeaders checks that no other process has authority in the scope at the
// very moment at which one acts.
func (w *world) checkLeaders(p *process, scope string) {
	for _, m := range w.machines {
		other := m.process
		if other == nil || other == p {
			continue
		}
		_, both := other.keepers[scope].authority()
		w.report.Check(invariantLeader, !both, func() string {
			return fmt.Sprintf("%s and %s lead %s at %v", p.on.name, other.on.name, scope, w.now)
		})
	}
}

// checkEnd checks what must be true after a calm time.
func (w *world) checkEnd() {
	for _, scope := range scopes {
		w.report.Check(invariantLed, w.led(scope), func() string {
			return fmt.Sprintf("nobody leads %s: %+v", scope, w.truth.leases.Scope(scope))
		})
	}
	for _, name := range w.order {
		open := w.truth.changes.Engine(name).Open()
		w.report.Check(invariantEnds, open == nil, func() string {
			return fmt.Sprintf("%s: %+v", name, open)
		})
	}
	for _, m := range w.machines {
		w.checkAlike(m)
	}
}

func (w *world) led(scope string) bool {
	for _, m := range w.machines {
		if m.process == nil {
			continue
		}
		if _, ok := m.process.keepers[scope].authority(); ok {
			return true
		}
	}
	return false
}

func (w *world) checkAlike(m *instance) {
	p := m.process
	if p == nil {
		return
	}
	p.catchUp()
	for _, scope := range scopes {
		a, b := p.fold.leases.Scope(scope), w.truth.leases.Scope(scope)
		same := a.FencingToken == b.FencingToken && a.Last == b.Last && a.Holder == b.Holder && a.Held == b.Held
		w.report.Check(invariantAlike, same, func() string { return fmt.Sprintf("%s: %+v and %+v", m.name, a, b) })
	}
	for _, name := range w.order {
		a, b := p.fold.changes.Engine(name), w.truth.changes.Engine(name)
		w.report.Check(invariantAlike, a.LastPosition == b.LastPosition, func() string { return fmt.Sprintf("%s: %s differs", m.name, name) })
	}
}
