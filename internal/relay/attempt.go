package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"tamarackchute/apikey"
	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
	"tamarackchute/rules/pathset"
)

// maxResponseBytes limits the body of a response that isn't streamed.
const maxResponseBytes = 8 << 20

// result is the result of an attempt.
type result struct {
	// done says that the response has been sent to the caller.
	done      bool
	execution dispatch.Execution
	// reachedUpstream says that an upstream received the request.
	reachedUpstream bool
	// prefill says that a prefill failed before the request itself was sent; prefillSilent that the engine hasn't
	// answered in time, and may still have the prompt read.
	prefill, prefillSilent bool
	outcome                placement.Outcome
	status                 int
	err                    error
}

// attempt sends the request to the assigned engines and ends their tickets.
func (c *call) attempt(ctx context.Context, p *assignment) result {
	defer c.endTrial()
	p.sentAt = time.Now()
	p.resumedAfter = c.resumeAfter()
	c.relay.paths.Tracker.Sent(c.pool)
	defer c.relay.paths.Tracker.Ended(c.pool)
	if p.prefill != nil {
		handle, res := c.prefill(ctx, p)
		if res.err != nil {
			p.ticket.End(placement.Cancelled)
			res.prefill = true
			return res
		}
		c.handoff, c.handoffFrom, c.handoffRefusals = Handoff{Address: p.prefill.Address, Handle: handle}, p.prefill, 0
	}
	if c.handoff.Handle != "" {
		p.ticket.HandoffStarted()
	}
	res := c.send(ctx, p, c.handoff)
	c.endRun(ctx, res)
	c.endTicket(p.target, p.ticket, res)
	c.updateHandoff(res)
	c.relay.WakeWaiting()
	return res
}

// decodeAttempt returns the attempt at the upstream that answers: where it transfers
// KV caches from, if anywhere.
func (c *call) decodeAttempt(p *assignment, handoff Handoff) Attempt {
	a := Attempt{Handoff: handoff}
	if p.prefill == nil {
		a.KVSource = c.sourceAddress(p)
	}
	return a
}

// sourceAddress returns the address to transfer shared prompt parts from, empty if none.
func (c *call) sourceAddress(p *assignment) string {
	if p.source == nil || c.relay.heldBack(p.source) != nil {
		return ""
	}
	return p.source.Address
}

func (c *call) newRequest(u *fleet.Upstream, p *assignment, a Attempt) *exchange.Request {
	d := c.relay.cfg.Dialect
	h := d.RequestHeaders(c.in.Header)
	a.Upstream = u.ID
	if c.Timeout > 0 || c.rule.Timeout > 0 || c.cut {
		a.Timeout = max(time.Millisecond, time.Until(c.deadline))
	}
	a.Urgency = -1
	if c.Generation != nil {
		a.Urgency = c.urgency(p)
	}
	a.ResumeAfter = c.resumeAfter()
	if c.identity.keyed {
		h.Del(apikey.Header)
	}
	a.Organisation = c.identity.organisation
	d.SetAttemptHeaders(h, a)
	return &exchange.Request{
		Method:        c.in.Method,
		Target:        c.target.Origin(),
		Host:          c.in.Host,
		Header:        h,
		Body:          c.body,
		Match:         exchange.EchoedID(d.RequestIDHeader(), c.ID),
		NonIdempotent: c.rule.RetryMode == pathset.NonIdempotent,
		Admit:         c.admit(u, a),
	}
}

// admit returns the check of an attempt right before it is sent. The engine that holds its KV
// cache may have been replaced while it waited for a connection.
func (c *call) admit(u *fleet.Upstream, a Attempt) func() error {
	return func() error {
		if err := c.checkCaller(); err != nil {
			return err
		}
		if a.Handoff.Handle != "" && c.handoffLost() {
			return errReplaced
		}
		if !c.suitsOrigin(u) {
			return errOtherVersion
		}
		if err := c.checkIdentity(); err != nil {
			return err
		}
		if err := c.checkQuarantine(); err != nil {
			return err
		}
		if err := c.checkTrial(); err != nil {
			return err
		}
		if err := c.checkShutdownBeforeSend(); err != nil {
			return err
		}
		if err := c.relay.Admit(u); err != nil {
			return err
		}
		c.trackRun(u)
		return nil
	}
}

