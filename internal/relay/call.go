package relay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"tamarackchute/apikey"
	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/crash"
	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/graceful"
	"tamarackchute/internal/reqtarget"
	"tamarackchute/internal/telemetry"
	"tamarackchute/placement"
	"tamarackchute/quarantine"
	"tamarackchute/rules/pathset"
)

const (
	// deadlineGrace is how long after the deadline a response may still arrive. It covers
	// the network, so that an upstream's own response on a missed deadline gets through.
	deadlineGrace = 80 * time.Millisecond
	// defaultCallerTimeout applies where neither the request nor its rule has a timeout.
	defaultCallerTimeout = 60 * time.Second
	// minAttemptTime is the least remaining time for which another attempt is made.
	minAttemptTime = 5 * time.Millisecond
)

// call is one caller's request in progress.
type call struct {
	Call
	relay   *Relay
	out     http.ResponseWriter
	in      *http.Request
	target  reqtarget.Target
	log     *slog.Logger
	arrived time.Time
	// ownDeadline follows from the caller's or the rule's timeout, whichever ends first. deadline is
	// earlier if the process stops before; cut says so.
	ownDeadline, deadline time.Time
	cut                   bool
	// runsUntilExit says that the call goes on until the process exits.
	runsUntilExit atomic.Bool
	version       uint64
	rule          *pathset.Rule
	pool          string
	body          []byte
	// bodyShare counts the body among those of all requests.
	bodyShare *bodylimit.Share
	// bodyCut says that this daemon has given up reading the body, which ends the request's context though the caller may
	// still be there.
	bodyCut bool
	// left says that the caller had left before an attempt, though the request's context hasn't ended yet.
	left bool
	// content identifies equal requests. It is set before the first attempt and doesn't change.
	content quarantine.Request
	// inFlight records the attempt in progress at its upstream; nil if nothing has been sent.
	inFlight *crash.Run
	// origin is where the stream began, once that is known.
	origin streamOrigin
	// trial is set while the request is suspected of crashing upstreams.
	trial trial
	// quarantined is why the request was refused as quarantined, if it was.
	quarantined *quarantine.Error
	// key is the digest of the caller's API key; keyErr says that there is none.
	key      apikey.Digest
	keyErr   error
	identity identity
	// begun says that the request has begun to run at an upstream.
	begun bool

	// forwarded is nil unless another daemon has forwarded the request to this one.
	forwarded *forwardedCall
	// lastRun is the upstream at which this daemon has run the call last, empty if it hasn't.
	lastRun string
	// returnedFrom names the upstreams that have run the call and were left for no fault of theirs; returns counts how
	// often the call went on there without another attempt.
	returnedFrom []string
	returns      int
	// lostPeer is the address of the daemon whose connection broke last after the stream had begun, lostPeerAt when: this
	// call doesn't go back there at once.
	lostPeer   string
	lostPeerAt time.Time

	// forwardRefused says that no other daemon has taken the request before this placement.
	forwardRefused bool

	// retryReserved says that the next retry has already been counted against the budget.
	retryReserved atomic.Bool
	// attempts counts the attempts that may have run.
	attempts dispatch.State
	// excluded names upstreams that won't be tried again, silent those that may be later.
	excluded []string
	silent   []silentUpstream
	// replacement is the place reserved for the next attempt by the watchdog of the one in progress.
	replacement *assignment
	// stream is set once the headers of a streamed response have been sent.
	stream *streamState
	// retried says that the caller retries after an earlier refusal.
	retried bool
	// handoff is the prompt's KV cache after a prefill, until a decode engine has
	// transferred it; handoffFrom is the engine that holds it, handoffRefusals the
	// number of engines that refused it.
	handoff         Handoff
	handoffFrom     *fleet.Upstream
	handoffRefusals int
	// prefills counts the prefills done at engines other than the decode engine. prefillReserved says that
	// the retry budget has counted the next one; withoutPrefill that it allows none.
	prefills        int
	prefillReserved bool
	withoutPrefill  bool
	// queued is how long the call has waited for capacity in all, queuedBehind how many others waited when it began to
	// last, and tries how often a place was sought for it.
	queued              time.Duration
	queuedBehind, tries int
	// lastPlan is the plan that placement found last, whether it was used or not. Of a
	// refused request it says what was expected.
	lastPlan placement.Plan
	// late says that the last plan was sought although it may miss the objective.
	late bool
	// demandCounted says that the request has been added to the measured demand.
	demandCounted bool
}

