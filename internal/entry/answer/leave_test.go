package answer

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// departure is a fleet whose first decision is a split, and whose engine for
// the answer is marked as leaving while the prompt is worked through elsewhere.
type departure struct {
	world
	tracker *router.Tracker
	picks   int
	began   []string
}

// departureBooks is the fleet's books.
type departureBooks struct{ *departure }

func (d departureBooks) Begin(p router.Plan, r router.Request) *router.Ticket {
	return d.tracker.Begin(p, r)
}

func (d departureBooks) Pick(r router.Request) (router.Plan, error) {
	d.picks++
	if d.picks == 1 {
		return router.Plan{Engine: "e0", Prefill: "e1"}, nil
	}
	return d.tracker.Pick(r)
}

func (d *departure) Engine(name string) upstream.Engine {
	return departureEngine{engine{&d.world, name}, d}
}

type departureEngine struct {
	engine
	fleet *departure
}

func (e departureEngine) Prefill(context.Context, upstream.GenerateRequest) (upstream.KVHandle, error) {
	e.fleet.tracker.SetInstances([]infra.Instance{{Name: "e0", Terminating: true}, {Name: "e1"}})
	return upstream.KVHandle{Engine: "e1"}, nil
}

func (e departureEngine) Generate(ctx context.Context, r upstream.GenerateRequest) (upstream.TokenStream, error) {
	e.fleet.began = append(e.fleet.began, e.name)
	return e.engine.Generate(ctx, r)
}

// An operator takes an engine away. A request that had been planned for it
// waits for its prompt at another engine for some seconds, and then begins at
// the one that should have had no new work for a while. The platform stops that
// engine, and the answer breaks off. The cause: the plan was not looked at again
// after the wait. Seen as work_after_leaving in make try.
func TestEngineLeavesDuringPrefillElsewhere(t *testing.T) {
	d := &departure{}
	runner := newRunner(&d.world, 2)
	d.tracker = runner.Tracker.(*router.Tracker)
	runner.Tracker, runner.Engines = departureBooks{d}, d
	a := runner.Start(Job{
		Request: openai.Request{Model: "m", MaxTokens: total},
		Route:   router.Request{Pool: "p", Model: "m", OutputTokens: total},
		Retry:   rules.RetryNever,
	})
	defer a.Close()
	for i := range total {
		token, err := a.Next(t.Context())
		require.NoError(t, err)
		require.Equal(t, i, token.Index)
	}
	_, err := a.Next(t.Context())
	require.Equal(t, io.EOF, err)
	require.Equal(t, []string{"e1"}, d.began)
	require.Zero(t, d.held["e0"]+d.held["e1"])
}
