package claim_test

import (
	"context"
	"fmt"

	"tamarackchute/claim"
	"tamarackchute/journal"
	"tamarackchute/journal/journaltest"
)

// A Guard over a journal runs a call once and returns the recorded response to
// a second request with the same key.
func ExampleGuard_Do() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	j := journal.New(journaltest.NewLog(), journal.Config{Writer: "cesis-1"})
	guard, err := claim.NewGuard(j, claim.Config{Writer: "cesis-1"})
	if err != nil {
		panic(err)
	}
	j.Register(journal.KindClaim, guard)
	go func() { _ = j.Serve(ctx) }()
	go func() { _ = guard.Serve(ctx) }()
	<-j.CaughtUp()

	book := func(context.Context) (claim.Response, claim.DispatchResult) {
		fmt.Println("the booking is made")
		return claim.Response{Status: 201, Body: []byte("spreader 4, 6:30")}, claim.DispatchCompleted
	}
	const digest = 0x5eed // of the request's method, path and body
	for range 2 {
		switch r := guard.Do(ctx, "5f3c", digest, book).(type) {
		case claim.Done:
			fmt.Printf("%d %s, replayed %v\n", r.Response.Status, r.Response.Body, r.Replayed)
		case claim.NotRun:
			fmt.Println("not run:", r.Reason, "retry after", r.RetryAfter)
		case claim.MayHaveRun:
			fmt.Println("may have run:", r.Reason)
		case claim.KeyReused, claim.KeyTooOld:
			fmt.Println("a new key is needed")
		}
	}
	// Output:
	// the booking is made
	// 201 spreader 4, 6:30, replayed false
	// 201 spreader 4, 6:30, replayed true
}
