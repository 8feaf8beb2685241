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

	"tamarackchute/internal/entry/answer"
	"tamarackchute/internal/entry/crash"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/upstream"
)

// endless is an engine whose answer never ends; it counts the tokens taken.
type endless struct {
	generator
	taken int
}

// generator stands for the parts of an engine that aren't used here.
type generator interface{ upstream.Engine }

func (e *endless) Engine(string) upstream.Engine { return e }

func (e *endless) Generate(context.Context, upstream.GenerateRequest) (upstream.TokenStream, error) {
	return e, nil
}

func (e *endless) Next(context.Context) (upstream.Token, error) {
	e.taken++
	return upstream.Token{Index: e.taken - 1, Text: "word "}, nil
}

func (*endless) Close() error                              { return nil }
func (*endless) Reserve(string) bool                       { return true }
func (*endless) Release(string)                            {}
func (*endless) Allow() bool                               { return true }
func (*endless) RecordRequest(string, int, int)            {}
func (*endless) RecordResponse(string, int, int, int, int) {}

type innocent struct{ crash.Quarantine }

func (innocent) Check(quarantine.Digest) (quarantine.Verdict, error) {
	return quarantine.Verdict{}, nil
}

// A tablet in a tunnel stops reading its answer, and a thousand others do the
// same. What the engine goes on producing must not pile up in the instance: the
// tokens read ahead are few, and when the deadline comes the engine is let go
// though the caller still hasn't read.
func TestCallerThatDoesNotReadHoldsTheEngineBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &endless{}
		budget := stream.NewMemoryBudget(1 << 20)
		ups := []router.Upstream{{Name: "e", Kind: "engine", Pool: "p", DataCentre: "d", Models: []string{"m"}}}
		runner := &answer.Runner{
			Tracker: router.NewTracker(router.DefaultConfig("d"), ups, nil), Engines: engine, InFlight: engine,
			CrashDetector: crash.New(innocent{}, nil), RetryBudget: engine, MemoryBudget: budget, MaxBufferedBytes: 1 << 10,
			MaxAttempts: 2, NewID: func() string { return "id" },
		}
		g := New(Options{Heartbeat: time.Second, WriteTimeout: time.Hour}, Dependencies{
			Answers: runner, Demand: engine, Signer: stream.NewSigner([]byte("x")),
			Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		work := answer.Job{
			Request: openai.Request{Model: "m", MaxTokens: 1 << 20, Stream: true},
			Route:   router.Request{Pool: "p", Model: "m", OutputTokens: 1},
		}
		one := &running{call: &call{ctx: ctx, cancel: func(error) {}, stop: cancel}, work: work, answer: runner.Start(work)}
		s := g.newSSE(nil, one, stream.RequestDigest{})
		s.extended = time.Now().Add(time.Hour) // no connection whose deadline could be moved
		g.pumps.Go(s.pump)

		synctest.Wait()
		require.Equal(t, eventsAhead+1, engine.taken)
		p := make([]byte, 512)
		for range 10 {
			_, err := s.Read(p)
			require.NoError(t, err)
		}
		synctest.Wait()
		ahead := engine.taken
		require.Less(t, ahead, 200, "512 bytes read ten times")

		time.Sleep(2 * time.Minute) // the deadline passes unread
		synctest.Wait()
		require.Equal(t, ahead, engine.taken)
		require.Zero(t, budget.Used(), "the engine's stream is closed and its text given up")
		rest, err := io.ReadAll(s)
		require.NoError(t, err)
		require.Contains(t, string(rest), `"code":"deadline_exceeded"`)
		require.False(t, strings.Contains(string(rest), "[DONE]"))
		require.NoError(t, s.Close())
	})
}
