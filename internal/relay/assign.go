package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"tamarackchute/enginemodel"
	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
	"tamarackchute/upstream"
)

const (
	// onTimeShare is the share of the objective within which the first event must be
	// expected for a plan to be acceptable; the rest covers errors of the estimate.
	onTimeShare = 0.85
	// recomputeShare replaces onTimeShare where shared prompt parts would be computed
	// although another engine has them cached: where engines are busy, two other
	// requests can be served in that time.
	recomputeShare = 0.5
	// waitShare is the share of the objective that a model request is queued for. One
	// without capacity by then would be late: it is refused at once, as a late response
	// takes as much engine time as one within the objective and is worth less.
	waitShare = 0.1
	// serviceWaitShare replaces waitShare for plain services: their upstreams get no
	// more requests than they run at a time, so requests are queued here.
	serviceWaitShare = 0.5
	// lateWaitShare is the share of the remaining time for which a late request waits
	// for capacity that no other request uses.
	lateWaitShare = 0.01
	// retriedShare is the share of a common caller timeout below which a timeout counts
	// as the remainder of it, so that the request is a caller retry.
	retriedShare = 0.85
	// defaultOutputTokens is the expected output of a request that states neither an
	// estimate nor a limit.
	defaultOutputTokens = 64
)

// assignment is where an attempt goes, with the work recorded for it in the tracker.
type assignment struct {
	target *fleet.Upstream
	// peer is the daemon to which the request is forwarded, nil if it goes to an upstream. The target
	// then stands for that daemon.
	peer *ForwardPeer
	// peerUpstream is the upstream whose response the peer relays, empty until that is known.
	peerUpstream string
	// prefill is the engine that does the prefill, nil if it is the target.
	prefill *fleet.Upstream
	// source is the engine from which shared prompt parts are transferred, nil if none.
	source *fleet.Upstream
	plan   placement.Plan
	// ticket is the target's, prefillTicket that of the prefill engine.
	ticket, prefillTicket *placement.Ticket
	waited                time.Duration
	sentAt                time.Time
	// resumedAfter is the id of the event after which the attempt's stream begins.
	resumedAfter int
	// prefillTime is the time from the sending to the end of the prefill, as seen by the
	// prefill engine's response or the first event, firstEventTime that to the first
	// event. Zero if it wasn't reached.
	prefillTime, firstEventTime time.Duration
}

// assign waits for an upstream that can take the request.
func (c *call) assign(ctx context.Context) (*assignment, *failure) {
	began := time.Now()
	defer func() { c.queued += time.Since(began) }()
	if refresh := c.relay.cfg.Refresh; refresh != nil {
		refresh(ctx)
	}
	if f := c.checkOrigin(ctx); f != nil {
		return nil, f
	}
	if c.goesOnOnly() && !c.canGoOn() {
		return nil, c.failDecision(dispatch.AttemptsExhausted)
	}
	if c.cannotComplete() {
		return nil, c.fail(reasonCannotComplete, "no upstream can end the answer in the time left")
	}
	if c.mustNotWait() {
		return nil, c.failCapacity()
	}
	late := c.isLate(began)
	wait := c.maxWait(late)
	if f := c.checkChoice(wait); f != nil {
		return nil, f
	}
	until := began.Add(wait)
	var found *assignment
	backoff := c.backoffBeyond(until)
	q, streams := c.queue(), c.streamsAhead()
	c.queuedBehind = q.length()
	try := func() bool {
		if c.refusedByShutdown() {
			return true
		}
		streams.offer()
		if found = c.tryAssign(late); found == nil {
			backoff = c.backoffBeyond(until)
		}
		return found != nil || backoff > 0 || c.forwardsFirst() || c.mustNotWait()
	}
	got := backoff > 0 || c.forwardsFirst() || q.await(ctx, c.turn(late), until, try)
	if !got && !late && c.Generation != nil && c.contextFailure(ctx) == nil {
		// No upstream can meet the objective. A late response is worth more than none.
		late = true
		got = try()
	}
	if !got {
		if f := c.contextFailure(ctx); f != nil {
			return nil, f
		}
		return nil, c.failCapacity()
	}
	switch {
	case found == nil && c.refusedByShutdown():
		return nil, c.failShutdown()
	case found == nil && backoff > 0:
		return nil, c.failBackoff(backoff)
	case found == nil:
		return nil, c.failCapacity() // the path was lost meanwhile
	}
	found.waited = time.Since(began)
	return found, nil
}

