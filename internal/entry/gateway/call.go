package gateway

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/admission"
	"tamarackchute/apikey"
	"tamarackchute/internal/entry/callerwatch"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/internal/reqtarget"
	"tamarackchute/router"
	"tamarackchute/rules"
)

// Headers of requests and responses.
const (
	headerOrganisation   = "OpenAI-Organization"
	headerTimeout        = "X-Request-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerRequestID      = "Chute-Request-Id"
)

const (
	defaultOrganisation = "anonymous"
	// maxOrganisation bounds an organisation's name, in bytes, as names are kept in
	// memory.
	maxOrganisation = 128
)

// call is one request of a caller. It holds only copies: fiber reuses the memory of
// headers, paths and bodies for the connection's next request, while queues, tables
// and streams may still hold parts of the call.
type call struct {
	id           string
	began        time.Time
	method       string
	path         string
	target       reqtarget.Target
	organisation string
	// key is the digest of the caller's API key; nil if there is none.
	key      *apikey.Digest
	decision rules.Decision
	// ownDeadline follows from the caller's and the rule's limits. deadline is earlier if the instance
	// stops before; cut says so.
	ownDeadline, deadline time.Time
	cut                   bool

	ctx          context.Context
	cancel       context.CancelCauseFunc
	stopTimer    context.CancelFunc
	registration *callerwatch.Registration
	ended        bool
	// forwardID names the call to the instance that passed it on, empty if there is none or it names none. keptFor says
	// that its stream outlives that instance.
	forwardID string
	keptFor   atomic.Bool
}

func newCall(c *fiber.Ctx, id string) (*call, *outcome.Failure) {
	k := &call{
		id:           id,
		began:        time.Now(),
		method:       strings.Clone(c.Method()),
		target:       targetOf(c),
		organisation: defaultOrganisation,
	}
	k.path = k.target.Path
	k.key = keyOf(c)
	if name := c.Get(headerOrganisation); name != "" {
		k.organisation = strings.Clone(name)
	}
	if len(k.organisation) > maxOrganisation {
		return k, outcome.Refused(fiber.StatusBadRequest, outcome.CodeInvalidRequest,
			"the header %s is longer than %d bytes", headerOrganisation, maxOrganisation)
	}
	return k, nil
}

// begin sets the call's deadline and starts to watch the caller's connection.
func (g *Gateway) begin(c *fiber.Ctx, k *call) *outcome.Failure {
	limit := g.opts.DefaultDeadline
	if d := k.decision.Then.Deadline(); d > 0 {
		limit = d
	}
	if text := c.Get(headerTimeout); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms <= 0 {
			return outcome.Refused(fiber.StatusBadRequest, outcome.CodeInvalidRequest,
				"the header %s must be a whole number of milliseconds above 0", headerTimeout)
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	k.deadline, k.cut = k.began.Add(limit), false
	k.ownDeadline = k.deadline
	if f := g.checkStop(k, false); f != nil {
		return f
	}
	timed, stop := context.WithDeadline(g.baseContext, k.deadline)
	k.stopTimer = stop
	k.ctx, k.cancel = context.WithCancelCause(timed)
	k.ended = false
	k.registration = g.deps.CallerWatch.Add(c.Context().Conn(), k.callerGone)
	k.registration.Check()
	return nil
}

// callerGone ends the call as its connection was closed. A caller that has left says so, or closes its own connection;
// an instance that passed the call on says whether its caller has.
func (k *call) callerGone(cause error) {
	if k.keptFor.Load() {
		cause = outcome.ErrForwarderGone
	}
	k.cancel(cause)
}

// end releases what begin acquired. It may be called without begin.
func (k *call) end() {
	if k.ctx == nil || k.ended {
		return
	}
	k.ended = true
	k.registration.Remove()
	k.callerGone(nil)
	k.stopTimer()
}

// applyRules sets the decision of the first rule that matches, or returns its refusal.
func (g *Gateway) applyRules(c *fiber.Ctx, k *call, r rules.Request) *outcome.Failure {
	r.Path, r.Method, r.Organisation, r.Key = k.path, k.method, k.organisation, k.key
	r.DataCentre, r.Load = g.opts.DataCentre, g.deps.Load()
	r.Header = func(name string) string { return c.Get(name) }
	decision, known := g.deps.Rules.Match(r)
	if !known {
		return outcome.Refused(fiber.StatusServiceUnavailable, outcome.CodeRulesMissing,
			"this instance has not learnt the rules yet").WithRetryAfter(time.Second)
	}
	k.decision = decision
	if f := g.identify(k); f != nil {
		return f
	}
	if f := g.refuseForwarded(c, k); f != nil {
		return f
	}
	if refuse := decision.Then.Refuse; refuse != nil {
		code := outcome.CodeRefusedByRule
		if !decision.Matched {
			code = outcome.CodeNoRule
		}
		f := outcome.Refused(refuse.Status, code, "%s", refuse.Reason)
		f.Rule = decision.Rule
		return f
	}
	return nil
}

// admit waits until admission grants or refuses the request.
func (g *Gateway) admit(k *call, route router.Request) (*admission.Grant, *outcome.Failure) {
	r := admission.Request{
		Pool:         route.Pool,
		Model:        route.Model,
		Organisation: k.organisation,
		PromptTokens: route.PromptTokens,
		OutputTokens: route.OutputTokens,
		Priority:     route.Priority,
		Deadline:     route.Deadline,
		Limits:       limitsOf(k.decision),
	}
	switch k.decision.Then.Class {
	case rules.ClassShort:
		r.Class = admission.ClassShort
	case rules.ClassLong:
		r.Class = admission.ClassLong
	}
	if plan, err := g.deps.Estimator.Pick(route); err == nil {
		r.Estimate = admission.Estimate(plan.Estimate)
	}
	ctx, end := g.untilRefused(k)
	defer end()
	grant, err := g.deps.Admission.Acquire(ctx, r)
	if err != nil {
		if f := g.checkStop(k, false); f != nil && ctx.Err() != nil {
			return nil, f
		}
		return nil, admissionFailure(k, err)
	}
	return grant, nil
}

// limitsOf returns the limits of the matched rule. A rule's limit applies to each
// instance separately.
func limitsOf(d rules.Decision) []admission.Limit {
	l := d.Then.Limit
	if l == nil {
		return nil
	}
	return []admission.Limit{{
		Rule:              d.Rule,
		RequestsPerSecond: l.RequestsPerSecond,
		Concurrent:        l.Concurrent,
		PerOrganisation:   l.Per == rules.LimitOrganisation,
	}}
}
