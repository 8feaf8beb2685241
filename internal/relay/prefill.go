package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
)

const (
	// prefillFactor times the expected time and prefillSlack bound the wait for a
	// prompt to be read: a silent engine shows no other sign. The slack is what a lost
	// packet's repetition takes, 200 ms and a little more, whatever the engine's speed.
	prefillFactor = 4
	prefillSlack  = 250 * time.Millisecond
	// releaseTimeout bounds the call that frees a KV cache that nobody fetches.
	releaseTimeout = time.Second
)

// maxKeptTries is how many engines may turn a KV cache away before the prompt is
// read anew: the cache itself may be what can't be had.
const maxKeptTries = 2

// noteKept decides after an attempt whether the KV cache is still of use.
func (c *call) noteKept(res result) {
	switch {
	case c.kept.Handle == "":
	case res.done || res.fate == dispatch.MayHaveRun:
		c.kept = Handoff{} // taken over
	case res.arrived:
		if c.keptTries++; c.keptTries >= maxKeptTries {
			c.releaseKept()
		}
	}
}

// releaseKept frees the KV cache that nobody has taken over.
func (c *call) releaseKept() {
	if c.kept.Handle != "" {
		c.release(c.keptBy, c.kept.Handle)
		c.kept = Handoff{}
	}
}

// prefill has the prompt read at the place's reader and returns the handle of
// its KV cache. Nothing runs by that.
func (c *call) prefill(ctx context.Context, p *place) (string, result) {
	// The first reading of the prompt is no repeat, any further one is.
	if c.prefills > 0 && !c.relay.cfg.Budget.Allow(c.pool) {
		p.reader.End(placement.Cancelled)
		return "", result{fate: dispatch.NotSent, outcome: placement.Cancelled, err: errNoBudget}
	}
	ctx, cancel := context.WithTimeout(ctx, prefillFactor*p.plan.FirstToken+prefillSlack)
	defer cancel()
	r := c.request(p.prefill, p, Attempt{PrefillOnly: true, FetchFrom: p.sourceAddress()})
	r.IDHeader = ""
	handle, res := c.readPrefill(ctx, p, r)
	if res.err == nil {
		c.prefills++
		p.read = time.Since(p.sentAt)
		p.reader.PrefillDone()
		p.reader.End(placement.Done)
		c.relay.Changed()
		return handle, res
	}
	if ctx.Err() != nil && c.in.Context().Err() != nil {
		res.outcome = placement.Cancelled
	}
	p.reader.End(res.outcome)
	c.exclude = append(c.exclude, p.prefill.ID)
	return "", res
}

var (
	errPrefill  = errors.New("the prompt was not read")
	errNoBudget = errors.New("too many requests are being repeated")
)

func (c *call) readPrefill(ctx context.Context, p *place, r *exchange.Request) (string, result) {
	resp, err := c.relay.connections(p.prefill).Do(ctx, r)
	if err != nil {
		return "", result{fate: dispatch.NotRun, arrived: sent(err), outcome: brokenOutcome(ctx), err: err}
	}
	defer resp.Close()
	body, err := resp.ReadAll(maxAnswer)
	if err != nil {
		return "", result{fate: dispatch.NotRun, arrived: true, outcome: placement.Failed, err: err}
	}
	if resp.Status != http.StatusOK {
		return "", result{fate: dispatch.NotRun, arrived: true, outcome: refusalOutcome(resp.Status), status: resp.Status, err: errPrefill}
	}
	handle, err := c.relay.cfg.Dialect.ParsePrefill(body)
	if err != nil {
		return "", result{fate: dispatch.NotRun, arrived: true, outcome: placement.Failed, err: err}
	}
	return handle, result{}
}

// release frees a KV cache that no engine will fetch. It goes on after the
// request has ended: memory that is never taken keeps others out for seconds.
func (c *call) release(u *fleet.Upstream, handle string) {
	method, target := c.relay.cfg.Dialect.ReleaseHandoff(handle)
	pool := c.relay.connections(u)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		resp, err := pool.Do(ctx, &exchange.Request{Method: method, Target: target, Host: u.Address, Header: http.Header{}})
		if err != nil {
			c.log.Warn("KV cache not freed", "request", c.ID, "upstream", u.ID, "handle", handle, "err", err)
			return
		}
		_, _ = io.Copy(io.Discard, resp)
		resp.Close()
	}()
}
