package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
	"tamarackchute/rules/pathset"
)

// maxAnswer bounds the answer of a plain call, in bytes.
const maxAnswer = 8 << 20

// result is how an attempt ended.
type result struct {
	// done says that the caller has its answer.
	done bool
	fate dispatch.Fate
	// arrived says that an upstream got the request.
	arrived bool
	outcome placement.Outcome
	status  int
	err     error
}

// attempt sends the request to a place.
func (c *call) attempt(ctx context.Context, p *place) result {
	p.sentAt = time.Now()
	p.after = c.resumeAfter()
	if p.prefill != nil {
		handle, res := c.prefill(ctx, p)
		if res.err != nil {
			p.ticket.End(placement.Cancelled)
			return res
		}
		c.kept, c.keptBy, c.keptTries = Handoff{Address: p.prefill.Address, Handle: handle}, p.prefill, 0
	}
	if c.kept.Handle != "" {
		p.ticket.HandoffStarted()
	}
	res := c.send(ctx, p, c.kept)
	p.ticket.End(res.outcome)
	c.noteKept(res)
	c.relay.Changed()
	return res
}

// sending is what the sending to the generating engine adds to the request's head.
func (c *call) sending(p *place, handoff Handoff) Attempt {
	a := Attempt{Handoff: handoff}
	if p.prefill == nil {
		a.FetchFrom = p.sourceAddress()
	}
	return a
}

// sourceAddress is where shared parts are fetched from, empty if nowhere.
func (p *place) sourceAddress() string {
	if p.source == nil {
		return ""
	}
	return p.source.Address
}

func (c *call) request(u *fleet.Upstream, p *place, a Attempt) *exchange.Request {
	d := c.relay.cfg.Dialect
	h := d.Forwarded(c.in.Header)
	a.Upstream = u.ID
	if c.Patience > 0 || c.rule.Timeout > 0 {
		a.Left = max(time.Millisecond, time.Until(c.deadline))
	}
	a.Urgency = -1
	if c.Generation != nil {
		a.Urgency = c.urgency(p)
	}
	a.ResumeAfter = c.resumeAfter()
	d.Apply(h, a)
	return &exchange.Request{
		Method:   c.in.Method,
		Target:   c.in.RequestURI,
		Host:     c.in.Host,
		Header:   h,
		Body:     c.body,
		IDHeader: d.RequestIDHeader(),
		ID:       c.ID,
		Once:     c.rule.Repeat == pathset.Once,
	}
}

const (
	// leastUrgent is the urgency of requests that others go before.
	leastUrgent = 9
	// briefShare is the share of the objective within which a prompt is read that goes
	// before all others: it delays them by no more than that, while behind a steady
	// flow of more urgent ones it would wait without end.
	briefShare = 0.05
)

// urgency follows the rule's priority, but for prompts that are read in no time, which
// go first, and answers that will be late, which come last.
func (c *call) urgency(p *place) int {
	brief := time.Duration(briefShare * float64(c.rule.Objective))
	switch {
	case c.behind:
		return leastUrgent
	case p.plan.PrefillTime <= brief:
		return 0
	default:
		return min(leastUrgent-1, c.rule.Priority+1)
	}
}

func (c *call) resumeAfter() int {
	if c.stream != nil {
		return c.stream.last
	}
	return c.ResumeAfter
}

func sent(err error) bool {
	var lost *exchange.LostError
	return errors.As(err, &lost)
}

func brokenOutcome(ctx context.Context) placement.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return placement.Unreachable
	case errors.Is(ctx.Err(), context.Canceled):
		return placement.Cancelled
	case ctx.Err() != nil:
		return placement.Failed // too slow
	default:
		return placement.Unreachable
	}
}

func refusalOutcome(status int) placement.Outcome {
	switch {
	case status == http.StatusMisdirectedRequest:
		return placement.Replaced
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return placement.Refused
	default:
		return placement.Failed
	}
}

