package answer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// shutdownFleet is a fleet whose first plan splits prefill and decode, and whose
// decode engine is marked as terminating during the prefill on the other engine.
type shutdownFleet struct {
	fakeFleet
	tracker     *router.Tracker
	picks       int
	generatedOn []string
}

// shutdownTracker is the fleet's tracker; its first plan is the split one.
type shutdownTracker struct{ *shutdownFleet }

func (d shutdownTracker) Begin(p router.Plan, r router.Request) *router.Ticket {
	return d.tracker.Begin(p, r)
}

func (d shutdownTracker) Pick(r router.Request) (router.Plan, error) {
	d.picks++
	if d.picks == 1 {
		return router.Plan{Engine: "e0", Prefill: "e1"}, nil
	}
	return d.tracker.Pick(r)
}

func (d *shutdownFleet) Engine(name string) upstream.Engine {
	return shutdownEngine{fakeEngine{&d.fakeFleet, name}, d}
}

type shutdownEngine struct {
	fakeEngine
	fleet *shutdownFleet
}

func (e shutdownEngine) Prefill(context.Context, upstream.GenerateRequest) (upstream.KVHandle, error) {
	e.fleet.tracker.SetInstances([]infra.Instance{{Name: "e0", Terminating: true}, {Name: "e1"}})
	return upstream.KVHandle{Engine: "e1"}, nil
}

func (e shutdownEngine) Generate(ctx context.Context, r upstream.GenerateRequest) (upstream.TokenStream, error) {
	e.fleet.generatedOn = append(e.fleet.generatedOn, e.name)
	return e.fakeEngine.Generate(ctx, r)
}

// Guards against sending work to an engine that shut down after it was planned. A
// prefill on another engine takes seconds; if the plan isn't checked again
// afterwards, the decode engine gets the request, the platform stops that engine and
// the answer is cut off.
func TestEngineShutsDownDuringPrefillElsewhere(t *testing.T) {
	d := &shutdownFleet{}
	runner := newRunner(&d.fakeFleet, 2)
	d.tracker = runner.Tracker.(*router.Tracker)
	runner.Tracker, runner.Engines = shutdownTracker{d}, d
	a := runner.Start(Job{
		Request: openai.Request{Model: "m", MaxTokens: totalTokens},
		Route:   router.Request{Pool: "p", Model: "m", OutputTokens: totalTokens},
		Retry:   rules.RetryNever,
	})
	defer a.Close()
	for i := range totalTokens {
		token, err := a.Next(t.Context())
		require.NoError(t, err)
		require.Equal(t, i, token.Index)
	}
	_, err := a.Next(t.Context())
	require.Equal(t, io.EOF, err)
	require.Equal(t, []string{"e1"}, d.generatedOn)
	require.Zero(t, d.reserved["e0"]+d.reserved["e1"])
}

// Guards against sending a request whose key was removed during the prefill on another engine.
func TestKeyRemovedDuringPrefillElsewhere(t *testing.T) {
	d := &shutdownFleet{}
	runner := newRunner(&d.fakeFleet, 2)
	d.tracker = runner.Tracker.(*router.Tracker)
	runner.Tracker, runner.Engines = shutdownTracker{d}, prefillOnly{d}
	checks := 0
	a := runner.Start(Job{
		Request: openai.Request{Model: "m", MaxTokens: totalTokens},
		Route:   router.Request{Pool: "p", Model: "m", OutputTokens: totalTokens},
		Retry:   rules.RetryNever,
		Admit: func() error {
			checks++
			if checks > 1 {
				return errors.New("the key was removed")
			}
			return nil
		},
	})
	defer a.Close()
	_, err := a.Next(t.Context())
	var failure *outcome.Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, http.StatusUnauthorized, failure.Status)
	require.Empty(t, d.generatedOn)
	require.Zero(t, d.reserved["e0"]+d.reserved["e1"])
}

// quarantinedLater is a detector that knows a request as quarantined from the second check on.
type quarantinedLater struct {
	CrashDetector
	checks int
}

func (d *quarantinedLater) Check(quarantine.Digest) (bool, error) {
	if d.checks++; d.checks > 1 {
		return false, &quarantine.Error{RetryAfter: time.Minute}
	}
	return false, nil
}

// Guards against sending a request that was quarantined during the prefill on another engine.
func TestQuarantinedDuringPrefillElsewhere(t *testing.T) {
	d := &shutdownFleet{}
	runner := newRunner(&d.fakeFleet, 2)
	d.tracker = runner.Tracker.(*router.Tracker)
	runner.Tracker, runner.Engines = shutdownTracker{d}, prefillOnly{d}
	runner.CrashDetector = &quarantinedLater{CrashDetector: runner.CrashDetector}
	a := runner.Start(Job{
		Request: openai.Request{Model: "m", MaxTokens: totalTokens},
		Route:   router.Request{Pool: "p", Model: "m", OutputTokens: totalTokens},
		Retry:   rules.RetryNever,
	})
	defer a.Close()
	_, err := a.Next(t.Context())
	var failure *outcome.Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, statusQuarantined, failure.Status)
	require.Empty(t, d.generatedOn)
}

// prefillOnly is the fleet with prefills that leave all engines as they are.
type prefillOnly struct{ *shutdownFleet }

func (f prefillOnly) Engine(name string) upstream.Engine {
	return prefillEngine{shutdownEngine{fakeEngine{&f.fakeFleet, name}, f.shutdownFleet}}
}

type prefillEngine struct{ shutdownEngine }

func (prefillEngine) Prefill(context.Context, upstream.GenerateRequest) (upstream.KVHandle, error) {
	return upstream.KVHandle{Engine: "e1"}, nil
}
