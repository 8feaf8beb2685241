package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/admission"
	"tamarackchute/internal/entry/callerwatch"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/outcome"
)

// admissionFailure turns admission's refusal into a failure. Nothing was sent.
func admissionFailure(k *call, err error) *outcome.Failure {
	var refusal *admission.Refusal
	if !errors.As(err, &refusal) {
		return outcome.Refused(fiber.StatusServiceUnavailable, outcome.CodeOverload, "%v", err)
	}
	f := outcome.Refused(fiber.StatusServiceUnavailable, outcome.CodeOverload, "%v", refusal)
	f.RetryAfter = refusal.RetryAfter
	f.Rule = k.decision.Rule
	switch refusal.Reason {
	case admission.ReasonDeadline:
		f.Code = outcome.CodeDeadlineTooShort
	case admission.ReasonRate, admission.ReasonConcurrent:
		f.Status, f.Code = fiber.StatusTooManyRequests, outcome.CodeRuleLimit
	case admission.ReasonNoCapacity:
		f.Code = outcome.CodeNoUpstream
	case admission.ReasonCancelled:
		f.Status, f.Code = fiber.StatusGatewayTimeout, outcome.CodeDeadline
		if errors.Is(context.Cause(k.ctx), callerwatch.ErrGone) {
			f.Status, f.Code = outcome.StatusCallerGone, outcome.CodeCallerGone
		}
	}
	return f
}

func errorBody(f *outcome.Failure) openai.ErrorBody {
	return openai.ErrorBody{Error: openai.ErrorDetail{
		Message: f.Message,
		Type:    f.Type(),
		Code:    string(f.Code),
		Outcome: string(f.Execution),
	}}
}

// fail responds with a failure at once: the caller gets a Retry-After instead of
// being kept waiting.
func (g *Gateway) fail(c *fiber.Ctx, k *call, f *outcome.Failure) error {
	f = g.withholdDenial(k, f)
	g.metrics.failed(f)
	g.deps.Log.Debug("request failed", "request", k.id, "path", k.path, "rule", f.Rule,
		"code", f.Code, "outcome", f.Execution, "after", time.Since(k.began), "cause", f.Cause)
	c.Set(headerRequestID, k.id)
	markIncapable(c, f)
	return writeFailure(c, f)
}

func writeFailure(c *fiber.Ctx, f *outcome.Failure) error {
	c.Status(f.Status)
	c.Set(outcome.Header, string(f.Execution))
	if f.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(f.RetryAfterSeconds()))
	}
	if f.KeyUnknown {
		c.Set(outcome.KeyHeader, outcome.KeyOutcomeUnknown)
	}
	return c.JSON(errorBody(f))
}

// retryAfterNoRoom is the Retry-After of requests whose bodies have no room beside those of others.
const retryAfterNoRoom = time.Second

// serverError responds to requests that were refused before any handler ran: bodies or headers that are too large,
// senders that are too slow, bodies without room, invalid HTTP.
func (g *Gateway) serverError(c *fiber.Ctx, err error) error {
	f := outcome.Refused(fiber.StatusBadRequest, outcome.CodeInvalidRequest, "the request can't be read")
	var status *fiber.Error
	if errors.As(err, &status) {
		f.Status = status.Code
	}
	switch f.Status {
	case fiber.StatusRequestEntityTooLarge:
		f.Code = outcome.CodeBodyTooLarge
		f.Message = "the body is larger than " + strconv.Itoa(g.opts.MaxBodyBytes) + " bytes"
	case fiber.StatusRequestHeaderFieldsTooLarge:
		f.Message = "the headers are too large"
	case fiber.StatusRequestTimeout:
		f.Message = "the request did not arrive in time"
	case fiber.StatusServiceUnavailable:
		f.Code = outcome.CodeOverload
		f.Message = err.Error()
		f = f.WithRetryAfter(retryAfterNoRoom)
	}
	f.Cause = err
	g.metrics.failed(f)
	return writeFailure(c, f)
}
