package relay

import (
	"context"
	"time"

	"tamarackchute/enginemodel"
	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
	"tamarackchute/upstream"
)

const (
	// onTimeShare is the share of the objective within which the first event
	// must be expected for a place to count as good; the rest covers what the
	// estimate doesn't know.
	onTimeShare = 0.85
	// rereadShare is that for a prompt whose shared parts would have to be read
	// first: where engines are busy, two others can be served in that time.
	rereadShare = 0.5
	// waitShare is the share of the objective that a request waits for a good
	// place. Whoever got none by then would be late: it is refused at once, as
	// a late answer takes as much of an engine as one in time and is worth less.
	waitShare = 0.1
	// serviceWaitShare is that for a call to a plain service: its upstreams get no
	// more than they run at a time, so the queue is here.
	serviceWaitShare = 0.5
	// lateWaitShare is the share of the time left that a request which can't be
	// in time any more waits for a place that nobody else wants.
	lateWaitShare = 0.01
	// comebackShare is the share of the usual patience below which a caller
	// has been here before: it asks again with what is left of its time.
	comebackShare = 0.85
	// assumedOutput is the number of tokens expected of a request that doesn't
	// say.
	assumedOutput = 64
)

// place is where an attempt goes, with its entries in the books.
type place struct {
	target *fleet.Upstream
	// prefill is nil unless another engine reads the prompt.
	prefill *fleet.Upstream
	// source is nil unless the engine that reads the prompt fetches what it lacks of
	// the shared parts.
	source *fleet.Upstream
	plan   placement.Plan
	// ticket is the target's, reader that of the prefill.
	ticket, reader *placement.Ticket
	waited         time.Duration
	sentAt         time.Time
	// after is the number of the event behind which its stream begins.
	after int
	// read is the time from the sending until the prompt had been read, as the
	// prefill engine's answer or the first event tells; first that until the
	// first event. Zero if they weren't.
	read, first time.Duration
}

// place waits for an upstream that can take the request.
func (c *call) place(ctx context.Context) (*place, *failure) {
	began := time.Now()
	if refresh := c.relay.cfg.Refresh; refresh != nil {
		refresh(ctx)
	}
	if c.tooLate() {
		return nil, c.fail(reasonTooLate, "no upstream can end the answer in the time left")
	}
	late := c.late(began)
	var found *place
	try := func() bool {
		found = c.tryPlace(late)
		return found != nil
	}
	until := began.Add(c.longestWait(late))
	got := c.relay.queue(c.rule.Name).await(ctx, late, until, try)
	if !got && !late && c.Generation != nil && c.ended(ctx) == nil {
		// Nobody can answer it in time. A late answer is worth more than none.
		late = true
		got = try()
	}
	if !got {
		if f := c.ended(ctx); f != nil {
			return nil, f
		}
		return nil, c.fail(reasonNoPlace, "no upstream has a free place")
	}
	found.waited = time.Since(began)
	return found, nil
}

// tooLate reports whether an answer that hasn't begun can end in time nowhere: sent all the
// same, it would be cut at its caller's deadline, and have slowed the streams beside it.
func (c *call) tooLate() bool {
	if c.Generation == nil || c.stream != nil || c.tries.Ran() {
		return false
	}
	r := c.placementRequest()
	return c.relay.cfg.Books.MinCompletionTime(c.pool, r) > max(0, r.TimeLeft)
}

// late reports whether the request can't be in time any more: it has failed at
// an upstream already, or its caller comes back after a refusal.
func (c *call) late(now time.Time) bool {
	if c.rule.Objective == 0 {
		return false
	}
	return c.comeback || now.Sub(c.arrived) > time.Duration(onTimeShare*float64(c.rule.Objective))
}

// longestWait is how long the request waits for a place. A stream that has begun
// looks on for as long as its caller does.
func (c *call) longestWait(late bool) time.Duration {
	switch {
	case c.stream != nil, c.tries.Ran():
		return time.Until(c.deadline)
	case late || c.rule.Objective == 0:
		return time.Duration(lateWaitShare * float64(time.Until(c.deadline)))
	case c.Generation == nil:
		return time.Duration(serviceWaitShare * float64(c.rule.Objective))
	default:
		return time.Duration(waitShare * float64(c.rule.Objective))
	}
}

// tryPlace looks for a place now and books it.
func (c *call) tryPlace(late bool) *place {
	s := c.relay.cfg.State.Snapshot()
	if c.Generation == nil {
		return c.tryService(s)
	}
	req := c.placementRequest()
	if c.kept.Handle != "" {
		return c.tryGenerator(s, req)
	}
	plan, late, ok := c.choose(&req, late)
	if !ok || s.Upstreams[plan.Engine] == nil || !c.goodEnough(plan, req, late) {
		return nil
	}
	return c.book(s, plan, req)
}

// choose picks a plan: one for a late answer if the request is late already, or if no
// engine could answer it in time.
func (c *call) choose(req *placement.Request, late bool) (plan placement.Plan, behind, ok bool) {
	books := c.relay.cfg.Books
	req.Late = late
	if !late {
		c.inTime(req)
	}
	plan, ok = books.Pick(c.pool, *req)
	if !late && c.hopeless(plan, *req) {
		req.Late, req.FirstTokenLimit, req.RecomputeLimit = true, 0, 0
		plan, ok = books.Pick(c.pool, *req)
	}
	c.behind = req.Late
	if ok || c.looked.Candidates == 0 {
		c.looked = plan
	}
	c.noteDemand(plan, ok, *req)
	return plan, req.Late, ok
}

