package answer

import (
	"context"
	"errors"
	"fmt"
	"io"

	"tamarackchute/internal/entry/crash"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/router"
	"tamarackchute/upstream"
)

// attempt is one run at one engine.
type attempt struct {
	id     string
	engine string
	// holds names the engines at which the request is counted as in flight. A
	// prefill engine stays among them until the end: the KV cache that it
	// exports must not be lost to a change.
	holds []string
	// first is the index of its first token.
	first  int
	stream upstream.TokenStream
	ticket *router.Ticket
	run    *crash.Run
	began  bool
	// produced counts the tokens that came in their place.
	produced int
}

// acquitAfter is how many tokens a suspected request must give on an engine of
// its own before it counts as innocent: what crashed the former engine was
// further on than that, or something else.
const acquitAfter = 4

func (t *attempt) origin(w Job) stream.Origin {
	return stream.Origin{
		Answer:   w.Answer,
		Created:  w.Created.Unix(),
		Upstream: t.engine,
		Attempt:  t.id,
		First:    t.first,
	}
}

// gapError says that an engine left tokens out.
type gapError struct{ want, got int }

func (e *gapError) Error() string {
	return fmt.Sprintf("token %d came where %d was due", e.got, e.want)
}

// Unwrap makes a gap count as broken off: the tokens missing won't come.
func (e *gapError) Unwrap() error { return upstream.ErrBroken }

// next returns the token with the index that is due. Tokens before it, which an
// engine may send again after a resume, are dropped; one after it means that
// some are missing.
func (t *attempt) next(ctx context.Context, due int) (upstream.Token, error) {
	for {
		token, err := t.stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			// The end without a finish reason is a short answer.
			return upstream.Token{}, fmt.Errorf("%w: ended without a finish reason", upstream.ErrBroken)
		}
		if err != nil {
			return upstream.Token{}, err
		}
		if !t.began {
			t.began = true
			t.ticket.FirstToken()
		}
		if token.Index > due {
			return upstream.Token{}, &gapError{want: due, got: token.Index}
		}
		if token.Index == due {
			t.ticket.Tokens(1)
			if t.produced++; t.produced == acquitAfter {
				t.run.Clear()
			}
			return token, nil
		}
	}
}

// routerOutcome says in the router's terms how an attempt ended.
func routerOutcome(err error, ctxEnded bool) router.Outcome {
	switch {
	case err == nil:
		return router.OutcomeOK
	case errors.Is(err, upstream.ErrNotSent):
		return router.OutcomeNotSent
	case errors.Is(err, context.DeadlineExceeded):
		return router.OutcomeTimeout
	case ctxEnded, errors.Is(err, context.Canceled), errors.Is(err, errNoTurn):
		return router.OutcomeCancelled
	case errors.Is(err, upstream.ErrRefused):
		return router.OutcomeRefused
	default:
		return router.OutcomeBroken
	}
}

// crashResult says in the quarantine's terms how an attempt ended.
func crashResult(err error, ctxEnded bool) crash.Result {
	switch {
	case err == nil:
		return crash.Completed
	case ctxEnded || errors.Is(err, context.Canceled):
		return crash.Inconclusive
	case errors.Is(err, upstream.ErrBroken):
		return crash.Broken
	default:
		return crash.Inconclusive
	}
}