// failCapacity returns the failure of a request for which no upstream has capacity, or none is
// reached.
func (c *call) failCapacity() *failure {
	if c.unreachable() || c.relay.paths.IsLost(c.pool) || c.forwarded != nil && c.unlisted() {
		return c.fail(reasonUnreachable, "this daemon reaches no upstream")
	}
	return c.fail(reasonNoCapacity, "no upstream has a free place")
}

// mustNotWait reports whether a request can't be served here until a check finds that the path to its
// pool works again. Upstreams that weren't reached count as reachable after a while, for a new request to try
// them; one that has an attempt to lose doesn't.
func (c *call) mustNotWait() bool {
	if c.forwarded != nil && c.unlisted() {
		return true // the daemon that forwarded it may know others
	}
	if c.isTakenUp() && c.unreachable() {
		return true // other daemons may reach an upstream of its version
	}
	return c.relay.paths.IsLost(c.pool) && (c.unreachable() || c.hasBegun() && c.relay.paths.Tracker.CutFor(c.pool) > 0)
}

// hasBegun reports whether the request may have run, or its stream has begun.
func (c *call) hasBegun() bool { return c.stream != nil || c.attempts.MayHaveRun() }

// unreachable reports whether connections to all upstreams have failed at which the call may be placed.
func (c *call) unreachable() bool {
	h := c.health()
	return h.Listed > 0 && h.Unreachable == h.Listed
}

// unlisted reports whether this daemon knows no upstream of the pool.
func (c *call) unlisted() bool { return c.relay.cfg.Tracker.PoolHealth(c.pool).Listed == 0 }

// backoffBeyond returns the time until the first upstream of the pool ends its backoff, if all
// are in one and none that the request may use is back while it is queued and before its deadline.
// Otherwise it is 0.
func (c *call) backoffBeyond(until time.Time) time.Duration {
	if c.deadline.Before(until) {
		until = c.deadline
	}
	backoff, ok := c.relay.cfg.Tracker.PoolBackoff(c.pool, c.excluded)
	if !ok || backoff.FirstUsable <= time.Until(until) {
		return 0
	}
	return backoff.First
}

// failBackoff returns the failure of a request if all upstreams are in a backoff that is too long.
func (c *call) failBackoff(backoff time.Duration) *failure {
	f := c.fail(reasonAllBackingOff, "all upstreams have asked for fewer requests")
	if f.status == http.StatusServiceUnavailable {
		f.retryAfter = backoff
	}
	return f
}

// cannotComplete reports whether no engine can complete the response before the deadline.
// If sent, it would be cut off there and have slowed the concurrent streams. A request
// that may have run or whose stream has begun isn't refused for this.
func (c *call) cannotComplete() bool {
	if c.Generation == nil || c.hasBegun() {
		return false
	}
	return c.minCompletion() > max(0, time.Until(c.deadline))
}

// minCompletion returns the least time in which what is left of the response can be complete, 0 if too little is known.
func (c *call) minCompletion() time.Duration {
	if c.Generation == nil {
		return 0
	}
	return c.relay.cfg.Tracker.MinCompletionTime(c.pool, c.placementRequest())
}

// isLate reports whether the request can't meet its objective any more: too much time has
// passed, as after a failed attempt, or it is the caller's retry after a refusal.
func (c *call) isLate(now time.Time) bool {
	if c.rule.Objective == 0 || c.isTakenUp() {
		return false
	}
	return c.retried || now.Sub(c.arrived) > time.Duration(onTimeShare*float64(c.rule.Objective))
}

// maxWait returns how long the request is queued. One that may have run, or whose stream has begun, is queued until its
// deadline, and one whose stream its caller takes up as long as the rest of it can be in time.
func (c *call) maxWait(late bool) time.Duration {
	switch {
	case c.hasBegun():
		return time.Until(c.deadline)
	case c.isTakenUp():
		return max(0, time.Until(c.deadline)-c.minCompletion())
	case late || c.rule.Objective == 0:
		return time.Duration(lateWaitShare * float64(time.Until(c.deadline)))
	case c.Generation == nil:
		return time.Duration(serviceWaitShare * float64(c.rule.Objective))
	default:
		return time.Duration(waitShare * float64(c.rule.Objective))
	}
}

