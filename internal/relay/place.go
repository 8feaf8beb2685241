package relay

import (
	"context"
	"time"

	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
)

const (
	// queueShare is the share of the objective that the expected first event
	// may take for a place to count as good.
	queueShare = 0.6
	// patienceShare is the share of the objective that a request waits for a
	// good place before it takes any.
	patienceShare = 0.5
	// refuseShare is the share of the time to the deadline that a request waits
	// for any place before it is refused.
	refuseShare = 0.5
	// assumedOutput is the number of tokens expected of a request that doesn't
	// say.
	assumedOutput = 64
)

// place is where an attempt goes, with its entries in the books.
type place struct {
	target *fleet.Upstream
	// prefill is nil unless another engine reads the prompt.
	prefill *fleet.Upstream
	plan    placement.Plan
	// ticket is the target's, reader that of the prefill.
	ticket, reader *placement.Ticket
	waited         time.Duration
}

// end closes the books of a place that isn't used.
func (p *place) end(o placement.Outcome) {
	p.ticket.End(o)
	if p.reader != nil {
		p.reader.End(placement.Cancelled)
	}
}

// place waits for an upstream that can take the request.
func (c *call) place(ctx context.Context) (*place, *failure) {
	began := time.Now()
	good := began.Add(time.Duration(float64(c.rule.Objective) * patienceShare))
	until := began.Add(time.Duration(float64(time.Until(c.deadline)) * refuseShare))
	var found *place
	try := func() bool {
		found = c.tryPlace(time.Now().Before(good))
		return found != nil
	}
	if !c.relay.queue(c.pool).await(ctx, c.rule.Priority, until, try) {
		if f := c.ended(ctx); f != nil {
			return nil, f
		}
		return nil, c.fail(reasonNoPlace, "no upstream has a free place")
	}
	found.waited = time.Since(began)
	if c.placed.IsZero() {
		c.placed = time.Now()
	}
	return found, nil
}

// tryPlace looks for a place now and books it.
func (c *call) tryPlace(onlyGood bool) *place {
	s := c.relay.cfg.State.Snapshot()
	engines := c.relay.cfg.Books.Engines(candidates(s, c.pool))
	if c.Generation == nil {
		return c.tryService(s, engines, onlyGood)
	}
	req := c.placementRequest()
	plan, ok := placement.Pick(engines, req)
	if !ok || s.Upstreams[plan.Engine] == nil {
		return nil
	}
	limit := time.Duration(float64(c.rule.Objective) * queueShare)
	if onlyGood && limit > 0 && plan.FirstToken > limit {
		return nil
	}
	p := &place{target: s.Upstreams[plan.Engine], plan: plan}
	books := c.relay.cfg.Books
	if plan.Prefill == "" {
		p.ticket = books.Begin(plan.Engine, plan.Uncached, req.Parts)
		return p
	}
	p.prefill = s.Upstreams[plan.Prefill]
	p.ticket = books.Begin(plan.Engine, 0, req.Parts)
	p.reader = books.Begin(plan.Prefill, plan.Uncached, req.Parts)
	return p
}

func (c *call) tryService(s *fleet.Snapshot, upstreams []placement.Engine, onlyGood bool) *place {
	id, wait, ok := placement.PickService(upstreams, c.placementRequest())
	if !ok || (wait && onlyGood) {
		return nil
	}
	return &place{target: s.Upstreams[id], ticket: c.relay.cfg.Books.Begin(id, 0, nil)}
}

func (c *call) placementRequest() placement.Request {
	r := placement.Request{
		DataCentre: c.relay.cfg.DataCentre,
		Exclude:    c.exclude,
		Priority:   c.rule.Priority,
	}
	if g := c.Generation; g != nil {
		r.Parts = g.Parts
		r.PromptTokens = g.PromptTokens
		r.OutputTokens = expectedOutput(g)
	}
	return r
}

func expectedOutput(g *Generation) int {
	switch {
	case g.Expected > 0:
		return g.Expected
	case g.MaxOutput > 0:
		return g.MaxOutput
	default:
		return assumedOutput
	}
}
