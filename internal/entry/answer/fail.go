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
	statusQuarantined    = http.StatusUnprocessableEntity
	statusNoUpstream     = http.StatusServiceUnavailable
	retryAfterNoUpstream = time.Second
	// retryAfterShutdown is short because other instances serve the retry.
	retryAfterShutdown = 100 * time.Millisecond
	// cancelTimeout bounds a cancellation that runs in the background.
	cancelTimeout = time.Second
)

// fail returns a failure that states whether the request may have run.
func (a *Answer) fail(status int, code outcome.Code, cause error, message string) *outcome.Failure {
	return &outcome.Failure{Status: status, Code: code, Message: message, Execution: outcome.ExecutionOf(a.retryState.MayHaveRun()), Cause: cause}
}

func (a *Answer) quarantineFailure(cause error) *outcome.Failure {
	f := a.fail(statusQuarantined, outcome.CodeQuarantined, cause,
		"the request has crashed engines and is kept from others")
	var quarantineErr *quarantine.Error
	if errors.As(cause, &quarantineErr) {
		f.RetryAfter = quarantineErr.RetryAfter
		f.Message = fmt.Sprintf("the request was in flight when %d engines crashed and is kept from others; "+
			"an operator may release it as %s", len(quarantineErr.Verdict.Upstreams), quarantineErr.Digest)
	}
	return f
}

// ContextFailure returns the failure of an answer whose context has ended: the
// deadline has passed, the caller has closed its connection, or the instance is
// stopping.
func (a *Answer) ContextFailure(ctx context.Context) *outcome.Failure {
	cause := context.Cause(ctx)
	if errors.Is(cause, callerwatch.ErrGone) || errors.Is(cause, outcome.ErrForwarderGone) {
		return a.fail(outcome.StatusCallerGone, outcome.CodeCallerGone, cause, "the caller closed its connection")
	}
	if errors.Is(cause, outcome.ErrShuttingDown) {
		return a.fail(http.StatusServiceUnavailable, outcome.CodeShuttingDown, cause,
			"the instance is stopping; take the stream up again at another").WithRetryAfter(retryAfterShutdown)
	}
	return a.fail(http.StatusGatewayTimeout, outcome.CodeDeadline, cause, "the deadline has passed")
}

// upstreamFailure returns the failure of an answer that has no attempt left.
func (a *Answer) upstreamFailure(err error, notRun bool) *outcome.Failure {
	if notRun {
		f := a.fail(statusNoUpstream, outcome.CodeNoUpstream, err, "the engines took no work")
		return f.WithRetryAfter(retryAfterNoUpstream)
	}
	if errors.Is(err, upstream.ErrBroken) {
		return a.fail(http.StatusBadGateway, outcome.CodeUpstreamBroken, err, "the engine broke off")
	}
	return a.fail(http.StatusBadGateway, outcome.CodeUpstreamError, err, "the engine answered with an error")
}

// handleStreamFailure handles an attempt whose stream was opened and then broke
// off. It returns the final failure, or nil if another engine may continue.
func (a *Answer) handleStreamFailure(ctx context.Context, err error) *outcome.Failure {
	a.excluded = append(a.excluded, a.attempt.engine)
	if outcome.KeepsStream(context.Cause(ctx)) {
		a.leaveStream() // as Leave does
	}
	a.endAttempt(err, cancelled(ctx))
	if cancelled(ctx) {
		return a.ContextFailure(ctx)
	}
	if _, complete := a.output.Text(); !complete {
		return a.fail(http.StatusBadGateway, outcome.CodeStreamLost, err,
			"the engine died and the answer had grown too long to be continued elsewhere")
	}
	if !a.mayContinue() {
		return a.upstreamFailure(err, false)
	}
	return nil
}

// cancelUnanswered cancels in the background what an engine may be doing for a
// call that ended before the engine responded.
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