// readBody reads the complete body: it may have to be sent more than once, and a
// caller that stops halfway must not leave half a request at an upstream.
func (c *call) readBody(l fleet.Limits) *failure {
	limit := int64(l.BodyBytes)
	if limit <= 0 {
		limit = 4 << 20
	}
	request := graceful.FromContext(c.in.Context())
	request.HeadRead()
	control := http.NewResponseController(c.out)
	if c.in.Body != http.NoBody {
		_ = control.SetReadDeadline(c.arrived.Add(c.callerTimeout())) // fails only if the connection has failed
	}
	body, err := bodylimit.ReadAll(c.in.Body, c.in.ContentLength, limit, c.bodyShare, request.MakeRoom)
	if f := c.bodyFailure(err, request); f != nil {
		c.out.Header().Set("Connection", "close") // the rest of the body isn't read
		return f
	}
	if c.in.Body != http.NoBody {
		_ = control.SetReadDeadline(time.Time{})
	}
	c.body = body
	return nil
}

// bodyFailure returns the failure of a request whose body hasn't been read, nil if it has. err is that of the reading.
func (c *call) bodyFailure(err error, request graceful.Request) *failure {
	late := errors.Is(err, os.ErrDeadlineExceeded)
	c.bodyCut = late || request.Evicted()
	switch {
	case errors.Is(err, bodylimit.ErrTooLarge):
		return newFailure(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is too large")
	case errors.Is(err, bodylimit.ErrExceeded), request.Evicted():
		return newFailure(http.StatusServiceUnavailable, reasonNoMemory, "the bodies of other requests leave no room").withRetryAfter(c.relay.cfg.MinRetryAfter)
	case late:
		return newFailure(http.StatusRequestTimeout, reasonDeadline, "the body has not come in time")
	case err != nil:
		return newFailure(http.StatusBadRequest, reasonBadBody, "the body can't be read: "+err.Error())
	case !request.Complete():
		return newFailure(http.StatusServiceUnavailable, reasonNoMemory, "other requests need the connection's place").withRetryAfter(c.relay.cfg.MinRetryAfter)
	default:
		return nil
	}
}

// serve runs the request to its end.
func (c *call) serve() {
	c.attempts = dispatch.New(c.retryPolicy())
	if c.forwarded != nil {
		c.resume(c.forwarded)
	} else {
		c.deadline = c.arrived.Add(c.callerTimeout())
	}
	c.ownDeadline = c.deadline
	if f := c.checkShutdown(); f != nil {
		c.relay.writeFailure(c.out, c.in, c, f)
		return
	}
	ctx, cancel := context.WithDeadline(c.in.Context(), c.deadline.Add(deadlineGrace))
	defer cancel()
	ctx, end := c.withShutdown(ctx)
	defer end()
	if c.forwarded == nil {
		c.retried = c.relay.timeouts.isRetry(c.rule.Name, c.Timeout)
		c.relay.cfg.RetryBudget.RecordRequest(c.pool)
	}
	c.content = c.contentOf()
	f := c.run(ctx)
	c.releaseReplacement()
	c.dropHandoff()
	switch {
	case f == nil:
	case c.stream != nil:
		c.logEnd(f)
		if !c.endForwardedStream(f) {
			c.abort()
		}
	default:
		c.relay.writeFailure(c.out, c.in, c, f)
	}
}

// abort breaks a caller's connection off, and doesn't return: only that tells that no response comes, or
// that the one that has begun is incomplete. Under HTTP/1.0 a closed connection is its proper end, a reset
// isn't.
func (c *call) abort() {
	c.log.Info("connection broken off", "request", c.ID, "caller_gone", c.callerGone(), "response_begun", c.stream != nil,
		"ran", c.attempts.MayHaveRun(), "took_ms", telemetry.Millis(time.Since(c.arrived)))
	if !c.in.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(c.out).Hijack(); err == nil {
			reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes a connection so that its peer takes no part of what it got for the whole.
func reset(conn net.Conn) {
	if outer, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = outer.NetConn() // of a TLS connection, whose Close would end it properly
	}
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	_ = conn.Close()
}

// retryPolicy returns the policy of the rule. Attempts that did not run don't count
// towards its limit, but a retry of one that reached an upstream uses the retry budget.
func (c *call) retryPolicy() dispatch.Policy {
	p := dispatch.Policy{
		Mode: dispatch.RetryAlways, MaxAttempts: c.rule.MaxAttempts,
		AllowRetry: func() bool { return c.retryReserved.Swap(false) || c.relay.cfg.RetryBudget.AllowRetry(c.pool) },
	}
	if c.rule.RetryMode == pathset.NonIdempotent {
		p.Mode = dispatch.RetryIfNotRun
	}
	return p
}

func (c *call) callerTimeout() time.Duration {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultCallerTimeout
	}
	if c.rule.Timeout > 0 {
		timeout = min(timeout, c.rule.Timeout)
	}
	return timeout
}

// run makes attempts until one is answered or no retry is allowed.
func (c *call) run(ctx context.Context) *failure {
	for {
		if f := c.checkShutdown(); f != nil {
			return f
		}
		if f := c.identify(c.relay.cfg.State.Snapshot().Config); f != nil {
			return f
		}
		if f := c.findOrigin(ctx); f != nil {
			return f
		}
		if f := c.awaitTrial(ctx); f != nil {
			return f
		}
		p := c.takeReplacement()
		if p == nil {
			var forwarded forwardResult
			var f *failure
			if p, forwarded, f = c.assignOrForward(ctx); forwarded == forwardBroke {
				continue
			}
			if f != nil || forwarded == forwardEnded {
				return f
			}
		}
		if !c.beginTrial(ctx, p) {
			continue
		}
		res := c.attempt(ctx, p)
		c.logAttempt(p, res)
		if res.done {
			c.logEnd(nil)
			return nil
		}
		if f := c.checkRetry(ctx, res); f != nil {
			return f
		}
	}
}

// checkRetry returns nil if the request may be retried after a failed attempt.
func (c *call) checkRetry(ctx context.Context, res result) *failure {
	if f := c.contextFailure(ctx); f != nil {
		return f
	}
	if errors.Is(res.err, errNoBudget) {
		c.withoutPrefill = true // the engine that answers can do it
		return nil
	}
	decision := c.attempts.Next(res.execution, res.reachedUpstream)
	if decision == dispatch.BudgetExhausted && res.prefillSilent {
		c.withoutPrefill = true // the engine that answers hasn't been asked yet
		decision = dispatch.Retry
	}
	if decision == dispatch.AttemptsExhausted {
		decision = c.decideReturn(res.err)
	}
	if decision == dispatch.BudgetExhausted && c.mayAwaitBudget() && c.awaitBudget(ctx) {
		decision = dispatch.Retry
	}
	if decision != dispatch.Retry {
		return c.failDecision(decision)
	}
	if time.Until(c.deadline) < minAttemptTime {
		return c.fail(reasonDeadline, "the deadline has passed")
	}
	return nil
}

// failDecision returns the failure of a request that may not be retried.
func (c *call) failDecision(d dispatch.Decision) *failure {
	switch d {
	case dispatch.NotRetryable:
		return c.fail(reasonResponseLost, "the upstream's answer was lost; the request may have run")
	case dispatch.AttemptsExhausted:
		return c.fail(reasonNoAttempts, "all attempts have failed")
	default:
		return c.fail(reasonNoBudget, "too many requests are being repeated")
	}
}

// errCallerLeft stops an attempt whose caller has left.
var errCallerLeft = errors.New("the caller has left")

// checkCaller is the check of an attempt right before its first byte: what a caller that has left sent before may have
// waited here unread, and the end of its connection, too.
func (c *call) checkCaller() error {
	if graceful.FromContext(c.in.Context()).CallerLeft() {
		c.left = true
		return errCallerLeft
	}
	return nil
}

// callerGone reports whether the caller has left.
func (c *call) callerGone() bool { return c.left || c.in.Context().Err() != nil }

// contextFailure returns the failure of a call whose context has ended, or nil.
func (c *call) contextFailure(ctx context.Context) *failure {
	if c.callerGone() {
		return c.fail(reasonCallerGone, "the caller has gone")
	}
	if errors.Is(context.Cause(ctx), errShuttingDown) {
		return c.failShutdown()
	}
	if ctx.Err() != nil {
		return c.fail(reasonDeadline, "the deadline has passed")
	}
	return nil
}

// fail returns a failure whose status is right about execution: 503 guarantees that
// the request has not run, 502 and 504 guarantee nothing.
func (c *call) fail(why reason, message string) *failure {
	switch {
	case !c.attempts.MayHaveRun():
		return newFailure(http.StatusServiceUnavailable, why, message).withRetryAfter(c.retryAfter())
	case why == reasonDeadline:
		return newFailure(http.StatusGatewayTimeout, why, message)
	default:
		return newFailure(http.StatusBadGateway, why, message)
	}
}

// retryAfter returns the delay after which the caller should retry. It is a quarter of the
// caller's remaining time at most: callers don't wait longer than a third of it.
func (c *call) retryAfter() time.Duration {
	if c.deadline.IsZero() { // it has not been read completely
		return c.relay.cfg.MinRetryAfter
	}
	left := time.Until(c.deadline)
	return max(0, min(c.relay.cfg.MinRetryAfter, left/4))
}