// tryAssign looks for an upstream with capacity and reserves it; nil if there is none.
func (c *call) tryAssign(late bool) *assignment {
	c.tries++
	if !c.mayTryNow() {
		return nil
	}
	s := c.relay.cfg.State.Snapshot()
	if c.Generation == nil {
		return c.tryService(s)
	}
	req := c.placementRequest()
	if c.handoff.Handle != "" {
		return c.tryDecodeEngine(s, req)
	}
	plan, late, ok := c.choosePlan(&req, late)
	if !ok || s.Upstreams[plan.Engine] == nil || !c.acceptable(plan, req, late) {
		return nil
	}
	return c.reserve(s, plan, req)
}

// choosePlan picks a plan: one for a late response if the request is late already, or if
// no engine could meet the objective.
func (c *call) choosePlan(req *placement.Request, late bool) (plan placement.Plan, planLate, ok bool) {
	tracker := c.relay.cfg.Tracker
	if c.goesOnOnly() || c.isTakenUp() { // it has few other places, and its first event has been on time or late already
		plan, ok = tracker.Pick(c.pool, *req)
		c.late = false
		c.keepPlan(plan, ok)
		c.recordDemand(plan, ok, *req)
		return plan, false, ok
	}
	req.Late = late
	if !late {
		c.setObjectiveLimits(req)
	}
	plan, ok = tracker.Pick(c.pool, *req)
	if !late && c.cannotMeetObjective(plan, *req) {
		req.Late, req.FirstTokenLimit, req.RecomputeLimit = true, 0, 0
		plan, ok = tracker.Pick(c.pool, *req)
	}
	c.late = req.Late
	c.keepPlan(plan, ok)
	c.recordDemand(plan, ok, *req)
	return plan, req.Late, ok
}

// keepPlan keeps a plan for the log.
func (c *call) keepPlan(plan placement.Plan, ok bool) {
	if ok || c.lastPlan.Candidates == 0 {
		c.lastPlan = plan
	}
}

// reserve records the work of a plan in the tracker.
func (c *call) reserve(s *fleet.Snapshot, plan placement.Plan, req placement.Request) *assignment {
	p := &assignment{target: s.Upstreams[plan.Engine], source: s.Upstreams[plan.Source], plan: plan}
	tracker := c.relay.cfg.Tracker
	work := decodeWork(plan, req)
	if plan.Prefill == "" {
		work.Prefill, work.TransferredTokens = plan.PrefillWork(req), plan.Transferred
		p.ticket = tracker.Begin(plan.Engine, work)
		return p
	}
	work.TransferredTokens = req.PromptTokens
	p.prefill = s.Upstreams[plan.Prefill]
	p.ticket = tracker.Begin(plan.Engine, work)
	p.prefillTicket = tracker.Begin(plan.Prefill, placement.Work{
		Prefill: plan.PrefillWork(req), TransferredTokens: plan.Transferred, Parts: req.Parts, ReservedKVTokens: req.PromptTokens, Late: req.Late,
	})
	return p
}

// decodeWork returns the decode engine's work, without the prefill or KV transfer.
func decodeWork(plan placement.Plan, req placement.Request) placement.Work {
	return placement.Work{
		Parts: req.Parts, ReservedKVTokens: req.PromptTokens + req.OutputTokens, OutputTokens: req.OutputTokens, LongStream: plan.LongStream, TimeLeft: req.TimeLeft, Late: req.Late,
	}
}

// tryDecodeEngine looks for a decode engine for a prompt whose prefill is done. A refusal
// by one engine doesn't make another prefill necessary.
func (c *call) tryDecodeEngine(s *fleet.Snapshot, req placement.Request) *assignment {
	plan, ok := c.relay.cfg.Tracker.PickDecode(c.pool, c.handoffFrom.DataCentre, req)
	if !ok || s.Upstreams[plan.Engine] == nil {
		return nil
	}
	work := decodeWork(plan, req)
	work.TransferredTokens = req.PromptTokens
	ticket := c.relay.cfg.Tracker.Begin(plan.Engine, work)
	return &assignment{target: s.Upstreams[plan.Engine], plan: plan, ticket: ticket}
}

