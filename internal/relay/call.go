package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
	"tamarackchute/rules/pathset"
)

const (
	// answerSlack is how long an answer may arrive after the deadline that its
	// upstream was given: it crosses the network, and the upstream's own word
	// on a missed deadline is better than none.
	answerSlack = 80 * time.Millisecond
	// defaultPatience bounds a request that names no deadline under a rule
	// that has none.
	defaultPatience = 60 * time.Second
	// leastLeft is the shortest time that is worth an attempt.
	leastLeft = 5 * time.Millisecond
)

// call is one caller's request on its way.
type call struct {
	Call
	relay   *Relay
	out     http.ResponseWriter
	in      *http.Request
	log     *slog.Logger
	arrived time.Time
	// deadline is when the caller or the rule gives up.
	deadline time.Time
	version  uint64
	rule     *pathset.Rule
	pool     string
	body     []byte

	// prepaid says that the next repeat has been counted against the budget.
	prepaid atomic.Bool
	// tries counts the sendings that may have run.
	tries dispatch.State
	// exclude names upstreams that won't be tried again.
	exclude []string
	// stream is set once the head of a streamed answer has gone out.
	stream *streamState
	// comeback says that the caller asks again after an earlier attempt.
	comeback bool
	// kept is the KV cache of the prompt, where one was made and no engine has
	// taken it over; keptBy is the engine that holds it, keptTries the engines
	// that turned it away.
	kept      Handoff
	keptBy    *fleet.Upstream
	keptTries int
	// prefills counts the engines that have read the prompt for others.
	prefills int
	// looked is the best plan of the last look for a place that found any, whether
	// taken or not: of a refused request it says what was expected.
	looked placement.Plan
	// behind says that the last look was for a place to answer late.
	behind bool
	// counted says that the request is part of the demand measured.
	counted bool
}

// readBody reads the whole body: it may have to be sent more than once, and a
// caller that stops halfway must not leave half a request at an upstream.
func (c *call) readBody(l fleet.Limits) *failure {
	limit := int64(l.BodyBytes)
	if limit <= 0 {
		limit = 4 << 20
	}
	if c.in.ContentLength > limit {
		return refused(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is too large")
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.out, c.in.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refused(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is too large")
	case err != nil:
		return refused(http.StatusBadRequest, reasonBadBody, "the body can't be read: "+err.Error())
	}
	c.body = body
	return nil
}

// serve runs the request to its end.
func (c *call) serve() {
	c.deadline = c.arrived.Add(c.patience())
	if f := c.leaving(); f != nil {
		c.relay.refuse(c.out, c.in, c, f)
		return
	}
	ctx, cancel := context.WithDeadline(c.in.Context(), c.deadline.Add(answerSlack))
	defer cancel()
	c.comeback = c.relay.patience.comeback(c.rule.Name, c.Timeout)
	c.relay.cfg.RetryBudget.RecordRequest(c.pool)
	c.tries = dispatch.New(c.policy())
	f := c.run(ctx)
	c.releaseKept()
	switch {
	case f == nil:
	case c.stream != nil:
		c.logEnd(f)
		// The answer has begun: only a broken connection tells the caller that
		// it isn't whole.
		panic(http.ErrAbortHandler)
	default:
		c.relay.refuse(c.out, c.in, c, f)
	}
}

// policy is what the rule allows. An attempt that did not run isn't one of those
// that the rule counts; one that reached an upstream draws on the budget.
func (c *call) policy() dispatch.Policy {
	p := dispatch.Policy{
		Mode: dispatch.RetryAlways, MaxAttempts: c.rule.MaxAttempts,
		AllowRetry: func() bool { return c.prepaid.Swap(false) || c.relay.cfg.RetryBudget.AllowRetry(c.pool) },
	}
	if c.rule.Repeat == pathset.Once {
		p.Mode = dispatch.RetryIfNotRun
	}
	return p
}

func (c *call) patience() time.Duration {
	p := c.Timeout
	if p == 0 {
		p = defaultPatience
	}
	if c.rule.Timeout > 0 {
		p = min(p, c.rule.Timeout)
	}
	return p
}

// run places and sends the request until it is answered or can't be sent again.
func (c *call) run(ctx context.Context) *failure {
	for {
		place, f := c.place(ctx)
		if f != nil {
			return f
		}
		res := c.attempt(ctx, place)
		c.logAttempt(place, res)
		if res.done {
			c.logEnd(nil)
			return nil
		}
		if f := c.again(ctx, res); f != nil {
			return f
		}
	}
}

// again decides whether the request may be sent once more after a failed
// attempt; nil says yes.
func (c *call) again(ctx context.Context, res result) *failure {
	if f := c.ended(ctx); f != nil {
		return f
	}
	if errors.Is(res.err, errNoBudget) {
		return c.failAs(dispatch.BudgetExhausted)
	}
	if verdict := c.tries.Next(res.fate, res.arrived); verdict != dispatch.Retry {
		return c.failAs(verdict)
	}
	if time.Until(c.deadline) < leastLeft {
		return c.fail(reasonDeadline, "the deadline has passed")
	}
	return nil
}

// failAs returns the failure of a request that may not be sent again.
func (c *call) failAs(v dispatch.Decision) *failure {
	switch v {
	case dispatch.NotRetryable:
		return c.fail(reasonLost, "the upstream's answer was lost; the request may have run")
	case dispatch.AttemptsExhausted:
		return c.fail(reasonAttempts, "all attempts have failed")
	default:
		return c.fail(reasonNoBudget, "too many requests are being repeated")
	}
}

// ended returns the failure of a call whose context is over.
func (c *call) ended(ctx context.Context) *failure {
	if c.in.Context().Err() != nil {
		return c.fail(reasonGone, "the caller has gone")
	}
	if ctx.Err() != nil {
		return c.fail(reasonDeadline, "the deadline has passed")
	}
	return nil
}

// fail returns the failure that tells the truth about what has run: 503 is a
// promise that nothing has, 502 and 504 promise nothing.
func (c *call) fail(why reason, message string) *failure {
	switch {
	case !c.tries.MayHaveRun():
		return refused(http.StatusServiceUnavailable, why, message).after(c.retryAfter())
	case why == reasonDeadline:
		return refused(http.StatusGatewayTimeout, why, message)
	default:
		return refused(http.StatusBadGateway, why, message)
	}
}

// retryAfter is when the caller should come back: not at once, and within a
// third of the time that it has left, beyond which callers don't wait.
func (c *call) retryAfter() time.Duration {
	left := time.Until(c.deadline)
	return max(0, min(c.relay.cfg.MinRetryAfter, left/4))
}
