package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/telemetry"
	"tamarackchute/placement"
	"tamarackchute/rules/pathset"
)

const (
	// maxForwardTries is the number of daemons to which one request is offered.
	maxForwardTries = 3
	// maxForwarding limits the requests that are forwarded at the same time, as their bodies are kept.
	maxForwarding = 256
	// forwardDialTimeout limits the time to connect to another daemon, which takes milliseconds.
	forwardDialTimeout = 250 * time.Millisecond
	// avoidIncapable, avoidOutdated and avoidUnreachable are how long a daemon gets no further requests
	// that has said that it can't serve them, that its configuration is older, or that wasn't reached.
	avoidIncapable   = 300 * time.Millisecond
	avoidOutdated    = 30 * time.Millisecond
	avoidUnreachable = time.Second
	// forwardReserve is the part of the remaining time that isn't passed on, so that the other
	// daemon's response to a missed deadline arrives before this daemon's own.
	forwardReserve = 5 * time.Millisecond
	// forwardStallFactor lengthens the timeouts for silence of another daemon: it has the same ones
	// for its upstream, and may send the request to another one after that.
	forwardStallFactor = 2
	// pathRecheck is how often a request that waits for a path looks for one.
	pathRecheck = 100 * time.Millisecond
)

// forwardResult says how an attempt to forward a request ended.
type forwardResult uint8

const (
	// notForwarded means that no other daemon has taken the request.
	notForwarded forwardResult = iota
	// forwardEnded means that the request has been answered, or has failed for good.
	forwardEnded
	// forwardBroke means that the request may have run elsewhere, and may be tried again.
	forwardBroke
)

// assignOrForward assigns the request to an upstream, or lets another daemon serve it: at once if the
// path to the pool is lost or the configuration here is outdated, otherwise if no upstream is found that
// others may reach.
func (c *call) assignOrForward(ctx context.Context) (*assignment, forwardResult, *failure) {
	waiting := false
	for {
		p, result, f := c.assignOrForwardOnce(ctx)
		if f == nil || result != notForwarded || !c.waitsForAPath(f) {
			return p, result, f
		}
		if !waiting {
			waiting = true
			c.log.Info("waits for a path", "request", c.ID, "pool", c.pool, "left_ms", telemetry.Millis(time.Until(c.deadline)), "last_event", c.resumeAfter())
		}
		if f := c.pause(ctx, pathRecheck); f != nil {
			return nil, notForwarded, f
		}
	}
}

// waitsForAPath reports whether a call that can't be refused any more waits until this daemon, or another one, reaches an
// upstream.
func (c *call) waitsForAPath(f *failure) bool {
	return c.forwarded == nil && f.reason == reasonUnreachable && c.hasBegun() && time.Until(c.deadline) > minAttemptTime
}

// pause waits, and returns a failure if the call ends meanwhile.
func (c *call) pause(ctx context.Context, d time.Duration) *failure {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return c.contextFailure(ctx)
	case <-timer.C:
		return c.checkShutdown()
	}
}

// assignOrForwardOnce is assignOrForward without a wait for a path.
func (c *call) assignOrForwardOnce(ctx context.Context) (*assignment, forwardResult, *failure) {
	c.forwardRefused = false
	if c.forwardsFirst() {
		if result, f := c.forward(ctx, c.relay.notOlder); result != notForwarded {
			return nil, result, f
		}
		c.forwardRefused = true
	}
	if !c.hasBegun() && c.relay.outdated() {
		return nil, notForwarded, c.failOutdated()
	}
	p, f := c.assign(ctx)
	if f == nil || c.forwardRefused {
		return p, notForwarded, f
	}
	suits, ok := c.mayForwardAfter(f)
	if !ok {
		return nil, notForwarded, f
	}
	result, failed := c.forward(ctx, suits)
	if result == notForwarded {
		failed = f
	}
	return nil, result, failed
}

// forwardsFirst reports whether other daemons are to be asked before this one tries.
func (c *call) forwardsFirst() bool {
	return c.mayForward() && !c.forwardRefused && (c.relay.paths.IsLost(c.pool) || c.relay.outdated())
}

// mayForward reports whether the request may be forwarded: one that was forwarded already never is.
func (c *call) mayForward() bool { return c.forwarded == nil && c.relay.cfg.ForwardPeers != nil }

func anyPeer(ForwardPeer) bool { return true }

// notOlder reports whether a daemon may decide by the newest configuration known here, if this one
// mustn't decide by its own.
func (r *Relay) notOlder(p ForwardPeer) bool {
	return p.ConfigVersion == 0 || !r.outdated() || p.ConfigVersion >= r.standing().Newest
}

// mayForwardAfter reports whether other daemons may serve a request that this one can't place, and
// which ones.
func (c *call) mayForwardAfter(f *failure) (suits func(ForwardPeer) bool, ok bool) {
	if !c.mayForward() {
		return nil, false
	}
	switch f.reason {
	case reasonUnreachable:
		return anyPeer, true
	case reasonNoCapacity:
		return anyPeer, c.health().Unreachable > 0
	case reasonAllBackingOff:
		holders := c.relay.otherHolders(c.pool)
		return func(p ForwardPeer) bool { return slices.Contains(holders, p.Holder) }, len(holders) > 0
	}
	return nil, false
}

