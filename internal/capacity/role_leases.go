package capacity

import (
	"fmt"
	"time"

	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/orders"
	"tamarackchute/upstream"
)

// leaseExperiments measure leases and orders: what their records weigh and what
// it costs each reader to fold them.
func leaseExperiments() []Experiment {
	scopes := []int{3, 4, 20, 100}
	engines := []int{8, 11, 500, 2000, 6900}
	return []Experiment{
		{
			ID: "lease.renewal", Unit: Bytes, Per: "renewal", Method: MethodEncoded, Sizes: []int{1, 2, 3},
			Measure: measureRenewals,
		},
		{
			ID: "lease.state", Unit: Bytes, Per: "scope", Method: MethodHeap, Sizes: []int{20, 100, 1000},
			Measure: func(n int) (float64, error) {
				return heapOf(func() any { v, _ := heldScopes(n); return v }), nil
			},
		},
		{
			ID: "lease.fold", Unit: Nanos, Per: "scope", Method: MethodCPU, Sizes: scopes,
			Measure: measureLeaseFold,
		},
		{
			ID: "orders.change", Unit: Bytes, Per: "record", Method: MethodEncoded, Sizes: []int{1, 2, 4},
			Measure: measureOrderRecords,
		},
		{
			ID: "orders.state", Unit: Bytes, Per: "engine", Method: MethodHeap, Sizes: engines,
			Measure: func(n int) (float64, error) {
				return heapOf(func() any { f := newOrderFold(n); return f }), nil
			},
		},
		{
			ID: "orders.fold", Unit: Nanos, Per: "engine", Method: MethodCPU, Sizes: engines,
			Measure: func(n int) (float64, error) {
				f := newOrderFold(n)
				return cpuOf(f.step), nil
			},
		},
	}
}

const (
	term     = 3 * time.Second
	holder   = "entry-data-centre-0-17"
	starting = "7d444840-9dc0-11d1-b245-5ffdce74fad2"
)

func scopeName(i int) string { return fmt.Sprintf("data-centre-%d/fenced", i) }

// claimOf and renewalOf are records of a scope that one process holds on.
func claimOf(scope string) lease.Record {
	return lease.Record{
		Op: lease.OpClaim, Scope: scope, Holder: holder, Incarnation: starting, Term: term, Ground: lease.GroundFirst,
	}
}

func renewalOf(s lease.ScopeState) lease.Record {
	return lease.Record{
		Op: lease.OpRenewal, Scope: s.Scope, Holder: holder, Incarnation: starting, Term: term,
		After: s.Last, Fence: s.Fence, Since: s.Since,
	}
}

// measureRenewals is the journal records of n renewals, each one in an append
// of its own, as those of different leaders are.
func measureRenewals(n int) (float64, error) {
	v, _ := heldScopes(1)
	body := renewalOf(v.Scope(scopeName(0))).Encode()
	return recordBytes(n, journal.KindLease, body)
}

// recordBytes is the size of n records with one such entry each.
func recordBytes(n int, kind journal.Kind, body []byte) (float64, error) {
	total := 0
	for i := range n {
		data, err := journal.EncodeRecord(writer, []journal.Entry{{Kind: kind, ID: entryID(i), Writer: writer, Body: body}})
		if err != nil {
			return 0, err
		}
		total += len(data)
	}
	return float64(total), nil
}

func heldScopes(n int) (*lease.View, *sequence) {
	v, at := lease.NewView(), newSequence()
	for i := range n {
		v.Apply(at.place(journal.KindLease, entryID(i), claimOf(scopeName(i)).Encode()))
	}
	return v, at
}

func measureLeaseFold(n int) (float64, error) {
	v, at := heldScopes(n)
	return cpuOf(func() {
		r := renewalOf(v.Scope(scopeName(0)))
		v.Apply(at.place(journal.KindLease, starting, r.Encode()))
	}), nil
}

// orderFold folds order records of one leader over n engines.
type orderFold struct {
	leases *lease.View
	orders *orders.View
	at     *sequence
	names  []string
	turn   int
}

// newOrderFold returns a fold in which each engine has had one change.
func newOrderFold(n int) *orderFold {
	v, at := heldScopes(1)
	f := &orderFold{leases: v, orders: orders.NewView(v), at: at}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("engine-data-centre-0-%d", i))
	}
	for range n {
		f.step()
	}
	return f
}

// step folds one record of the next engine: a change begins, or is undone.
func (f *orderFold) step() {
	name := f.names[f.turn%len(f.names)]
	f.turn++
	r := orderRecord(f.leases, f.orders.Snapshot().Engine(name))
	f.orders.Apply(f.at.place(journal.KindOrder, entryID(f.turn), r.Encode()))
}

func orderRecord(leases *lease.View, e orders.Engine) orders.Record {
	fence := leases.Scope(scopeName(0)).Fence
	change := orders.Change{
		ID: starting, Engine: e.Name, Kind: upstream.OrderRole, Target: orders.Settings{Role: upstream.RoleDecode},
		Phase: orders.PhaseDraining, Scope: scopeName(0), Fence: fence,
		Reason: "decode lacks 1234 of 5678 tokens/s, prefill has 910 to spare; pays back in 12 s",
	}
	if open := e.Open(); open != nil {
		change = *open
		change.Phase = orders.PhaseUndone
	}
	return orders.Record{
		Engine: e.Name, After: e.Last, Scope: scopeName(0), Fence: fence, Change: &change,
		Believed: orders.Settings{Role: upstream.RolePrefill, Model: model(0), Version: "v1"},
	}
}

func measureOrderRecords(n int) (float64, error) {
	f := newOrderFold(1)
	r := orderRecord(f.leases, f.orders.Snapshot().Engine(f.names[0]))
	return recordBytes(n, journal.KindOrder, r.Encode())
}
