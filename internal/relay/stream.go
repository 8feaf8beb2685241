package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"tamarackchute/internal/crash"
	"tamarackchute/internal/exchange"
	"tamarackchute/placement"
)

// streamState is the state of the stream to the caller, across attempts.
type streamState struct {
	// lastEvent is the id of the last event sent to the caller.
	lastEvent int
	flusher   *http.ResponseController
	// longestGap is the longest time between two events so far.
	longestGap time.Duration
	lastAt     time.Time
	started    time.Time
}

// errEmptyStream is returned for a stream of which only the end of its connection came: an upstream that
// has crashed ends it in the same way.
var errEmptyStream = errors.New("the stream ended with its connection before the first event")

var errEventGap = errors.New("events are missing from the stream")

// relayStream sends complete events to the caller as they arrive, each once. The headers
// are sent with the first event, so that a failure before it can still be retried.
func (c *call) relayStream(ctx context.Context, p *assignment, resp *exchange.Response, watch *stallWatchdog) result {
	events := newEventReader(resp)
	events.hold = resp.Hold
	first := true
	for {
		e, err := events.next()
		watch.disarm()
		if err == io.EOF && p.peer != nil {
			if returned, ok := returnedIn(resp.Trailer()); ok {
				return c.takeBack(p, returned)
			}
		}
		if err == io.EOF && first && !resp.Framed && p.resumedAfter == 0 {
			err = errEmptyStream
		}
		if err == io.EOF {
			return c.endStream(p, resp)
		}
		if err != nil {
			return c.failStream(ctx, p, err)
		}
		if first {
			first = false
			p.firstEventTime = time.Since(p.sentAt)
			if p.prefill == nil {
				p.prefillTime = p.firstEventTime
			} else {
				p.ticket.HandoffDone()
			}
			c.relay.recordHeard(p.ticket.PrefillDone(), p.target, c.ID)
			c.recordBegun(0) // another daemon has counted a forwarded request
			c.relay.WakeWaiting()
		}
		if s := c.stream; s != nil {
			c.relay.recordHeard(p.ticket.RecordGap(time.Since(s.lastAt)), p.target, c.ID)
		}
		if p.peer == nil {
			c.relay.paths.Tracker.Answered(c.pool)
		}
		if err := c.deliver(p, e, resp); err != nil {
			return c.failStream(ctx, p, err)
		}
		if events := c.eventsOf(p); events == crash.ClearAfterTokens && c.inFlight != nil {
			c.inFlight.Progress(&c.content)
			c.endTrial()
		}
		watch.arm(c.eventGapTimeout(p))
	}
}

// deliver sends one event to the caller. Events that were sent already are skipped: an
// upstream that resumes after an event may send it again.
func (c *call) deliver(p *assignment, e event, resp *exchange.Response) error {
	if e.id > 0 {
		last := c.resumeAfter()
		if e.id <= last {
			return nil
		}
		if e.id > last+1 {
			return errEventGap
		}
	}
	if c.stream == nil {
		c.beginStream(p, resp)
	}
	s := c.stream
	if e.id > 0 {
		s.lastEvent = e.id
	}
	now := time.Now()
	s.longestGap = max(s.longestGap, now.Sub(s.lastAt))
	s.lastAt = now
	if _, err := c.out.Write(e.raw); err != nil {
		return err
	}
	return s.flusher.Flush()
}

func (c *call) beginStream(p *assignment, resp *exchange.Response) {
	now := time.Now()
	c.runsUntilExit.Store(!c.isReturnable())
	c.recordOrigin(p.target)
	c.stream = &streamState{lastEvent: c.ResumeAfter, flusher: http.NewResponseController(c.out), lastAt: now, started: now}
	c.copyResponseHeaders(p.target, resp.Header)
	c.out.WriteHeader(resp.Status)
}

// endStream ends the caller's stream after the upstream has ended it properly. A stream
// without events to send is passed on as it is.
func (c *call) endStream(p *assignment, resp *exchange.Response) result {
	if c.stream == nil {
		c.beginStream(p, resp)
	}
	if p.firstEventTime > 0 && p.resumedAfter == 0 {
		p.ticket.RecordStream(c.stream.lastEvent, time.Since(p.sentAt)-p.firstEventTime)
	}
	return result{done: true, reachedUpstream: true, outcome: placement.Done, status: resp.Status}
}

func (c *call) failStream(ctx context.Context, p *assignment, err error) result {
	if c.stream != nil {
		err = errors.Join(err, errors.New("the stream broke off"))
	}
	if p.peer != nil && c.stream != nil && (ctx.Err() == nil || gaveUp(context.Cause(ctx))) {
		c.lostPeer, c.lostPeerAt = p.peer.Address, time.Now()
		c.leftWithoutFault(p.peerUpstream)
		err = errors.Join(errHopLost, err)
	}
	return c.lostResult(p, outcomeOfError(ctx, err), withStallError(ctx, err))
}