// forward offers the request to other daemons that suit it, one after the other.
func (c *call) forward(ctx context.Context, suits func(ForwardPeer) bool) (forwardResult, *failure) {
	f := c.relay.forwarder
	now := time.Now()
	peers := f.usable(c.peersFor(), func(p ForwardPeer) bool {
		return suits(p) && (p.Address != c.lostPeer || now.Sub(c.lostPeerAt) >= avoidIncapable)
	}, now)
	if len(peers) == 0 || !f.begin() {
		return notForwarded, nil
	}
	defer f.end()
	c.dropHandoff()
	for _, peer := range peers[:min(len(peers), maxForwardTries)] {
		if result, failed := c.forwardTo(ctx, peer); result != notForwarded {
			return result, failed
		}
		if f := c.contextFailure(ctx); f != nil {
			return forwardEnded, f
		}
	}
	return notForwarded, nil
}

// peersFor returns the daemons that may take the request, the best ones first. Those that stop go on only with a stream
// that has begun: others could be cut by the next exit before they are.
func (c *call) peersFor() []ForwardPeer {
	peers := c.relay.cfg.ForwardPeers(c.pool)
	if leaving := c.relay.cfg.LeavingPeers; leaving != nil && c.stream != nil {
		peers = slices.Concat(peers, leaving(c.pool))
	}
	return peers
}

// forwardTo offers the request to one daemon.
func (c *call) forwardTo(ctx context.Context, peer ForwardPeer) (forwardResult, *failure) {
	p := &assignment{target: &fleet.Upstream{ID: peer.Instance, Pool: c.pool, Address: peer.Address}, peer: &peer, sentAt: time.Now(), resumedAfter: c.resumeAfter()}
	res, failed := c.sendForwarded(ctx, p)
	c.logForward(p, res, failed)
	switch {
	case res.done:
		c.logEnd(nil)
		return forwardEnded, nil
	case failed != nil:
		return forwardEnded, failed
	case res.execution != dispatch.MayHaveRun:
		return notForwarded, nil
	}
	if failed := c.checkRetry(ctx, res); failed != nil {
		return forwardEnded, failed
	}
	return forwardBroke, nil
}

// sendForwarded sends the request to a daemon and relays its response. The failure is the other
// daemon's final one.
func (c *call) sendForwarded(ctx context.Context, p *assignment) (result, *failure) {
	ctx, watch := c.watchForStall(ctx, p)
	defer watch.stop()
	resp, err := c.relay.forwarder.connsTo(*p.peer).Do(ctx, c.newForwardedRequest())
	if err != nil {
		watch.disarm()
		return c.forwardFailed(ctx, p, err), nil
	}
	defer resp.Close()
	c.relay.forwarder.answered(*p.peer)
	var outcome forwardedOutcome
	if err := decodeHeader(resp.Header, outcomeHeader, &outcome); err != nil {
		watch.disarm()
		c.recordBrokenHop()
		return c.lostResult(p, placement.Failed, errUnsigned), nil
	}
	resp.Header.Del(outcomeHeader)
	returned, isReturned := returnedIn(resp.Header)
	resp.Header.Del(returnedHeader)
	c.relay.recordConfig(outcome.ConfigVersion)
	c.relay.recordNamed(outcome.ConfigVersion, p.peer.Instance)
	if outcome.Reason != "" {
		watch.disarm()
		_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxResponseBytes)) // frees the connection
		if isReturned && returned.Sound {
			return c.takeBack(p, returned), nil
		}
		return c.refusedByPeer(p, resp.Status, outcome)
	}
	c.recordForwardedRun(outcome.Attempts - c.attempts.Attempts())
	c.relay.observeForwarded(outcome, resp.Status, resp.Header)
	p.target.Version, p.peerUpstream = outcome.Version, outcome.Upstream
	if c.rule.Stream && resp.Status == http.StatusOK {
		return c.relayStream(ctx, p, resp, watch), nil
	}
	watch.disarm()
	return c.relayResponse(ctx, p, resp), nil
}

