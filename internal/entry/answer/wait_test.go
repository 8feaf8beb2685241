package answer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/crash"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/journal"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// crashingFleet has two engines, of which the first crashes with all its requests.
type crashingFleet struct {
	fakeFleet
	detector *crash.Detector
	down     chan struct{}
}

func (c *crashingFleet) Check(d quarantine.Digest) (bool, error) { return c.detector.Check(d) }
func (c *crashingFleet) MayRunOn(e string, d quarantine.Digest) bool {
	return c.detector.MayRunOn(e, d)
}
func (c *crashingFleet) IsolationError(d quarantine.Digest) error {
	return c.detector.IsolationError(d)
}
func (c *crashingFleet) Reserve(string) bool { return true }
func (c *crashingFleet) Release(string)      {}
func (c *crashingFleet) Engine(name string) upstream.Engine {
	return crashingEngine{fakeEngine{&c.fakeFleet, name}, c}
}

func (c *crashingFleet) Append(context.Context, journal.Entry) (journal.Position, error) {
	return journal.Position{}, errors.New("the log is down")
}

func (c *crashingFleet) Begin(ctx context.Context, e string, d quarantine.Digest, s bool) (*crash.Run, error) {
	return c.detector.Begin(ctx, e, d, s)
}

type crashingEngine struct {
	fakeEngine
	fleet *crashingFleet
}

func (e crashingEngine) Generate(_ context.Context, r upstream.GenerateRequest) (upstream.TokenStream, error) {
	if e.name == "e0" {
		select {
		case <-e.fleet.down:
			return nil, upstream.ErrNotSent
		default:
			return &doomedStream{down: e.fleet.down}, nil
		}
	}
	if e.name == "e1" && r.PriorTokens == 0 {
		return nil, upstream.ErrRefused // so that all requests start on e0
	}
	return &scriptedStream{fault: fault{breakAfter: totalTokens + 1}, next: r.PriorTokens}, nil
}

// doomedStream returns one token and breaks when its engine goes down.
type doomedStream struct {
	down chan struct{}
	sent bool
}

func (d *doomedStream) Next(context.Context) (upstream.Token, error) {
	if !d.sent {
		d.sent = true
		return upstream.Token{Text: word(0)}, nil
	}
	<-d.down
	return upstream.Token{}, upstream.ErrBroken
}

func (*doomedStream) Close() error { return nil }

// An engine crashes with twenty streams, and one other engine is left. All twenty
// are suspects and may run there only one at a time. Guards against refusing the
// nineteen that have to wait, which would cut their answers off.
func TestStreamsOfACrashedEngineRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &crashingFleet{down: make(chan struct{})}
		guard := quarantine.NewGuard(quarantine.DefaultConfig(), c, "w", nil)
		c.detector = crash.New(guard, func(context.Context, crash.Engine) error { return upstream.ErrNotSent })
		runner := newRunner(&c.fakeFleet, 2)
		runner.Engines, runner.InFlight, runner.CrashDetector = c, c, c
		runner.MaxEngineWait, runner.MaxAttempts = time.Minute, 4
		var ids atomic.Int64
		runner.NewID = func() string { return fmt.Sprint(ids.Add(1)) }
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				a := runner.Start(Job{
					Request: openai.Request{Model: "m", MaxTokens: totalTokens, Stream: true},
					Route:   router.Request{Pool: "p", Model: "m", OutputTokens: totalTokens},
					Retry:   rules.RetryUnsent,
					Digest:  quarantine.Digest{A: uint64(i)},
				})
				defer a.Close()
				got := 0
				for {
					_, err := a.Next(t.Context())
					if err == io.EOF {
						break
					}
					var f *outcome.Failure
					require.False(t, errors.As(err, &f), "%v", f)
					got++
				}
				require.Equal(t, totalTokens, got)
			})
		}
		synctest.Wait()
		close(c.down)
		wg.Wait()
		c.detector.Wait()
	})
}

// An engine crashes, and its streams pick another one at the same time, on which only
// one suspect may run. Guards against recording an isolation conflict between the pick
// and the start as the engine's refusal: three such refusals ejected a healthy engine,
// and the streams waited for an engine that got no work.
func TestIsolationConflictIsNoRefusal(t *testing.T) {
	c := &crashingFleet{down: make(chan struct{})}
	close(c.down)
	runner := newRunner(&c.fakeFleet, 2)
	runner.Engines, runner.InFlight, runner.CrashDetector = c, c, occupiedEngines{}
	runner.MaxAttempts = 10
	for range 5 {
		a := runner.Start(Job{
			Request: openai.Request{Model: "m", MaxTokens: totalTokens, Stream: true},
			Route:   router.Request{Pool: "p", Model: "m", OutputTokens: totalTokens, Exclude: []string{"e0"}},
			Retry:   rules.RetryUnsent,
		})
		_, err := a.Next(t.Context())
		require.Error(t, err)
		a.Close()
	}
	e1, ok := runner.Tracker.(*router.Tracker).Snapshot().Upstream("e1", time.Now())
	require.True(t, ok)
	require.False(t, e1.Ejected)
	require.Zero(t, e1.FailureRate)
}

// occupiedEngines is a crash detector by which another suspect runs on every engine.
type occupiedEngines struct{}

func (occupiedEngines) Check(quarantine.Digest) (bool, error)   { return true, nil }
func (occupiedEngines) MayRunOn(string, quarantine.Digest) bool { return true }
func (occupiedEngines) IsolationError(quarantine.Digest) error {
	return errors.New("another suspect runs")
}
func (occupiedEngines) Begin(context.Context, string, quarantine.Digest, bool) (*crash.Run, error) {
	return nil, errors.New("another suspect runs")
}
