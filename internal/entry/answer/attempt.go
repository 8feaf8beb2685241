package answer

import (
	"context"
	"errors"
	"fmt"
	"io"

	"tamarackchute/internal/crash"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/router"
	"tamarackchute/upstream"
)

// attempt is one execution of the request at one engine.
type attempt struct {
	id     string
	engine string
	// reserved names the engines at which the request is counted as in flight. A
	// prefill engine stays among them until the end, so that no role change
	// drops the KV cache that it exports.
	reserved []string
	// first is the index of the attempt's first token.
	first          int
	stream         upstream.TokenStream
	ticket         *router.Ticket
	run            *crash.Run
	firstTokenSeen bool
	// produced counts the tokens received with the expected index.
	produced int
}

func (t *attempt) origin(job Job) stream.Origin {
	return stream.Origin{
		Answer:   job.Answer,
		Created:  job.Created.Unix(),
		Upstream: t.engine,
		Attempt:  t.id,
		First:    t.first,
	}
}

// missingTokensError says that an engine skipped tokens.
type missingTokensError struct{ want, got int }

func (e *missingTokensError) Error() string {
	return fmt.Sprintf("received token %d, expected token %d", e.got, e.want)
}

// Unwrap makes the error count as a broken stream: the missing tokens will not
// be sent later.
func (e *missingTokensError) Unwrap() error { return upstream.ErrBroken }

// next returns the token with the expected index. It drops earlier tokens, which
// an engine may send again after a resume; a later one means that tokens are
// missing.
func (t *attempt) next(ctx context.Context, expected int) (upstream.Token, error) {
	for {
		token, err := t.stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			// A stream that ends without a finish reason is truncated.
			return upstream.Token{}, fmt.Errorf("%w: ended without a finish reason", upstream.ErrBroken)
		}
		if err != nil {
			return upstream.Token{}, err
		}
		if !t.firstTokenSeen {
			t.firstTokenSeen = true
			t.ticket.FirstToken()
		}
		if token.Index > expected {
			return upstream.Token{}, &missingTokensError{want: expected, got: token.Index}
		}
		if token.Index == expected {
			t.ticket.Tokens(1)
			if t.produced++; t.produced == crash.ClearAfterTokens {
				t.run.Clear()
			}
			return token, nil
		}
	}
}

// routerOutcome classifies the end of an attempt for the router.
func routerOutcome(err error, ctxEnded bool) router.Outcome {
	switch {
	case err == nil:
		return router.OutcomeOK
	case errors.Is(err, upstream.ErrLimited), errors.Is(err, upstream.ErrNotAdmitted):
		return router.OutcomeCancelled
	case errors.Is(err, upstream.ErrNotSent):
		return router.OutcomeNotSent
	case errors.Is(err, context.DeadlineExceeded):
		return router.OutcomeTimeout
	case ctxEnded, errors.Is(err, context.Canceled), errors.Is(err, errIsolationConflict):
		return router.OutcomeCancelled
	case errors.Is(err, upstream.ErrRefused):
		return router.OutcomeRefused
	default:
		return router.OutcomeBroken
	}
}

// crashResult classifies the end of an attempt for crash detection.
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
