package orders_test

import (
	"fmt"

	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/orders"
	"tamarackchute/upstream"
)

// An entry instance observes which engines take work; one that is being drained
// doesn't.
func ExampleView() {
	leases := lease.NewView()
	view := orders.NewView(leases)
	claim := lease.Record{Op: lease.OpClaim, Scope: "a/fenced", Holder: "i1", Basis: lease.BasisFirst}
	leases.Apply(journal.LogEntry{
		Position: journal.Position{Offset: 1},
		Entry:    journal.Entry{Kind: journal.KindLease, Body: claim.Encode()},
	})
	plan := orders.Record{Engine: "e1", Scope: "a/fenced", FencingToken: 1, Change: &orders.Change{
		ID: "c1", Engine: "e1", Scope: "a/fenced", FencingToken: 1, Phase: orders.PhaseDraining,
		Kind: upstream.OrderRole, Target: orders.Settings{Role: upstream.RoleDecode},
	}}
	fmt.Println(view.Snapshot().Engine("e1").TakesWork())
	view.Apply(journal.LogEntry{
		Position: journal.Position{Offset: 2},
		Entry:    journal.Entry{Kind: journal.KindOrder, Body: plan.Encode()},
	})
	fmt.Println(view.Snapshot().Engine("e1").TakesWork(), view.Snapshot().Engine("e1").Change.Phase)
	// Output:
	// true
	// false draining
}
