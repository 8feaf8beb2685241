package relay

import (
	"errors"
	"net/http"
	"slices"

	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
)

// A daemon that stops returns what it does for another daemon, which has the caller and goes on with it. A response
// that has begun then ends properly, with a returnedCall in its trailer, so only a daemon that has sent a
// returnableCall gets one: others would take it for the whole.
const (
	// returnableHeader carries a returnableCall in a forwarded request, returnedHeader a returnedCall in the head or the
	// trailer of its response.
	returnableHeader = "Tamarackchute-Returnable"
	returnedHeader   = "Tamarackchute-Returned"
)

// maxReturns limits how often a request goes on without another attempt after other daemons have left it, and the
// upstreams that are remembered for that.
const maxReturns = 8

// returnableCall says that a request is taken back from a daemon that stops.
type returnableCall struct {
	// ReturnedFrom names the upstreams that have run it so far, and were left for no fault of theirs.
	ReturnedFrom []string
}

// returnedCall says how far a daemon has come with a request that it doesn't end.
type returnedCall struct {
	// Reason says why.
	Reason string
	// Sound means that nothing has failed at Upstream: the daemon stops, or has lost its path.
	Sound bool
	// RetryCounted means that the daemon has counted the next retry against its share of the retry budget.
	RetryCounted bool
	// Upstream ran the request last.
	Upstream string
	// Attempts and Prefills count those made, those of the forwarding daemon included.
	Attempts, Prefills int
}

var (
	// errReturned says that another daemon can't end a request, though nothing has failed.
	errReturned = errors.New("the other daemon has returned the request")
	// errHopLost says that the connection to another daemon broke after a stream had begun.
	errHopLost = errors.New("the other daemon is lost")
	// errPeerFailed says that another daemon has failed a stream that it had begun.
	errPeerFailed = errors.New("the other daemon has failed the stream")
)

// isReturnable reports whether the daemon that forwarded the call takes it back, and may go on with it although it has
// run.
func (c *call) isReturnable() bool {
	return c.forwarded != nil && c.forwarded.returnable != nil && c.attempts.Repeatable()
}

// ranHere reports whether an attempt of this daemon may have run the call.
func (c *call) ranHere() bool {
	return c.attempts.MayHaveRun() && (c.forwarded == nil || c.lastRun != "")
}

// returned describes a call that this daemon doesn't end.
func (c *call) returned(why reason) returnedCall {
	sound := c.isReturnable() && leavesSound(why)
	return returnedCall{
		Reason: string(why), Sound: sound, RetryCounted: sound && c.relay.cfg.RetryBudget.AllowRetry(c.pool),
		Upstream: c.lastRun, Attempts: c.attempts.Attempts(), Prefills: c.prefills,
	}
}

// leavesSound reports whether a daemon that fails a call for this reason says nothing against its upstreams.
func leavesSound(why reason) bool { return why == reasonShuttingDown || why == reasonUnreachable }

// addReturn adds to the head of a failed response that the daemon which forwarded the request may go on with it.
func (c *call) addReturn(h http.Header, f *failure) {
	if leavesSound(f.reason) && c.isReturnable() && c.ranHere() {
		h.Set(returnedHeader, encodeHeader(c.returned(f.reason)))
	}
}

// endForwardedStream ends a forwarded stream that has begun and can't be completed here, if the daemon that forwarded
// it expects that.
func (c *call) endForwardedStream(f *failure) bool {
	if c.forwarded == nil || c.forwarded.returnable == nil || c.in.Context().Err() != nil {
		return false
	}
	c.out.Header().Set(http.TrailerPrefix+returnedHeader, encodeHeader(c.returned(f.reason)))
	return true
}

// returnedIn returns what the head or the trailer of a daemon's response says of a request that it hasn't ended.
func returnedIn(h http.Header) (returnedCall, bool) {
	if h.Get(returnedHeader) == "" {
		return returnedCall{}, false
	}
	var r returnedCall
	if decodeHeader(h, returnedHeader, &r) != nil {
		return returnedCall{}, true // its stream isn't whole, whatever else it says
	}
	return r, true
}

// takeBack returns the result of an attempt at a daemon that hasn't ended the request.
func (c *call) takeBack(p *assignment, r returnedCall) result {
	begun := c.begun || c.stream != nil || !c.rule.Stream
	c.recordForwardedRun(r.Attempts - c.attempts.Attempts())
	c.begun = begun
	c.prefills = max(c.prefills, r.Prefills)
	res := result{execution: dispatch.MayHaveRun, reachedUpstream: true, outcome: placement.Cancelled, err: errPeerFailed}
	if r.Sound {
		res.err = errReturned
		if r.RetryCounted {
			c.retryReserved.Store(true)
		}
		c.leftWithoutFault(r.Upstream)
		c.relay.forwarder.refused(*p.peer, avoidAfter(reason(r.Reason)))
	}
	c.relay.metrics.recordReturn(c.pool, r.Sound)
	c.log.Info("taken back", "request", c.ID, "from", p.target.ID, "reason", r.Reason, "sound", r.Sound, "at", r.Upstream,
		"attempts", c.attempts.Attempts(), "returns", c.returns, "retry_counted", r.RetryCounted, "last_event", c.resumeAfter())
	return res
}

// leftWithoutFault records that the call has left an upstream which ran it and is sound: it may go on there, which is no
// further attempt.
func (c *call) leftWithoutFault(upstream string) {
	c.excluded = slices.DeleteFunc(c.excluded, func(id string) bool { return id == upstream })
	if upstream != "" && len(c.returnedFrom) < maxReturns && !slices.Contains(c.returnedFrom, upstream) {
		c.returnedFrom = append(c.returnedFrom, upstream)
	}
}

// failedThere records that an attempt at an upstream has failed: it isn't another one's fault any more that the call
// left it.
func (c *call) failedThere(upstream string) {
	c.returnedFrom = slices.DeleteFunc(c.returnedFrom, func(id string) bool { return id == upstream })
}

// decideReturn decides whether a call that has used up its attempts, and was left by another daemon, goes on at an
// upstream that has run it.
func (c *call) decideReturn(err error) dispatch.Decision {
	if !errors.Is(err, errReturned) && !errors.Is(err, errHopLost) || c.returns >= maxReturns || !c.canGoOn() {
		return dispatch.AttemptsExhausted
	}
	c.returns++
	return c.attempts.Repeat()
}

// goesOnOnly reports whether the call may only go on at upstreams that have run it.
func (c *call) goesOnOnly() bool { return len(c.returnedFrom) > 0 && c.attempts.Exhausted() }

// canGoOn reports whether an upstream that has run the call still takes requests.
func (c *call) canGoOn() bool {
	upstreams := c.relay.cfg.State.Snapshot().Upstreams
	return slices.ContainsFunc(c.returnedFrom, func(id string) bool {
		u := upstreams[id]
		return u != nil && !u.Draining && !slices.Contains(c.excluded, id)
	})
}

// beyondAttempts returns the upstreams of the pool at which the call would need another attempt, if it has none left.
func (c *call) beyondAttempts(s *fleet.Snapshot) []string {
	if !c.goesOnOnly() {
		return nil
	}
	var others []string
	for _, u := range s.Pools[c.pool] {
		if !slices.Contains(c.returnedFrom, u.ID) {
			others = append(others, u.ID)
		}
	}
	return others
}
