package answer

import (
	"context"
	"io"
	"time"

	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/upstream"
)

// Answer is one running answer. It is for one goroutine, but for Close.
type Answer struct {
	runner *Runner
	work   Job
	prior  *stream.OutputBuffer

	attempt *attempt
	// tried names the engines that the next attempt keeps away from.
	tried []string
	tries dispatch.State
	// waited is how long it has looked for an engine since it lost one.
	waited time.Duration
	// noSplit keeps prefill and decode together after a handoff has failed.
	noSplit bool
	// deliverFrom is the index of the first token that the caller lacks: above
	// 0 for an answer taken up again.
	deliverFrom int

	// origin is that of the last token's attempt.
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
		t, err := a.attempt.next(ctx, a.prior.Tokens())
		if err != nil {
			if f := a.lose(ctx, err); f != nil {
				return upstream.Token{}, f
			}
			continue
		}
		a.accept(t)
		if t.Index >= a.deliverFrom {
			return t, nil
		}
	}
	return upstream.Token{}, io.EOF
}

// accept books a token that came in its place.
func (a *Answer) accept(t upstream.Token) {
	if t.PromptTokens > 0 {
		a.promptTokens, a.cachedTokens = t.PromptTokens, t.CachedTokens
	}
	if a.origin.Attempt != a.attempt.id {
		a.origin = a.attempt.origin(a.work)
	}
	if t.Finish == "" {
		a.prior.Add(t.Text)
		return
	}
	a.prior.Skip(1)
	a.finished = true
	a.endAttempt(nil, false)
}

// Origin returns what an instance needs to take the answer up from the attempt
// that gave the last token.
func (a *Answer) Origin() stream.Origin { return a.origin }

// Attempt returns the number of the attempt that runs, counted from 1.
func (a *Answer) Attempt() int { return a.tries.Attempts() }

// PromptTokens returns the engine's count of the prompt, or the estimate if the
// engine gave none, and how many of them came from its cache.
func (a *Answer) PromptTokens() (all, cached int) {
	if a.promptTokens == 0 {
		return a.work.Request.PromptTokens, 0
	}
	return a.promptTokens, a.cachedTokens
}

// Tokens returns the number of tokens of the answer so far.
func (a *Answer) Tokens() int { return a.prior.Tokens() }

// Close ends the answer; the engine's work is cancelled unless it is done. It
// must not run at the same time as Next.
func (a *Answer) Close() {
	if a.attempt != nil {
		a.endAttempt(context.Canceled, false)
	}
	a.finished = true
	a.prior.Discard()
}