const (
	// lowestUrgency is the urgency of late requests, which all others precede.
	lowestUrgency = 9
	// shortPromptShare is the share of the objective that a prefill may take to get the
	// highest urgency. It delays others by no more than that, while behind a steady flow
	// of more urgent requests it would starve.
	shortPromptShare = 0.05
)

// urgency returns the urgency of a model request. It follows the rule's priority, but
// short prompts go first and late requests last.
func (c *call) urgency(p *assignment) int {
	short := time.Duration(shortPromptShare * float64(c.rule.Objective))
	switch {
	case c.late:
		return lowestUrgency
	case p.plan.PrefillTime <= short:
		return 0
	default:
		return min(lowestUrgency-1, c.priority()+1)
	}
}

// priority returns the rank of the request: its organisation's, or else its rule's.
func (c *call) priority() int {
	if p := c.identity.priority; p != nil {
		return max(0, *p)
	}
	return c.rule.Priority
}

func (c *call) resumeAfter() int {
	if c.stream != nil {
		return c.stream.lastEvent
	}
	return c.ResumeAfter
}

func mayHaveReached(err error) bool {
	var lost *exchange.NoResponseError
	return errors.As(err, &lost)
}

func outcomeOfError(ctx context.Context, err error) placement.Outcome {
	switch {
	case errors.Is(err, exchange.ErrResponseTooLarge):
		return placement.Failed // it is reached
	case errors.Is(err, bodylimit.ErrExceeded):
		return placement.Cancelled // others hold the memory
	case errors.Is(context.Cause(ctx), errStalled):
		return placement.Stalled
	case errors.Is(context.Cause(ctx), errPathLost):
		return placement.Unreachable
	case errors.Is(ctx.Err(), context.Canceled):
		return placement.Cancelled
	case ctx.Err() != nil:
		return placement.Failed // the deadline passed
	default:
		return placement.Unreachable
	}
}

func outcomeOfRefusal(status int) placement.Outcome {
	switch {
	case status == http.StatusMisdirectedRequest:
		return placement.Replaced
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return placement.Refused
	default:
		return placement.Failed
	}
}

// send sends the request and relays the response to the caller.
func (c *call) send(ctx context.Context, p *assignment, handoff Handoff) result {
	if f := c.contextFailure(ctx); f != nil {
		return result{execution: dispatch.NotSent, outcome: placement.Cancelled, err: errors.New(f.message)}
	}
	ctx, watch := c.watchForStall(ctx, p)
	defer watch.stop()
	resp, err := c.relay.connsTo(p.target).Do(ctx, c.newRequest(p.target, p, c.decodeAttempt(p, handoff)))
	if err != nil {
		watch.disarm()
		return c.sendFailed(ctx, p, err)
	}
	defer resp.Close()
	switch class := c.relay.cfg.Dialect.Classify(resp.Status, resp.Header); class {
	case NotRun, WrongUpstream:
		watch.disarm()
		c.excludeRefusing(p.target.ID)
		_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxResponseBytes)) // frees the connection
		res := result{execution: dispatch.NotRun, reachedUpstream: true, outcome: outcomeOfRefusal(resp.Status), status: resp.Status, err: errNotRun}
		if class == NotRun {
			res.outcome = placement.Refused
		} else if c.relay.cfg.OnReplaced != nil {
			c.relay.cfg.OnReplaced(p.target.ID)
		}
		return res
	case Unsigned:
		watch.disarm()
		c.recordRun(p)
		return c.lostResult(p, placement.Failed, errUnsigned)
	}
	c.recordRun(p)
	if c.rule.Stream && resp.Status == http.StatusOK {
		return c.relayStream(ctx, p, resp, watch)
	}
	watch.disarm()
	if took := time.Since(p.sentAt); p.peer == nil && c.Generation == nil && watch.measures(took) {
		c.relay.responseTimes.record(c.responseKind(), took)
	}
	return c.relayResponse(ctx, p, resp)
}

// excludeRefusing excludes an upstream that has refused the call; for a while if it is one of the few at which the call
// may go on, or all others are excluded at which a stream may go on that its caller takes up.
func (c *call) excludeRefusing(id string) {
	if c.goesOnOnly() && slices.Contains(c.returnedFrom, id) || c.isTakenUp() && !c.hasOther(id) {
		c.silent = append(c.silent, silentUpstream{id: id, at: time.Now()})
		return
	}
	c.excluded = append(c.excluded, id)
}

