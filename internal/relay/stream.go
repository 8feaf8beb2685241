package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"tamarackchute/internal/exchange"
	"tamarackchute/placement"
)

// streamState is the caller's side of a streamed answer.
type streamState struct {
	// last is the number of the last event that the caller has.
	last    int
	flusher *http.ResponseController
	// gap is the longest pause so far.
	gap     time.Duration
	lastAt  time.Time
	started time.Time
}

var errEventGap = errors.New("events are missing from the stream")

// relayStream passes events on as they come, each whole and once. The head goes
// out with the first of them, so that a failure before it can still be mended.
func (c *call) relayStream(ctx context.Context, p *place, resp *exchange.Response, watch *silenceWatch) result {
	events := newEventReader(resp)
	first := true
	for {
		e, err := events.next()
		watch.heard()
		if err == io.EOF {
			return c.endStream(p, resp, first)
		}
		if err != nil {
			return c.cutStream(ctx, p, err)
		}
		if first {
			first = false
			p.first = time.Since(p.sentAt)
			if p.prefill == nil {
				p.read = p.first
			} else {
				p.ticket.HandoffDone()
			}
			p.ticket.PrefillDone()
			c.relay.Changed()
		}
		if s := c.stream; s != nil {
			p.ticket.RecordGap(time.Since(s.lastAt))
		}
		if err := c.deliver(e, resp); err != nil {
			return c.cutStream(ctx, p, err)
		}
		watch.listen(c.pauseSilence())
	}
}

// deliver sends one event to the caller. Events that it has already are left
// out: an upstream that goes on from a given event may send it again.
func (c *call) deliver(e event, resp *exchange.Response) error {
	if c.stream == nil {
		c.beginStream(resp)
	}
	s := c.stream
	if e.id > 0 {
		if e.id <= s.last {
			return nil
		}
		if e.id > s.last+1 {
			return errEventGap
		}
		s.last = e.id
	}
	now := time.Now()
	s.gap = max(s.gap, now.Sub(s.lastAt))
	s.lastAt = now
	if _, err := c.out.Write(e.raw); err != nil {
		return err
	}
	return s.flusher.Flush()
}

func (c *call) beginStream(resp *exchange.Response) {
	now := time.Now()
	c.stream = &streamState{last: c.ResumeAfter, flusher: http.NewResponseController(c.out), lastAt: now, started: now}
	c.relay.cfg.Dialect.Returned(c.out.Header(), resp.Header)
	c.out.WriteHeader(resp.Status)
}

// endStream ends the caller's stream after the upstream's proper end. A stream
// without any event is passed on as it is.
func (c *call) endStream(p *place, resp *exchange.Response, empty bool) result {
	if empty && c.stream == nil {
		c.beginStream(resp)
	}
	if p.first > 0 && p.after == 0 {
		p.ticket.RecordStream(c.stream.last, time.Since(p.sentAt)-p.first)
	}
	return result{done: true, arrived: true, outcome: placement.Done, status: resp.Status}
}

func (c *call) cutStream(ctx context.Context, p *place, err error) result {
	if c.stream != nil {
		err = errors.Join(err, errors.New("the stream was cut"))
	}
	return c.lost(p, brokenOutcome(ctx), tellSilence(ctx, err))
}
