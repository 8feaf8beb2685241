package answer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"tamarackchute/internal/entry/callerwatch"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/quarantine"
	"tamarackchute/upstream"
)

const (
	statusQuarantined = http.StatusUnprocessableEntity
	statusNoUpstream  = http.StatusServiceUnavailable
	retryNoUpstream   = time.Second
	// retryElsewhere is next to nothing: other instances serve.
	retryElsewhere = 100 * time.Millisecond
	// cancelTimeout bounds a cancel whose caller no longer waits.
	cancelTimeout = time.Second
)

// fail returns a failure that says what is known of the request's running.
func (a *Answer) fail(status int, code outcome.Code, cause error, message string) *outcome.Failure {
	return &outcome.Failure{Status: status, Code: code, Message: message, Execution: outcome.ExecutionOf(a.tries.MayHaveRun()), Cause: cause}
}

func (a *Answer) quarantined(cause error) *outcome.Failure {
	f := a.fail(statusQuarantined, outcome.CodeQuarantined, cause,
		"the request has crashed engines and is kept from others")
	var held *quarantine.Error
	if errors.As(cause, &held) {
		f.RetryAfter = held.RetryAfter
		f.Message = fmt.Sprintf("the request was in flight when %d engines crashed and is kept from others; "+
			"an operator may release it as %s", len(held.Verdict.Upstreams), held.Digest)
	}
	return f
}

// ContextFailure returns the failure of an answer whose context has ended: the
// deadline has passed, or the caller has gone.
func (a *Answer) ContextFailure(ctx context.Context) *outcome.Failure {
	cause := context.Cause(ctx)
	if errors.Is(cause, callerwatch.ErrGone) {
		return a.fail(outcome.StatusCallerGone, outcome.CodeCallerGone, cause, "the caller closed its connection")
	}
	if errors.Is(cause, outcome.ErrStopping) {
		return a.fail(http.StatusServiceUnavailable, outcome.CodeStopping, cause,
			"the instance is stopping; take the stream up again at another").WithRetryAfter(retryElsewhere)
	}
	return a.fail(http.StatusGatewayTimeout, outcome.CodeDeadline, cause, "the deadline has passed")
}

// upstreamFailure is the failure of an answer that ran out of attempts.
func (a *Answer) upstreamFailure(err error, unsent bool) *outcome.Failure {
	if unsent {
		f := a.fail(statusNoUpstream, outcome.CodeNoUpstream, err, "the engines took no work")
		return f.WithRetryAfter(retryNoUpstream)
	}
	if errors.Is(err, upstream.ErrBroken) {
		return a.fail(http.StatusBadGateway, outcome.CodeUpstreamBroken, err, "the engine broke off")
	}
	return a.fail(http.StatusBadGateway, outcome.CodeUpstreamError, err, "the engine answered with an error")
}

// lose handles an attempt that was taken and then broke off. It returns the
// final failure, or nil if the answer may go on elsewhere.
func (a *Answer) lose(ctx context.Context, err error) *outcome.Failure {
	a.tried = append(a.tried, a.attempt.engine)
	if errors.Is(context.Cause(ctx), outcome.ErrStopping) {
		// Not closed, so not cancelled: the engine sees the connection end with
		// the process, and keeps the stream for whoever takes it up again.
		a.attempt.stream = nil
	}
	a.endAttempt(err, cancelled(ctx))
	if cancelled(ctx) {
		return a.ContextFailure(ctx)
	}
	if _, kept := a.prior.Text(); !kept {
		return a.fail(http.StatusBadGateway, outcome.CodeStreamLost, err,
			"the engine died and the answer had grown too long to be continued elsewhere")
	}
	if !a.mayContinue() {
		return a.upstreamFailure(err, false)
	}
	return nil
}

// cancelUnanswered drops what an engine may be doing for a call that ended
// before the engine had answered it.
func (a *Answer) cancelUnanswered(ctx context.Context, engine upstream.Engine, id string, err error) {
	if !cancelled(ctx) || errors.Is(err, upstream.ErrNotSent) {
		return
	}
	a.runner.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = engine.Cancel(ctx, id)
	})
}