// recordDemand adds a request's work to the demand on its pool, once per request.
func (c *call) recordDemand(plan placement.Plan, ok bool, req placement.Request) {
	if c.demandCounted || c.retried {
		return
	}
	c.demandCounted = true
	prompt := enginemodel.Prompt{Tokens: req.PromptTokens}
	if ok {
		prompt = plan.PrefillWork(req)
	}
	tracker := c.relay.cfg.Tracker
	prefill := tracker.PrefillMillis(c.pool, upstream.RolePrefill, prompt)
	c.relay.demand.add(c.pool, prefill, tracker.DecodeShareMillis(c.pool, req.OutputTokens), time.Now())
}

// acceptable reports whether a plan is expected to meet the objective, or, for a late
// request or a stream that is taken up, to give the first event before the deadline.
func (c *call) acceptable(plan placement.Plan, req placement.Request, late bool) bool {
	if c.rule.Objective == 0 {
		return true
	}
	if late || c.isTakenUp() {
		return time.Until(c.deadline) > plan.FirstToken
	}
	return plan.MeetsLimit(req)
}

// setObjectiveLimits sets the time within which the first event must be expected. It is 1 ns
// once that time has passed, since 0 means no limit.
func (c *call) setObjectiveLimits(r *placement.Request) {
	if c.rule.Objective == 0 {
		return
	}
	left := func(share float64) time.Duration {
		return max(1, time.Duration(share*float64(c.rule.Objective))-r.Elapsed)
	}
	r.FirstTokenLimit, r.RecomputeLimit = left(onTimeShare), left(recomputeShare)
}

// cannotMeetObjective reports whether not even an idle engine could meet the objective.
func (c *call) cannotMeetObjective(plan placement.Plan, req placement.Request) bool {
	limit := time.Duration(onTimeShare * float64(c.rule.Objective))
	return c.rule.Objective > 0 && plan.IdealFirstToken > limit-req.Elapsed
}

func (c *call) tryService(s *fleet.Snapshot) *assignment {
	id, full, ok := c.relay.cfg.Tracker.PickService(c.pool, c.placementRequest())
	if !ok || full || s.Upstreams[id] == nil {
		return nil
	}
	return &assignment{target: s.Upstreams[id], ticket: c.relay.cfg.Tracker.Begin(id, placement.Work{})}
}

func (c *call) placementRequest() placement.Request {
	r := placement.Request{
		DataCentre: c.relay.cfg.DataCentre,
		Exclude:    c.excludedIn(c.relay.cfg.State.Snapshot()),
		Begun:      c.isTakenUp(),
	}
	if g := c.Generation; g != nil {
		r.Parts = g.Parts
		r.PromptTokens = g.PromptTokens
		r.BodyBytes = len(c.body)
		r.Objective = c.rule.Objective
		r.OutputTokens, r.MaxOutputTokens = outputAfter(expectedOutput(g), c.resumeAfter()), outputAfter(g.MaxOutput, c.resumeAfter())
		r.TimeLeft = time.Until(c.deadline)
		r.GapObjective = c.rule.GapObjective
		r.Elapsed = time.Since(c.arrived)
		r.WithoutPrefill = c.withoutPrefill
	}
	return r
}

// excludedIn returns the upstreams at which the call may not be placed now.
func (c *call) excludedIn(s *fleet.Snapshot) []string {
	return slices.Concat(c.excludedNow(), c.otherVersions(s), c.beyondAttempts(s))
}

// outputAfter returns what is left of an output after some events, of a token each. 0 tokens mean that it isn't known.
func outputAfter(tokens, events int) int {
	if tokens == 0 {
		return 0
	}
	return max(1, tokens-events)
}

func expectedOutput(g *Generation) int {
	switch {
	case g.ExpectedOutput > 0 && g.MaxOutput > 0:
		return min(g.ExpectedOutput, g.MaxOutput)
	case g.ExpectedOutput > 0:
		return g.ExpectedOutput
	case g.MaxOutput > 0:
		return g.MaxOutput
	default:
		return defaultOutputTokens
	}
}
