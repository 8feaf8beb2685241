package interleave

import (
	"fmt"

	"tamarackchute/internal/prove"
)

// The mutants.
const (
	mutantNoFencing           = "engines ignore fencing numbers"
	mutantTokenNotRaised      = "a new holder doesn't raise the numbers first"
	mutantLeaseFromReply      = "lease counted from the reply"
	mutantUncomparedClaim     = "claim without comparison"
	mutantUnfencedByTime      = "unfenced scope passed on by time"
	mutantSilentHolderGone    = "a silent holder counts as gone"
	mutantReleaseWithOpenStep = "released with an order in hand"
	mutantNoSettle            = "no settle time"
	mutantNoDrift             = "drift not waited for"
	mutantLostReplyNotTaken   = "an order without reply counts as not taken"
	mutantUnacknowledgedDrain = "drained without acknowledgement"
	mutantCheckBeforeCount    = "an entry looks before it counts"
)

// Scenario checks leases and orders; it implements prove.Scenario.
type Scenario struct{}

// Name implements prove.Scenario.
func (Scenario) Name() string { return "orders" }

// Mutants implements prove.Scenario.
func (Scenario) Mutants() []string {
	return []string{
		mutantNoFencing, mutantTokenNotRaised, mutantLeaseFromReply, mutantUncomparedClaim,
		mutantUnfencedByTime, mutantSilentHolderGone, mutantReleaseWithOpenStep, mutantNoSettle,
		mutantNoDrift, mutantLostReplyNotTaken, mutantUnacknowledgedDrain, mutantCheckBeforeCount,
	}
}

// Run implements prove.Scenario.
func (Scenario) Run(seed uint64, mutant string, r *prove.Report) {
	newWorld(seed, mutant, r).run()
}

// Invariants over all processes.
const (
	invariantSingleLeader = "at most one process has authority over a scope"
	invariantStatesAgree  = "readers at the same position have the same state"
	invariantChangesEnd   = "every change ends once the faults have ended"
	invariantHasLeader    = "every scope has a leader once the faults have ended"
)

// checkSingleLeader checks that no other process has authority over the scope at the moment
// at which p acts.
func (w *world) checkSingleLeader(p *process, scope string) {
	for _, m := range w.instances {
		other := m.process
		if other == nil || other == p {
			continue
		}
		_, both := other.keepers[scope].authority()
		w.report.Check(invariantSingleLeader, !both, func() string {
			return fmt.Sprintf("%s and %s lead %s at %v", p.instance.name, other.instance.name, scope, w.now)
		})
	}
}

// checkFinalState checks the invariants that hold after the recovery phase.
func (w *world) checkFinalState() {
	for _, scope := range scopes {
		w.report.Check(invariantHasLeader, w.hasLeader(scope), func() string {
			return fmt.Sprintf("%s has no leader: %+v", scope, w.reference.leases.Scope(scope))
		})
	}
	for _, name := range w.engineNames {
		open := w.reference.changes.Engine(name).Open()
		w.report.Check(invariantChangesEnd, open == nil, func() string {
			return fmt.Sprintf("%s: %+v", name, open)
		})
	}
	for _, m := range w.instances {
		w.checkStatesAgree(m)
	}
}

func (w *world) hasLeader(scope string) bool {
	for _, m := range w.instances {
		if m.process == nil {
			continue
		}
		if _, ok := m.process.keepers[scope].authority(); ok {
			return true
		}
	}
	return false
}

func (w *world) checkStatesAgree(m *instance) {
	p := m.process
	if p == nil {
		return
	}
	p.catchUp()
	for _, scope := range scopes {
		a, b := p.state.leases.Scope(scope), w.reference.leases.Scope(scope)
		same := a.FencingToken == b.FencingToken && a.Last == b.Last && a.Holder == b.Holder && a.Held == b.Held
		w.report.Check(invariantStatesAgree, same, func() string { return fmt.Sprintf("%s: %+v and %+v", m.name, a, b) })
	}
	for _, name := range w.engineNames {
		a, b := p.state.changes.Engine(name), w.reference.changes.Engine(name)
		w.report.Check(invariantStatesAgree, a.LastPosition == b.LastPosition, func() string { return fmt.Sprintf("%s: %s differs", m.name, name) })
	}
}
