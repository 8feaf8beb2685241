package answer

import (
	"context"
	"io"
	"time"

	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/upstream"
)

// Answer is the response to one model request while it is produced. It is for
// use by one goroutine at a time.
type Answer struct {
	runner *Runner
	job    Job
	output *stream.OutputBuffer

	attempt *attempt
	// excluded names the engines that the next attempt must not use.
	excluded   []string
	retryState dispatch.State
	// waitedForEngine is the total time spent waiting for another engine.
	waitedForEngine time.Duration
	// noSplit keeps prefill and decode on one engine after a separate prefill has failed.
	noSplit bool
	// deliverFrom is the index of the first token that the caller doesn't have:
	// above 0 for a resumed answer.
	deliverFrom int

	// origin identifies the attempt that produced the last token.
	origin stream.Origin

	promptTokens, cachedTokens int
	finished                   bool
}

// Next returns the next token, or io.EOF after the last. Any other error is an
// *outcome.Failure and ends the answer.
func (a *Answer) Next(ctx context.Context) (upstream.Token, error) {
	for !a.finished {
		if a.attempt == nil {
			if f := a.open(ctx); f != nil {
				return upstream.Token{}, f
			}
		}
		t, err := a.attempt.next(ctx, a.output.Tokens())
		if err != nil {
			if f := a.handleStreamFailure(ctx, err); f != nil {
				return upstream.Token{}, f
			}
			continue
		}
		a.record(t)
		if t.Index >= a.deliverFrom {
			return t, nil
		}
	}
	return upstream.Token{}, io.EOF
}

// record takes a token with the expected index into the answer's state.
func (a *Answer) record(t upstream.Token) {
	if t.PromptTokens > 0 {
		a.promptTokens, a.cachedTokens = t.PromptTokens, t.CachedTokens
	}
	if a.origin.Attempt != a.attempt.id {
		a.origin = a.attempt.origin(a.job)
	}
	if t.Finish == "" {
		a.output.Add(t.Text)
		return
	}
	a.output.Skip(1)
	a.finished = true
	a.endAttempt(nil, false)
}

// Origin returns what any instance needs to resume the answer from the attempt
// that produced the last token.
func (a *Answer) Origin() stream.Origin { return a.origin }

// Attempt returns the number of the current attempt, counted from 1.
func (a *Answer) Attempt() int { return a.retryState.Attempts() }

// PromptTokens returns the engine's count of the prompt's tokens, or the estimate
// if the engine gave none, and how many of them came from its prefix cache.
func (a *Answer) PromptTokens() (all, cached int) {
	if a.promptTokens == 0 {
		return a.job.Request.PromptTokens, 0
	}
	return a.promptTokens, a.cachedTokens
}

// Tokens returns the number of tokens produced so far.
func (a *Answer) Tokens() int { return a.output.Tokens() }

// Close ends the answer and cancels the engine's work unless it is complete. It
// must not run concurrently with Next.
func (a *Answer) Close() {
	if a.attempt != nil {
		a.endAttempt(context.Canceled, false)
	}
	a.finished = true
	a.output.Discard()
}

// Leave ends the answer as Close does, but its work goes on at the engine. The engine sees the
// connection end and keeps the stream, so that the caller can resume it at another instance.
func (a *Answer) Leave() {
	a.leaveStream()
	a.Close()
}

// leaveStream lets go of the engine's stream without closing it, as that would cancel it there.
func (a *Answer) leaveStream() {
	if a.attempt == nil {
		return
	}
	if s, ok := a.attempt.stream.(upstream.Leaver); ok {
		s.Leave()
	}
	a.attempt.stream = nil
}