// send sends the request and brings the answer to the caller.
func (c *call) send(ctx context.Context, p *place, handoff Handoff) result {
	if f := c.ended(ctx); f != nil {
		return result{fate: dispatch.NotSent, outcome: placement.Cancelled, err: errors.New(f.message)}
	}
	ctx, watch := c.watchSilence(ctx, p)
	defer watch.end()
	resp, err := c.relay.connections(p.target).Do(ctx, c.request(p.target, p, c.sending(p, handoff)))
	if err != nil {
		return c.sendFailed(ctx, p, err)
	}
	defer resp.Close()
	switch verdict := c.relay.cfg.Dialect.Judge(resp.Status, resp.Header); verdict {
	case NotRun, WrongUpstream:
		c.exclude = append(c.exclude, p.target.ID)
		_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxAnswer)) // frees the connection
		res := result{fate: dispatch.NotRun, arrived: true, outcome: refusalOutcome(resp.Status), status: resp.Status, err: errNotRun}
		if verdict == NotRun {
			res.outcome = placement.Refused
		} else if c.relay.cfg.Replaced != nil {
			c.relay.cfg.Replaced(p.target.ID)
		}
		return res
	case Unsigned:
		c.noteRun()
		return c.lost(p, placement.Failed, errUnsigned)
	}
	c.noteRun()
	if c.rule.Stream && resp.Status == http.StatusOK {
		return c.relayStream(ctx, p, resp, watch)
	}
	watch.heard()
	return c.relayPlain(ctx, p, resp)
}

var (
	errNotRun   = errors.New("the upstream did not run the request")
	errUnsigned = errors.New("the answer isn't the upstream's own")
	errStatus   = errors.New("the upstream failed")
)

func (c *call) sendFailed(ctx context.Context, p *place, err error) result {
	outcome := brokenOutcome(ctx)
	err = tellSilence(ctx, err)
	if !sent(err) {
		c.exclude = append(c.exclude, p.target.ID)
		return result{fate: dispatch.NotSent, outcome: outcome, err: err}
	}
	c.noteRun()
	return c.lost(p, outcome, err)
}

// noteRun counts an attempt that may have run.
func (c *call) noteRun() {
	c.tries.Count()
	c.tries.NoteRun()
}

// lost is the result of an attempt that may have run without a usable answer.
func (c *call) lost(p *place, o placement.Outcome, err error) result {
	c.exclude = append(c.exclude, p.target.ID)
	return result{fate: dispatch.MayHaveRun, arrived: true, outcome: o, err: err}
}

// relayPlain reads the whole answer before the caller gets any of it: one that
// is cut short must not look complete, and may be asked for again.
func (c *call) relayPlain(ctx context.Context, p *place, resp *exchange.Response) result {
	body, err := resp.ReadAll(maxAnswer)
	if err != nil {
		return c.lost(p, brokenOutcome(ctx), err)
	}
	// A stream that has begun goes on event by event or not at all: behind its events
	// another answer's body would end it as if it were whole.
	if c.stream != nil || c.worthAnother(resp.Status) {
		res := c.lost(p, placement.Failed, errStatus)
		res.status = resp.Status
		return res
	}
	if isPromise(resp.Status) {
		// The upstream has run the request, and these statuses would tell the
		// caller that nobody has.
		return c.lost(p, placement.Failed, errStatus)
	}
	c.relay.cfg.Dialect.Returned(c.out.Header(), resp.Header)
	c.out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.out.WriteHeader(resp.Status)
	_, _ = c.out.Write(body) // a caller that has gone needs no answer
	outcome := placement.Done
	if resp.Status >= http.StatusInternalServerError {
		outcome = placement.Failed
	}
	return result{done: true, outcome: outcome, status: resp.Status, arrived: true}
}

// worthAnother reports whether an upstream's failure is better answered by
// another upstream.
func (c *call) worthAnother(status int) bool {
	return status >= http.StatusInternalServerError &&
		c.tries.MayRepeat(0) &&
		time.Until(c.deadline) > leastLeft
}

// isPromise reports whether a status says that a request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
