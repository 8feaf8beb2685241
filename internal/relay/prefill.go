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
	// A prefill times out after prefillTimeoutFactor times its expected time plus
	// prefillSlack; a stalled engine shows no other sign. The slack covers the
	// retransmission of a lost packet, which takes 200 ms at least.
	prefillTimeoutFactor = 4
	prefillSlack         = 250 * time.Millisecond
	// releaseTimeout is the timeout of the request that frees an unused KV cache.
	releaseTimeout = time.Second
)

// maxHandoffRefusals is how many engines may refuse a KV cache before the prefill is
// repeated: the cache itself may be unavailable.
const maxHandoffRefusals = 2

// updateHandoff updates the handoff after an attempt.
func (c *call) updateHandoff(res result) {
	switch {
	case c.handoff.Handle == "":
	case res.done || res.execution == dispatch.MayHaveRun:
		c.handoff = Handoff{} // transferred
	case res.reachedUpstream:
		if c.handoffRefusals++; c.handoffRefusals >= maxHandoffRefusals {
			c.dropHandoff()
		}
	}
}

// dropHandoff frees the KV cache that no engine has transferred.
func (c *call) dropHandoff() {
	if c.handoff.Handle != "" && !c.handoffLost() {
		c.releaseKV(c.handoffFrom, c.handoff.Handle)
	}
	c.handoff = Handoff{}
}

// handoffLost reports whether the engine that held the KV cache has been replaced. Another
// one at its address may have given the same handle to another request.
func (c *call) handoffLost() bool {
	if c.handoff.Handle == "" {
		return false
	}
	u := c.relay.cfg.State.Snapshot().Upstreams[c.handoffFrom.ID]
	return u == nil || !u.SameIncarnation(c.handoffFrom) || u.Address != c.handoffFrom.Address
}

// prefill does the prefill at the assignment's prefill engine and returns the handle of
// the KV cache. A prefill doesn't count as running the request.
func (c *call) prefill(ctx context.Context, p *assignment) (string, result) {
	// The first prefill is part of the request, any further one is a retry.
	if c.prefills > 0 && !c.takePrefillReserve() && !c.relay.cfg.RetryBudget.AllowRetry(c.pool) {
		p.prefillTicket.End(placement.Cancelled)
		return "", result{execution: dispatch.NotSent, outcome: placement.Cancelled, err: errNoBudget}
	}
	ctx, cancel := context.WithTimeout(ctx, prefillTimeoutFactor*p.plan.FirstToken+prefillSlack)
	defer cancel()
	r := c.newRequest(p.prefill, p, Attempt{PrefillOnly: true, KVSource: c.sourceAddress(p)})
	handle, res := c.sendPrefill(ctx, p, r)
	c.endPrefillRun(ctx, res)
	if res.err == nil {
		c.prefills++
		p.prefillTime = time.Since(p.sentAt)
		c.relay.recordHeard(p.prefillTicket.PrefillDone(), p.prefill, c.ID)
		c.endTicket(p.prefill, p.prefillTicket, result{outcome: placement.Done})
		c.relay.WakeWaiting()
		return handle, res
	}
	if ctx.Err() != nil && c.in.Context().Err() != nil {
		res.outcome = placement.Cancelled
	}
	res.prefillSilent = ctx.Err() != nil
	c.endTicket(p.prefill, p.prefillTicket, res)
	if !notAdmitted(res.err) {
		c.excluded = append(c.excluded, p.prefill.ID)
	}
	return "", res
}

// takePrefillReserve reports whether the retry budget has counted the prefill already.
func (c *call) takePrefillReserve() bool {
	reserved := c.prefillReserved
	c.prefillReserved = false
	return reserved
}

var (
	errPrefill  = errors.New("prefill failed")
	errNoBudget = errors.New("the retry budget allows no further prefill")
	errReplaced = errors.New("the engine that did the prefill has been replaced")
)

func (c *call) sendPrefill(ctx context.Context, p *assignment, r *exchange.Request) (string, result) {
	resp, err := c.relay.connsTo(p.prefill).Do(ctx, r)
	if notAdmitted(err) {
		return "", result{execution: dispatch.NotSent, outcome: placement.Cancelled, err: err}
	}
	if err != nil {
		return "", result{execution: dispatch.NotRun, reachedUpstream: mayHaveReached(err), outcome: outcomeOfError(ctx, err), err: err}
	}
	defer resp.Close()
	body, err := resp.ReadAll(maxResponseBytes)
	if err != nil {
		return "", result{execution: dispatch.NotRun, reachedUpstream: true, outcome: placement.Failed, err: err}
	}
	if resp.Status != http.StatusOK {
		return "", result{execution: dispatch.NotRun, reachedUpstream: true, outcome: outcomeOfRefusal(resp.Status), status: resp.Status, err: errPrefill}
	}
	handle, err := c.relay.cfg.Dialect.ParsePrefill(body)
	if err != nil {
		return "", result{execution: dispatch.NotRun, reachedUpstream: true, outcome: placement.Failed, err: err}
	}
	return handle, result{}
}

// releaseKV frees a KV cache that no engine will transfer. It continues after the request
// has ended: otherwise the memory would stay occupied for seconds.
func (c *call) releaseKV(u *fleet.Upstream, handle string) {
	method, target := c.relay.cfg.Dialect.ReleaseHandoff(handle)
	pool := c.relay.connsTo(u)
	r := &exchange.Request{Method: method, Target: target, Host: u.Address, Header: http.Header{}, Admit: c.relay.admit(u)}
	c.relay.cfg.Dialect.SetAttemptHeaders(r.Header, Attempt{Upstream: u.ID, Urgency: -1})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		resp, err := pool.Do(ctx, r)
		if err != nil {
			c.log.Warn("KV cache not freed", "request", c.ID, "upstream", u.ID, "handle", handle, "err", err)
			return
		}
		_, _ = io.Copy(io.Discard, resp)
		resp.Close()
	}()
}
