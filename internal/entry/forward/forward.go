// Package forward sends a request to a plain service and retries it at another
// one if its retry class allows.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/crash"
	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/entry/callerwatch"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// Tracker picks services and records attempts; router.Tracker implements it.
type Tracker interface {
	Pick(r router.Request) (router.Plan, error)
	Begin(p router.Plan, r router.Request) *router.Ticket
}

// Services returns the adapter of a service, or nil if the name is unknown.
type Services interface {
	Service(name string) upstream.Service
}

// RetryBudget bounds the load that retries add. Allow counts one more attempt and
// reports whether it may be made.
type RetryBudget interface {
	Allow() bool
}

// CrashDetector keeps requests that crash services from crashing more of them; crash.Detector
// implements it.
type CrashDetector interface {
	Check(d quarantine.Digest) (suspected bool, err error)
	MayRunOn(service string, d quarantine.Digest) bool
	// Begin records a call as in flight; a suspect needs the service for itself among suspects.
	Begin(ctx context.Context, service string, d quarantine.Digest, suspected bool) (*crash.Run, error)
	IsolationError(d quarantine.Digest) error
}

// Runner sends requests to services. It is safe for concurrent use.
type Runner struct {
	Tracker     Tracker
	Services    Services
	RetryBudget RetryBudget
	// CrashDetector refuses requests that have crashed services; nil refuses none.
	CrashDetector CrashDetector
	MaxAttempts   int
	NewID         func() string
}

// Job is one request with its route and the settings of the matched rule.
type Job struct {
	Request upstream.ServiceRequest
	// Host is the name by which the caller addressed the request.
	Host  string
	Route router.Request
	// Public says that the call needs no key: the same one may come with a key, without one, or with one that is removed
	// meanwhile.
	Public bool
	Retry  rules.RetryClass
	// Admit is asked before each attempt; an error ends the request. Nil admits it.
	Admit func() error
	// Stop returns the failure of a request that may not be sent any more, as the instance stops too soon.
	// It is asked before each attempt with whether an earlier one may have run. Nil refuses none.
	Stop func(mayHaveRun bool) *outcome.Failure
}

// retryAfterNoService is the Retry-After of a request that no service accepted.
const retryAfterNoService = time.Second

// Call sends the request and returns the service's response, whatever its status.
func (r *Runner) Call(ctx context.Context, job Job) (upstream.ServiceResponse, *outcome.Failure) {
	content := contentOf(job)
	c := call{runner: r, job: job, content: content, digest: content.Digest(), retryState: dispatch.New(dispatch.Policy{
		Mode: dispatch.RetryModeOf(job.Retry), MaxAttempts: r.MaxAttempts, CountNotRun: true, AllowRetry: r.RetryBudget.Allow,
	})}
	for {
		if ctx.Err() != nil {
			return upstream.ServiceResponse{}, c.contextFailure(ctx)
		}
		if err := c.admitted(); err != nil {
			return upstream.ServiceResponse{}, c.fail(http.StatusUnauthorized, outcome.CodeUnauthorised, err, "the API key is no longer valid")
		}
		if f := c.stopFailure(); f != nil {
			return upstream.ServiceResponse{}, f
		}
		suspected, err := c.checkQuarantine()
		if err != nil {
			return upstream.ServiceResponse{}, c.quarantineFailure(err)
		}
		response, err := c.attempt(ctx, suspected)
		if err == nil {
			return response, nil
		}
		if waitsForTurn(err) {
			if !c.waitForTurn(ctx) {
				return upstream.ServiceResponse{}, c.turnFailure()
			}
			continue
		}
		if f := c.handleFailure(ctx, err); f != nil {
			return upstream.ServiceResponse{}, f
		}
	}
}

// call is the state of one Call.
type call struct {
	runner     *Runner
	job        Job
	retryState dispatch.State
	excluded   []string
	// content identifies equal requests; it is valid until the call ends.
	content quarantine.Request
	digest  quarantine.Digest
	// isolated says that the attempt in progress is one of a suspect, apart from others.
	isolated bool
	// waited is how long the call, a suspect, has waited for its turn.
	waited time.Duration
}

func contentOf(job Job) quarantine.Request {
	scope := job.Route.Organisation
	if job.Public {
		scope = ""
	}
	return quarantine.Request{
		Scope: scope, Method: job.Request.Method, Pool: job.Route.Pool, Host: job.Host, Path: job.Request.Path, Body: job.Request.Body,
	}
}

// checkQuarantine returns an error if the call is quarantined, and whether it is a suspect, of which
// one copy runs at a time.
func (c *call) checkQuarantine() (suspected bool, err error) {
	if c.runner.CrashDetector == nil {
		return false, nil
	}
	return c.runner.CrashDetector.Check(c.digest)
}

func (c *call) quarantineFailure(cause error) *outcome.Failure {
	f := c.fail(http.StatusUnprocessableEntity, outcome.CodeQuarantined, cause, "the request was in flight each time services crashed, and is kept from others")
	var refusal *quarantine.Error
	if errors.As(cause, &refusal) {
		f.RetryAfter = refusal.RetryAfter
	}
	return f
}

// admittedToSend is the last check before each first byte.
func (c *call) admittedToSend() error {
	if err := c.admitted(); err != nil {
		return err
	}
	if f := c.stopFailure(); f != nil {
		return f
	}
	suspected, err := c.checkQuarantine()
	if err == nil && suspected && !c.isolated {
		return errSuspected
	}
	return err
}