var (
	errNotRun         = errors.New("the upstream did not run the request")
	errUnsigned       = errors.New("the response lacks the upstream's signature")
	errUpstreamFailed = errors.New("the upstream failed")
)

func (c *call) sendFailed(ctx context.Context, p *assignment, err error) result {
	if errors.Is(err, errReplaced) {
		c.handoff = Handoff{}
	}
	if notAdmitted(err) {
		return result{execution: dispatch.NotSent, outcome: placement.Cancelled, err: err}
	}
	outcome := outcomeOfError(ctx, err)
	err = withStallError(ctx, err)
	if !mayHaveReached(err) {
		c.excluded = append(c.excluded, p.target.ID)
		return result{execution: dispatch.NotSent, outcome: outcome, err: err}
	}
	c.recordRun(p)
	return c.lostResult(p, outcome, err)
}

// notAdmitted reports whether an attempt was stopped by the checks right before it is sent.
func notAdmitted(err error) bool {
	return errors.Is(err, ErrHeldBack) || errors.Is(err, errReplaced) || errors.Is(err, errIdentityChanged) ||
		errors.Is(err, errQuarantined) || errors.Is(err, errSuspected) || errors.Is(err, errOtherVersion) ||
		errors.Is(err, errTooLate) || errors.Is(err, errCallerLeft)
}

// recordBegun reports that the request began to run at an upstream some time ago. Only its first
// run counts.
func (c *call) recordBegun(ago time.Duration) {
	if c.begun || c.identity.organisation == "" || c.relay.cfg.OnBegun == nil {
		return
	}
	c.begun = true
	c.relay.cfg.OnBegun(c.identity.organisation, ago)
}

// recordRun counts an attempt that may have run, unless it goes on where the call has run before. A stream begins to run
// with its first event.
func (c *call) recordRun(p *assignment) {
	if !slices.Contains(c.returnedFrom, p.target.ID) {
		c.attempts.RecordAttempt()
	}
	c.attempts.RecordRun()
	c.lastRun = p.target.ID
	if !c.rule.Stream {
		c.recordBegun(time.Since(p.sentAt))
	}
}

// lostResult returns the result of an attempt that may have run but gave no usable
// response, and excludes its upstream from retries, for a while if it was silent.
func (c *call) lostResult(p *assignment, o placement.Outcome, err error) result {
	c.failedThere(p.target.ID)
	if o == placement.Stalled {
		c.silent = append(c.silent, silentUpstream{id: p.target.ID, at: time.Now()})
	} else {
		c.excluded = append(c.excluded, p.target.ID)
	}
	return result{execution: dispatch.MayHaveRun, reachedUpstream: true, outcome: o, err: err}
}

// relayResponse reads the complete response before sending any of it to the caller: a
// truncated one must not look complete, and may be retried.
func (c *call) relayResponse(ctx context.Context, p *assignment, resp *exchange.Response) result {
	body, err := resp.ReadAll(maxResponseBytes)
	if err != nil {
		return c.lostResult(p, outcomeOfError(ctx, err), err)
	}
	// A stream that has begun may only go on with events: the body of another response
	// after them would end it as if it were complete.
	if c.stream != nil || p.peer == nil && c.worthRetrying(resp.Status) {
		res := c.lostResult(p, placement.Failed, errUpstreamFailed)
		res.status = resp.Status
		return res
	}
	if assertsNotRun(resp.Status) {
		// The upstream has run the request, but these statuses would tell the
		// caller that it hasn't run.
		return c.lostResult(p, placement.Failed, errUpstreamFailed)
	}
	c.copyResponseHeaders(p.target, resp.Header)
	length := int64(len(body))
	if c.in.Method == http.MethodHead {
		length = resp.Length // of the body that a GET would get
	}
	if length >= 0 {
		c.out.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.out.WriteHeader(resp.Status)
	_, _ = c.out.Write(body) // fails only if the caller has gone
	outcome := placement.Done
	if resp.Status >= http.StatusInternalServerError {
		outcome = placement.Failed
	}
	return result{done: true, outcome: outcome, status: resp.Status, reachedUpstream: true}
}

// worthRetrying reports whether a response with this status should be dropped in favour
// of a retry at another upstream.
func (c *call) worthRetrying(status int) bool {
	return status >= http.StatusInternalServerError &&
		c.attempts.MayRetry(0) &&
		time.Until(c.deadline) > minAttemptTime
}

// assertsNotRun reports whether a status guarantees that the request has not run.
func assertsNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