// book enters a plan in the books.
func (c *call) book(s *fleet.Snapshot, plan placement.Plan, req placement.Request) *place {
	p := &place{target: s.Upstreams[plan.Engine], source: s.Upstreams[plan.Source], plan: plan}
	books := c.relay.cfg.Books
	work := generating(plan, req)
	if plan.Prefill == "" {
		work.Prefill, work.TransferredTokens = plan.PrefillWork(req), plan.Transferred
		p.ticket = books.Begin(plan.Engine, work)
		return p
	}
	work.TransferredTokens = req.PromptTokens
	p.prefill = s.Upstreams[plan.Prefill]
	p.ticket = books.Begin(plan.Engine, work)
	p.reader = books.Begin(plan.Prefill, placement.Work{
		Prefill: plan.PrefillWork(req), TransferredTokens: plan.Transferred, Parts: req.Parts, ReservedKVTokens: req.PromptTokens, Late: req.Late,
	})
	return p
}

// generating is the work of the engine that generates, whoever reads the prompt.
func generating(plan placement.Plan, req placement.Request) placement.Work {
	return placement.Work{
		Parts: req.Parts, ReservedKVTokens: req.PromptTokens + req.OutputTokens, OutputTokens: req.OutputTokens, LongStream: plan.LongStream, TimeLeft: req.TimeLeft, Late: req.Late,
	}
}

// tryGenerator looks for an engine to take over the prompt's KV cache, which is
// there already: it needn't be read again because one engine turned it away.
func (c *call) tryGenerator(s *fleet.Snapshot, req placement.Request) *place {
	plan, ok := c.relay.cfg.Books.PickDecode(c.pool, c.keptBy.DataCentre, req)
	if !ok || s.Upstreams[plan.Engine] == nil {
		return nil
	}
	work := generating(plan, req)
	work.TransferredTokens = req.PromptTokens
	ticket := c.relay.cfg.Books.Begin(plan.Engine, work)
	return &place{target: s.Upstreams[plan.Engine], plan: plan, ticket: ticket}
}

// noteDemand counts a request once, by what it needs to have read.
func (c *call) noteDemand(plan placement.Plan, ok bool, req placement.Request) {
	if c.counted || c.comeback {
		return
	}
	c.counted = true
	prompt := enginemodel.Prompt{Tokens: req.PromptTokens}
	if ok {
		prompt = plan.PrefillWork(req)
	}
	work := c.relay.cfg.Books.PrefillMillis(c.pool, upstream.RolePrefill, prompt)
	c.relay.demand.add(c.pool, work, time.Now())
}

// goodEnough reports whether the first event can be expected in time. A late
// request takes what the others leave: a place without a queue.
func (c *call) goodEnough(plan placement.Plan, req placement.Request, late bool) bool {
	if c.rule.Objective == 0 {
		return true
	}
	if late {
		return time.Until(c.deadline) > plan.FirstToken
	}
	return plan.MeetsLimit(req)
}

// inTime says until when first events are to be expected for a request to be in time. Its
// time may be up: then no plan is of use.
func (c *call) inTime(r *placement.Request) {
	if c.rule.Objective == 0 {
		return
	}
	left := func(share float64) time.Duration {
		return max(1, time.Duration(share*float64(c.rule.Objective))-r.Elapsed)
	}
	r.FirstTokenLimit, r.RecomputeLimit = left(onTimeShare), left(rereadShare)
}

// hopeless reports whether no engine could answer in time even if it were idle.
func (c *call) hopeless(plan placement.Plan, req placement.Request) bool {
	limit := time.Duration(onTimeShare * float64(c.rule.Objective))
	return c.rule.Objective > 0 && plan.IdealFirstToken > limit-req.Elapsed
}

func (c *call) tryService(s *fleet.Snapshot) *place {
	id, full, ok := c.relay.cfg.Books.PickService(c.pool, c.placementRequest())
	if !ok || full || s.Upstreams[id] == nil {
		return nil
	}
	return &place{target: s.Upstreams[id], ticket: c.relay.cfg.Books.Begin(id, placement.Work{})}
}

func (c *call) placementRequest() placement.Request {
	r := placement.Request{
		DataCentre: c.relay.cfg.DataCentre,
		Exclude:    c.exclude,
	}
	if g := c.Generation; g != nil {
		r.Parts = g.Parts
		r.PromptTokens = g.PromptTokens
		r.BodyBytes = len(c.body)
		r.Objective = c.rule.Objective
		r.OutputTokens, r.MaxOutputTokens = expectedOutput(g), g.MaxOutput
		r.TimeLeft = time.Until(c.deadline)
		r.GapObjective = c.rule.PauseObjective
		r.Elapsed = time.Since(c.arrived)
	}
	return r
}

func expectedOutput(g *Generation) int {
	switch {
	case g.Expected > 0 && g.MaxOutput > 0:
		return min(g.Expected, g.MaxOutput)
	case g.Expected > 0:
		return g.Expected
	case g.MaxOutput > 0:
		return g.MaxOutput
	default:
		return assumedOutput
	}
}