func (c *call) admitted() error {
	if c.job.Admit == nil {
		return nil
	}
	return c.job.Admit()
}

// stopFailure returns the failure of a call that may not be sent any more, or nil.
func (c *call) stopFailure() *outcome.Failure {
	if c.job.Stop == nil {
		return nil
	}
	return c.job.Stop(c.retryState.MayHaveRun())
}

// attempt sends the request once. It returns a *router.NoUpstreamError, and sends
// nothing, if no service is available.
func (c *call) attempt(ctx context.Context, suspected bool) (upstream.ServiceResponse, error) {
	route := c.job.Route
	route.Exclude = c.excluded
	if suspected {
		route.MayRunOn = func(service string) bool { return c.runner.CrashDetector.MayRunOn(service, c.digest) }
	}
	plan, err := c.runner.Tracker.Pick(route)
	if err != nil {
		return upstream.ServiceResponse{}, err
	}
	c.retryState.RecordAttempt()
	ticket := c.runner.Tracker.Begin(plan, route)
	response, err := c.send(ctx, plan.Engine, suspected)
	ticket.End(routerOutcome(ctx, response, err))
	if waitsForTurn(err) {
		c.retryState.RemoveAttempt() // nothing was sent
	} else {
		c.excluded = append(c.excluded, plan.Engine)
	}
	return response, err
}

func (c *call) send(ctx context.Context, name string, suspected bool) (upstream.ServiceResponse, error) {
	service := c.runner.Services.Service(name)
	if service == nil {
		return upstream.ServiceResponse{}, upstream.ErrNotSent
	}
	request := c.job.Request
	request.AttemptID = c.runner.NewID()
	ctx = upstream.WithAdmission(ctx, c.admittedToSend)
	if c.runner.CrashDetector == nil {
		return service.Call(ctx, request)
	}
	run, err := c.runner.CrashDetector.Begin(ctx, name, c.digest, suspected)
	if err != nil {
		return upstream.ServiceResponse{}, err
	}
	c.isolated = suspected
	response, err := service.Call(ctx, request)
	switch {
	case err == nil:
		run.Answer(&c.content)
	case errors.Is(err, upstream.ErrBroken) && !errors.Is(err, bodylimit.ErrExceeded) && ctx.Err() == nil:
		run.Break(ctx)
	default:
		run.Drop()
	}
	return response, err
}

// handleFailure returns the final failure after a failed attempt, or nil if
// another attempt may be made.
func (c *call) handleFailure(ctx context.Context, err error) *outcome.Failure {
	var noUpstream *router.NoUpstreamError
	if errors.As(err, &noUpstream) {
		return c.fail(http.StatusServiceUnavailable, outcome.CodeNoUpstream, err,
			"no service can take the request now").WithRetryAfter(retryAfterNoService)
	}
	if errors.Is(err, upstream.ErrNotAdmitted) {
		return nil // the checks before the next attempt say why
	}
	notRun := errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrRefused)
	execution := dispatch.NotRun
	if !notRun {
		execution = dispatch.MayHaveRun
		c.retryState.RecordRun()
	}
	if ctx.Err() != nil {
		return c.contextFailure(ctx)
	}
	// An attempt that certainly did not run added no load, so only other attempts
	// consume the retry budget.
	if c.retryState.Next(execution, !notRun) == dispatch.Retry {
		return nil
	}
	if notRun {
		return c.fail(http.StatusServiceUnavailable, outcome.CodeNoUpstream, err,
			"the services took no work").WithRetryAfter(retryAfterNoService)
	}
	return c.fail(http.StatusBadGateway, outcome.CodeUpstreamBroken, err, "the service broke off")
}

func (c *call) fail(status int, code outcome.Code, cause error, message string) *outcome.Failure {
	return &outcome.Failure{Status: status, Code: code, Message: message, Execution: outcome.ExecutionOf(c.retryState.MayHaveRun()), Cause: cause}
}

func (c *call) contextFailure(ctx context.Context) *outcome.Failure {
	cause := context.Cause(ctx)
	if errors.Is(cause, callerwatch.ErrGone) {
		return c.fail(outcome.StatusCallerGone, outcome.CodeCallerGone, cause, "the caller closed its connection")
	}
	if errors.Is(cause, outcome.ErrShuttingDown) {
		return c.fail(http.StatusServiceUnavailable, outcome.CodeShuttingDown, cause, "the instance is stopping")
	}
	return c.fail(http.StatusGatewayTimeout, outcome.CodeDeadline, cause, "the deadline has passed")
}

func routerOutcome(ctx context.Context, response upstream.ServiceResponse, err error) router.Outcome {
	switch {
	case err == nil && response.Status >= http.StatusInternalServerError:
		return router.OutcomeBroken
	case err == nil:
		return router.OutcomeOK
	case errors.Is(err, upstream.ErrLimited), errors.Is(err, upstream.ErrNotAdmitted), errors.Is(err, quarantine.ErrReserved),
		errors.Is(err, bodylimit.ErrExceeded): // others hold the memory
		return router.OutcomeCancelled
	case errors.Is(err, upstream.ErrNotSent):
		return router.OutcomeNotSent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return router.OutcomeTimeout
	case ctx.Err() != nil:
		return router.OutcomeCancelled
	case errors.Is(err, upstream.ErrRefused):
		return router.OutcomeRefused
	default:
		return router.OutcomeBroken
	}
}
