package lease_test

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"tamarackchute/journal"
	"tamarackchute/journal/journaltest"
	"tamarackchute/lease"
)

// allListed is an instance list that has every instance.
type allListed struct{}

func (allListed) Gone(string, time.Time) bool { return false }
func (allListed) Listed(string) bool          { return true }

// A process becomes the leader of a scope, gives an order and releases the
// scope.
func ExampleKeeper() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := slog.New(slog.DiscardHandler)
	view := lease.NewView()
	j := journal.New(journaltest.NewLog(), journal.Config{Writer: "i1/example/1", Logger: log})
	j.Register(journal.KindLease, view)
	cfg := lease.KeeperConfig{Writer: "i1/example/1", AddressBound: true, Config: lease.Config{
		Scope: "cesis-a/fenced", Instance: "i1", Incarnation: "1",
		Term: 200 * time.Millisecond, Renew: 50 * time.Millisecond,
	}}
	keeper := lease.NewKeeper(cfg, j, view, allListed{}, log)
	go func() { _ = j.Serve(ctx) }()
	go func() { _ = keeper.Serve(ctx) }()

	for {
		authority, done, ok := keeper.Use()
		if !ok {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		fmt.Println("order within", authority.Scope, "with token", authority.FencingToken)
		done()
		break
	}
	fmt.Println("released:", keeper.Release(ctx) == nil)
	// Output:
	// order within cesis-a/fenced with token 1
	// released: true
}

// Two processes claim after the same record. The log's order decides, the same
// for every reader.
func ExampleState() {
	var state lease.State
	claim := lease.Record{Op: lease.OpClaim, Scope: "s", Basis: lease.BasisFirst, Term: time.Second}
	for offset, holder := range []string{"i1", "i2"} {
		claim.Holder = holder
		p := journal.LogEntry{Position: journal.Position{}, Entry: journal.Entry{Kind: journal.KindLease, Body: claim.Encode()}}
		p.Position.Offset = 1
		p.Position.Index = uint16(offset)
		_, accepted := state.Apply(p)
		fmt.Println(holder, accepted)
	}
	fmt.Println("leader:", state.Scope("s").Holder, "token:", state.Scope("s").FencingToken)
	// Output:
	// i1 true
	// i2 false
	// leader: i1 token: 1
}

// The machine returns what to append next: a claim, once the holder's term plus
// clock drift has passed since its last record was read.
func ExampleMachine() {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	m := lease.NewMachine(lease.Config{
		Scope: "s", Instance: "i2", Incarnation: "1", Term: 3 * time.Second, Renew: time.Second,
	}, start)
	s := lease.ScopeState{
		Scope: "s", Known: true, Held: true, Holder: "i1", Term: 3 * time.Second, LastReadAt: start,
	}
	for _, after := range []time.Duration{2 * time.Second, 3 * time.Second} {
		step := m.Step(s, lease.Observation{}, start.Add(after))
		fmt.Println(after, "claims:", step.Record != nil)
	}
	// Output:
	// 2s claims: false
	// 3s claims: true
}
