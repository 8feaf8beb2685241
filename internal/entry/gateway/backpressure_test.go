package gateway

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"tamarackchute/internal/crash"
	"tamarackchute/internal/entry/answer"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/upstream"
)

// endlessEngine is an engine whose answer never ends; it counts the tokens read and the
// streams closed.
type endlessEngine struct {
	unusedMethods
	produced, closed int
}

// unusedMethods provides the methods of an engine that this test doesn't call.
type unusedMethods interface{ upstream.Engine }

func (e *endlessEngine) Engine(string) upstream.Engine { return e }

func (e *endlessEngine) Generate(context.Context, upstream.GenerateRequest) (upstream.TokenStream, error) {
	return e, nil
}

func (e *endlessEngine) Next(context.Context) (upstream.Token, error) {
	e.produced++
	return upstream.Token{Index: e.produced - 1, Text: "word "}, nil
}

func (e *endlessEngine) Close() error {
	e.closed++
	return nil
}

func (*endlessEngine) Reserve(string) bool                       { return true }
func (*endlessEngine) Release(string)                            {}
func (*endlessEngine) Allow() bool                               { return true }
func (*endlessEngine) RecordRequest(string, int, int)            {}
func (*endlessEngine) RecordResponse(string, int, int, int, int) {}

type cleanQuarantine struct{ crash.Quarantine }

func (cleanQuarantine) Check(quarantine.Digest) (quarantine.Verdict, error) {
	return quarantine.Verdict{}, nil
}

// unreadStream starts a stream of an engine whose answer never ends; nobody reads it yet.
func unreadStream(ctx context.Context, engine *endlessEngine, budget *stream.MemoryBudget) (*Gateway, *sse) {
	ups := []router.Upstream{{Name: "e", Kind: "engine", Pool: "p", DataCentre: "d", Models: []string{"m"}}}
	runner := &answer.Runner{
		Tracker: router.NewTracker(router.DefaultConfig("d"), ups, nil), Engines: engine, InFlight: engine,
		CrashDetector: crash.New(cleanQuarantine{}, nil), RetryBudget: engine, MemoryBudget: budget, MaxBufferedBytes: 1 << 10,
		MaxAttempts: 2, NewID: func() string { return "id" },
	}
	g := New(Options{Heartbeat: time.Second, WriteTimeout: time.Hour}, Dependencies{
		Answers: runner, Demand: engine, Signer: stream.NewSigner([]byte("x")),
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	job := answer.Job{
		Request: openai.Request{Model: "m", MaxTokens: 1 << 20, Stream: true},
		Route:   router.Request{Pool: "p", Model: "m", OutputTokens: 1},
	}
	run := &modelCall{call: &call{ctx: ctx, cancel: func(error) {}, stopTimer: func() {}}, job: job, answer: runner.Start(job)}
	s := g.newSSE(nil, run, stream.RequestDigest{})
	s.deadlineSetAt = time.Now().Add(time.Hour) // there is no connection with a deadline to extend
	g.pumps.Go(s.pump)
	return g, s
}

// Guards against unbounded buffering for callers that stop reading: only a few tokens
// are read ahead, and at the deadline the engine is released although the caller
// still hasn't read.
func TestSlowCallerStopsTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &endlessEngine{}
		budget := stream.NewMemoryBudget(1 << 20)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, s := unreadStream(ctx, engine, budget)

		synctest.Wait()
		require.Equal(t, maxBufferedEvents+1, engine.produced)
		p := make([]byte, 512)
		for range 10 {
			_, err := s.Read(p)
			require.NoError(t, err)
		}
		synctest.Wait()
		ahead := engine.produced
		require.Less(t, ahead, 200, "512 bytes read ten times")

		time.Sleep(2 * time.Minute) // the deadline passes unread
		synctest.Wait()
		require.Equal(t, ahead, engine.produced)
		require.Zero(t, budget.Used(), "the engine's stream is closed and its text discarded")
		rest, err := io.ReadAll(s)
		require.NoError(t, err)
		require.Contains(t, string(rest), `"code":"deadline_exceeded"`)
		require.False(t, strings.Contains(string(rest), "[DONE]"))
		require.NoError(t, s.Close())
	})
}

// Guards against a stream that ends with the stop of its instance while its caller hasn't read all of it, and whose
// rest the engine drops, so that no other instance can take it up again.
func TestAbortKeepsTheStreamOfASlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &endlessEngine{}
		ctx, end := context.WithCancelCause(t.Context())
		g, s := unreadStream(ctx, engine, stream.NewMemoryBudget(1<<20))
		synctest.Wait()
		end(outcome.ErrShuttingDown)
		rest, err := io.ReadAll(s)
		require.NoError(t, err)
		require.Contains(t, string(rest), outcome.CodeShuttingDown)
		require.NoError(t, s.Close())
		g.Wait()
		require.Zero(t, engine.closed, "a closed stream is cancelled at the engine")
	})
}
