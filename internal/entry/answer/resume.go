package answer

import (
	"context"
	"errors"
	"net/http"

	"tamarackchute/internal/entry/outcome"
	"tamarackchute/router"
	"tamarackchute/upstream"
)

// ResumePoint is the point from which an answer is resumed.
type ResumePoint struct {
	Engine, Attempt string
	// First is the index of the attempt's first token, Last the index of the last
	// token that the caller has received.
	First, Last int
}

// Resume returns the answer that an event id names, from the token after the last
// one that the caller has. It requests the attempt from its first token and buffers
// the tokens that the caller already has, so that another engine can still continue
// the answer if this one fails.
func (r *Runner) Resume(ctx context.Context, job Job, from ResumePoint) (*Answer, *outcome.Failure) {
	a := r.Start(job)
	a.retryState.RecordRun()
	a.deliverFrom = from.Last + 1
	a.output.Skip(from.First)
	engine := r.Engines.Engine(from.Engine)
	if engine == nil {
		return nil, a.fail(http.StatusGone, outcome.CodeStreamLost, nil, "the engine of this answer is gone")
	}
	if !r.InFlight.Reserve(from.Engine) {
		return nil, a.fail(http.StatusGone, outcome.CodeStreamLost, nil,
			"the engine of this answer is being changed; ask again without Last-Event-ID")
	}
	run, err := r.CrashDetector.Begin(ctx, from.Engine, job.Digest, false)
	if err != nil {
		a.release(from.Engine)
		return nil, a.quarantineFailure(err)
	}
	route := job.Route
	route.OutputTokens = max(1, route.OutputTokens-from.Last)
	plan := router.Plan{Engine: from.Engine, CachedTokens: route.PromptTokens}
	t := &attempt{
		id:       from.Attempt,
		engine:   from.Engine,
		reserved: []string{from.Engine},
		first:    from.First,
		run:      run,
		ticket:   r.Tracker.Begin(plan, route),
	}
	a.attempt = t
	a.retryState.RecordAttempt()
	t.stream, err = engine.Resume(ctx, from.Attempt, from.First)
	if err == nil {
		return a, nil
	}
	f := a.resumeFailure(ctx, err)
	a.endAttempt(err, cancelled(ctx))
	a.output.Discard()
	return nil, f
}

func (a *Answer) resumeFailure(ctx context.Context, err error) *outcome.Failure {
	switch {
	case cancelled(ctx):
		return a.ContextFailure(ctx)
	case errors.Is(err, upstream.ErrGone):
		return a.fail(http.StatusGone, outcome.CodeStreamUnknown, err,
			"the engine no longer knows this answer; ask again without Last-Event-ID")
	case errors.Is(err, upstream.ErrRefused):
		return a.fail(http.StatusServiceUnavailable, outcome.CodeOverload, err,
			"the engine takes no work now").WithRetryAfter(retryAfterNoUpstream)
	default:
		return a.fail(http.StatusBadGateway, outcome.CodeStreamLost, err,
			"the engine of this answer has died; ask again without Last-Event-ID")
	}
}