// newForwardedRequest returns the caller's request with what this daemon has decided so far, but for
// the upstreams that it excludes: it may be the only one that doesn't reach them. The caller's API key
// goes along: the other daemon checks it by its own configuration.
func (c *call) newForwardedRequest() *exchange.Request {
	d := c.relay.cfg.Dialect
	h := d.RequestHeaders(c.in.Header)
	h.Del(probeHeader) // a caller's
	h.Set(forwardHeader, encodeHeader(forwardedCall{
		From: c.relay.cfg.Instance, ConfigVersion: max(c.version, c.relay.requiredConfig()),
		Elapsed: time.Since(c.arrived), Remaining: time.Until(c.deadline) - forwardReserve,
		Attempts: c.attempts.Attempts(), MayHaveRun: c.attempts.MayHaveRun(), Begun: c.begun,
		Prefills: c.prefills, ResumeAfter: c.resumeAfter(),
		Retried: c.retried, DemandCounted: c.demandCounted,
		VersionFixed: c.origin.fixed, Version: c.origin.version,
	}))
	h.Set(returnableHeader, encodeHeader(returnableCall{ReturnedFrom: c.returnedFrom}))
	return &exchange.Request{
		Method: c.in.Method, Target: c.target.Origin(), Host: c.in.Host, Header: h, Body: c.body,
		Match:         exchange.EchoedID(d.RequestIDHeader(), c.ID),
		NonIdempotent: c.rule.RetryMode == pathset.NonIdempotent,
		Admit: func() error {
			return errors.Join(c.checkCaller(), c.checkIdentity(), c.checkQuarantine(), c.checkShutdownBeforeSend())
		},
	}
}

// recordForwardedRun counts attempts that another daemon has made. They are counted and billed
// there.
func (c *call) recordForwardedRun(attempts int) {
	for range attempts {
		c.attempts.RecordAttempt()
	}
	c.attempts.RecordRun()
	c.begun = true
}

// recordBrokenHop counts the attempt of another daemon from which no response came. A stream is counted
// there only with its first event, so it may not have been.
func (c *call) recordBrokenHop() {
	begun := c.begun || !c.rule.Stream
	c.recordForwardedRun(1)
	c.begun = begun
}

// forwardFailed returns the result of a request to which a daemon has given no response.
func (c *call) forwardFailed(ctx context.Context, p *assignment, err error) result {
	if notAdmitted(err) {
		return result{execution: dispatch.NotSent, outcome: placement.Cancelled, err: err}
	}
	err = withStallError(ctx, err)
	if ctx.Err() == nil || gaveUp(context.Cause(ctx)) {
		c.relay.forwarder.unreached(*p.peer, p.sentAt)
	}
	if !mayHaveReached(err) {
		return result{execution: dispatch.NotSent, outcome: placement.Unreachable, err: err}
	}
	if c.goesOnOnly() { // no upstream has run it that hadn't before
		err = errors.Join(errHopLost, err)
	} else {
		c.recordBrokenHop()
	}
	return result{execution: dispatch.MayHaveRun, reachedUpstream: true, outcome: placement.Unreachable, err: err}
}

var errPeerRefused = errors.New("the other daemon can't serve the request")

// refusedByPeer returns the result of a request that another daemon has failed. The failure is nil
// if a third one may serve it.
func (c *call) refusedByPeer(p *assignment, status int, o forwardedOutcome) (result, *failure) {
	res := result{execution: dispatch.NotRun, outcome: placement.Refused, status: status, err: errPeerRefused}
	ran := o.Attempts > c.attempts.Attempts()
	if !ran && (o.Incapable || c.stream != nil && unknownThere(reason(o.Reason))) {
		c.relay.forwarder.refused(*p.peer, avoidAfter(reason(o.Reason)))
		return res, nil
	}
	if o.MayHaveRun {
		c.recordForwardedRun(o.Attempts - c.attempts.Attempts())
		res.execution = dispatch.MayHaveRun
	}
	if c.attempts.MayHaveRun() && assertsNotRun(status) {
		return res, c.fail(reason(o.Reason), o.Message) // an attempt of this daemon may have run
	}
	f := newFailure(status, reason(o.Reason), o.Message)
	f.elsewhere = true
	return res, f.withRetryAfter(o.RetryAfter)
}

// unknownThere reports whether a daemon has refused a stream for what it doesn't know, or doesn't know any more: others may,
// and the daemon that has the caller goes on by the rule by which it has begun.
func unknownThere(why reason) bool {
	switch why {
	case reasonNoRule, reasonVersionGone, reasonVersionUnknown:
		return true
	}
	return false
}

// avoidAfter returns how long a daemon is avoided that couldn't serve a request for a reason.
func avoidAfter(why reason) time.Duration {
	switch why {
	case reasonStaleKeys:
		return 0 // it serves public requests
	case reasonOlderConfig:
		return avoidOutdated
	default:
		return avoidIncapable
	}
}

// otherHolders returns the daemons that hold shares of the limits that the upstreams of a pool name,
// if all of these name one and this daemon holds no share.
func (r *Relay) otherHolders(pool string) []string {
	if r.cfg.Limits == nil {
		return nil
	}
	var holders []string
	for _, u := range r.cfg.State.Snapshot().Pools[pool] {
		if u.Draining {
			continue
		}
		key := limitKey(u.ID, u.Started)
		if _, named := r.cfg.Limits.Book.Limit(key); !named || r.cfg.Limits.Limiter.Holds(key) {
			return nil
		}
		holders = append(holders, r.cfg.Limits.Limiter.Holders(key)...)
	}
	return holders
}
