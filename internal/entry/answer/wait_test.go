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

	"tamarackchute/internal/entry/crash"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/journal"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// crowd is two engines, of which the first crashes with all that it runs.
type crowd struct {
	world
	crashes *crash.Detector
	down    chan struct{}
}

func (c *crowd) Check(d quarantine.Digest) (bool, error)     { return c.crashes.Check(d) }
func (c *crowd) MayRunOn(e string, d quarantine.Digest) bool { return c.crashes.MayRunOn(e, d) }
func (c *crowd) IsolationError(d quarantine.Digest) error    { return c.crashes.IsolationError(d) }
func (c *crowd) Reserve(string) bool                         { return true }
func (c *crowd) Release(string)                              {}
func (c *crowd) Engine(name string) upstream.Engine          { return crowdEngine{engine{&c.world, name}, c} }
func (c *crowd) Append(context.Context, journal.Entry) (journal.Position, error) {
	return journal.Position{}, errors.New("the log is down")
}

func (c *crowd) Begin(ctx context.Context, e string, d quarantine.Digest, s bool) (*crash.Run, error) {
	return c.crashes.Begin(ctx, e, d, s)
}

type crowdEngine struct {
	engine
	crowd *crowd
}

func (e crowdEngine) Generate(_ context.Context, r upstream.GenerateRequest) (upstream.TokenStream, error) {
	if e.name == "e0" {
		select {
		case <-e.crowd.down:
			return nil, upstream.ErrNotSent
		default:
			return &doomed{down: e.crowd.down}, nil
		}
	}
	if e.name == "e1" && r.PriorTokens == 0 {
		return nil, upstream.ErrRefused // so that all begin at the other
	}
	return &script{fault: fault{dieAfter: total + 1}, next: r.PriorTokens}, nil
}

// doomed gives one token, and breaks when its engine goes down.
type doomed struct {
	down chan struct{}
	sent bool
}

func (d *doomed) Next(context.Context) (upstream.Token, error) {
	if !d.sent {
		d.sent = true
		return upstream.Token{Text: word(0)}, nil
	}
	<-d.down
	return upstream.Token{}, upstream.ErrBroken
}

func (*doomed) Close() error { return nil }

// An engine dies with twenty streams, and one other is left. All twenty are
// suspects and may use it only one after the other; the nineteen that don't get
// it at first were refused in an earlier form of this code, in the middle of
// their answers. Each must wait its turn and come to its end.
func TestStreamsOfADeadEngineTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &crowd{down: make(chan struct{})}
		guard := quarantine.NewGuard(quarantine.DefaultConfig(), c, "w", nil)
		c.crashes = crash.New(guard, func(context.Context, string) error { return upstream.ErrNotSent })
		runner := newRunner(&c.world, 2)
		runner.Engines, runner.InFlight, runner.CrashDetector = c, c, c
		runner.MaxEngineWait, runner.MaxAttempts = time.Minute, 4
		var ids atomic.Int64
		runner.NewID = func() string { return fmt.Sprint(ids.Add(1)) }
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				a := runner.Start(Job{
					Request: openai.Request{Model: "m", MaxTokens: total, Stream: true},
					Route:   router.Request{Pool: "p", Model: "m", OutputTokens: total},
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
				require.Equal(t, total, got)
			})
		}
		synctest.Wait()
		close(c.down)
		wg.Wait()
		c.crashes.Wait()
	})
}

// An engine dies, and its streams look for another at once. Only one of them may run
// there at a time; each of the others that asked between the look and the start was
// booked as a refusal of the engine's. Three of them had it ejected, though it had
// refused nothing, and the streams waited for an engine that nobody sent work to.
func TestWaitingForATurnIsNoRefusal(t *testing.T) {
	c := &crowd{down: make(chan struct{})}
	close(c.down)
	runner := newRunner(&c.world, 2)
	runner.Engines, runner.InFlight, runner.CrashDetector = c, c, taken{}
	runner.MaxAttempts = 10
	for range 5 {
		a := runner.Start(Job{
			Request: openai.Request{Model: "m", MaxTokens: total, Stream: true},
			Route:   router.Request{Pool: "p", Model: "m", OutputTokens: total, Exclude: []string{"e0"}},
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

// taken is the answer of a quarantine under which another suspect runs everywhere.
type taken struct{}

func (taken) Check(quarantine.Digest) (bool, error)   { return true, nil }
func (taken) MayRunOn(string, quarantine.Digest) bool { return true }
func (taken) IsolationError(quarantine.Digest) error  { return errors.New("another suspect runs") }
func (taken) Begin(context.Context, string, quarantine.Digest, bool) (*crash.Run, error) {
	return nil, errors.New("another suspect runs")
}
