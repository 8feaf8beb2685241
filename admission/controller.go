package admission

import (
	"context"
	"sync"
	"time"
)

// poolKey identifies the upstreams that share a capacity.
type poolKey struct{ pool, model string }

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	cfg Config
	now func() time.Time

	mu           sync.Mutex
	pools        map[poolKey]*pool
	limits       *limits
	budget       budget
	waiting      int
	shuttingDown bool
	counts       Counts
}

// Counts are totals since the start, and the current number of waiting requests.
type Counts struct {
	// Queued counts the requests that did not start at once, whatever came of them.
	Admitted, Queued uint64
	Refused          map[Reason]uint64
	// Waiting counts the requests that wait now, over all pools.
	Waiting int
}

// New returns a controller. now is the clock; nil means time.Now. Without a running
// Serve, waiting requests are refused only at their latest start time.
func New(cfg Config, now func() time.Time) *Controller {
	if now == nil {
		now = time.Now
	}
	return &Controller{
		cfg:    cfg,
		now:    now,
		pools:  map[poolKey]*pool{},
		limits: newLimits(cfg.MaxOrganisations),
		budget: budget{ratio: cfg.RetryBudgetRatio},
		counts: Counts{Refused: map[Reason]uint64{}},
	}
}

// pool returns the state of a pool and model, and creates it if needed.
func (c *Controller) pool(name, model string) *pool {
	k := poolKey{name, model}
	p := c.pools[k]
	if p == nil {
		p = newPool(&c.cfg)
		c.pools[k] = p
	}
	return p
}

// SetCapacity sets the capacity of a pool and model. It should be called about once
// a second and when engines come or go. Until the first call, no request to the
// pool waits; plain services need no call.
func (c *Controller) SetCapacity(name, model string, capacity Capacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(name, model)
	p.setCapacity(capacity)
	c.startWaiting(p)
}

// Acquire waits until a request may be sent. Its error is always a *Refusal, which
// means that the request has not run. A grant must be released.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Grant, error) {
	p, err := c.Submit(r)
	if err != nil {
		return nil, err
	}
	if ref := c.await(ctx, p.w); ref != nil {
		return nil, ref
	}
	return &Grant{c: c, w: p.w}, nil
}

// Pending is an accepted request that may still be waiting. It serves callers that
// must not block; others use Acquire.
type Pending struct {
	c *Controller
	w *waiter
}

// Submit enqueues a request without waiting, or refuses it with a *Refusal. Serve
// must run, or Sweep be called, for waiting requests to be refused early.
func (c *Controller) Submit(r Request) (*Pending, error) {
	w := &waiter{req: r, class: c.classOf(&r), decision: make(chan *Refusal, 1)}
	if ref := c.enqueueOrRefuse(w); ref != nil {
		return nil, ref
	}
	return &Pending{c, w}, nil
}

// Poll returns the grant or the *Refusal once there is a decision; ok reports
// whether there is. It returns a decision only once.
func (p *Pending) Poll() (g *Grant, ok bool, err error) {
	select {
	case ref := <-p.w.decision:
		if ref != nil {
			return nil, true, ref
		}
		return &Grant{c: p.c, w: p.w}, true, nil
	default:
		return nil, false, nil
	}
}

func (c *Controller) classOf(r *Request) Class {
	if r.Class != ClassAuto {
		return r.Class
	}
	if r.PromptTokens >= c.cfg.LongPromptTokens {
		return ClassLong
	}
	return ClassShort
}

// enqueueOrRefuse refuses a new request or enqueues it; if it starts at once, its
// decision is ready on return.
func (c *Controller) enqueueOrRefuse(w *waiter) *Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	w.arrived = now
	p := c.pool(w.req.Pool, w.req.Model)
	p.tick(now)
	ref := c.checkCapacity(p, w, now)
	if ref == nil {
		ref = c.limits.acquire(&w.req, now)
	}
	if ref != nil {
		c.counts.Refused[ref.Reason]++
		return ref
	}
	c.budget.earn(now)
	p.enqueue(w)
	c.waiting++
	c.startWaiting(p)
	if !w.outstanding {
		c.counts.Queued++
	}
	return nil
}

// checkCapacity refuses a request that can't meet its deadline or finds no room.
func (c *Controller) checkCapacity(p *pool, w *waiter, now time.Time) *Refusal {
	if c.shuttingDown {
		return &Refusal{Reason: ReasonShuttingDown, RetryAfter: time.Second}
	}
	if p.capacityKnown && p.capacity.Engines == 0 {
		return &Refusal{Reason: ReasonNoCapacity, RetryAfter: 2 * time.Second}
	}
	wait := p.expectedWait(w)
	if ref := p.checkDeadline(w, wait, now); ref != nil {
		p.forClass(w.class).pressure.add(refusalPressure)
		return ref
	}
	if c.waiting >= c.cfg.MaxQueued {
		return &Refusal{Reason: ReasonQueueFull, RetryAfter: min(c.cfg.MaxRetryAfter, retryAfter(wait))}
	}
	return nil
}

// startWaiting grants the waiting requests that may start now.
func (c *Controller) startWaiting(p *pool) {
	now := c.now()
	for w := p.next(now); w != nil; w = p.next(now) {
		c.waiting--
		c.counts.Admitted++
		w.decision <- nil
	}
}

// await waits for the decision, the end of ctx, or the request's latest start time.
func (c *Controller) await(ctx context.Context, w *waiter) *Refusal {
	select {
	case ref := <-w.decision:
		return ref
	default:
	}
	var last <-chan time.Time
	if latest := w.latestStart(); !latest.IsZero() {
		t := time.NewTimer(latest.Sub(c.now()))
		defer t.Stop()
		last = t.C
	}
	select {
	case ref := <-w.decision:
		return ref
	case <-ctx.Done():
		return c.abandon(w, ReasonCancelled)
	case <-last:
		return c.abandon(w, ReasonDeadline)
	}
}

// abandon removes a waiting request, unless it was decided meanwhile. A grant that
// coincides with the caller's cancellation is released.
func (c *Controller) abandon(w *waiter, reason Reason) *Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case ref := <-w.decision:
		if ref != nil || reason != ReasonCancelled {
			return ref
		}
		c.release(w)
		return &Refusal{Reason: ReasonCancelled}
	default:
	}
	now := c.now()
	p := c.pool(w.req.Pool, w.req.Model)
	p.tick(now)
	ref := &Refusal{Reason: reason, Waited: now.Sub(w.arrived)}
	if reason == ReasonDeadline {
		ref.RequiredTime = w.req.Estimate.Complete
		ref.TimeLeft = w.req.Deadline.Sub(now)
		ref.ExpectedWait = p.forClass(w.class).meter.wait(p.forClass(w.class).queue.ahead(w.req.Organisation, w.req.Priority))
		ref.RetryAfter = p.retryDelay(w, ref.ExpectedWait, now)
	}
	c.refuseWaiting(p, w, ref)
	return ref
}

// refuseWaiting removes a waiting request with a refusal.
func (c *Controller) refuseWaiting(p *pool, w *waiter, ref *Refusal) {
	p.removeWaiting(w)
	c.waiting--
	c.limits.release(&w.req)
	c.counts.Refused[ref.Reason]++
}

// release gives up a granted request's share of the window and the limits.
func (c *Controller) release(w *waiter) {
	p := c.pool(w.req.Pool, w.req.Model)
	p.tick(c.now())
	p.leaveWindow(w)
	c.limits.release(&w.req)
	c.startWaiting(p)
}

// sweepPeriod is how often waiting requests are checked against their deadlines.
const sweepPeriod = 25 * time.Millisecond

// Serve refuses waiting requests as soon as they are expected to miss their
// deadlines, until ctx ends.
func (c *Controller) Serve(ctx context.Context) error {
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			c.Sweep()
		}
	}
}

// Sweep refuses the waiting requests that are expected to miss their deadlines, and
// starts those that may start. Serve calls it periodically.
func (c *Controller) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, p := range c.pools {
		p.tick(now)
		p.adjustWindows(now)
		for _, e := range p.findLate(now) {
			c.refuseWaiting(p, e.w, e.refusal)
			e.w.decision <- e.refusal
		}
		c.startWaiting(p)
	}
}

// Stop refuses all waiting and future requests. Granted requests continue.
func (c *Controller) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
	for _, p := range c.pools {
		for i := range p.classes {
			for it := p.classes[i].queue.peek(); it != nil; it = p.classes[i].queue.peek() {
				ref := &Refusal{Reason: ReasonShuttingDown, RetryAfter: time.Second}
				c.refuseWaiting(p, it.waiter, ref)
				it.waiter.decision <- ref
			}
		}
	}
}

// MayRetry reports whether the retry budget allows another attempt of an admitted
// request, and counts it.
func (c *Controller) MayRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.spend(c.now())
}

// Counts returns the current counts.
func (c *Controller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.Waiting = c.waiting
	out.Refused = make(map[Reason]uint64, len(c.counts.Refused))
	for k, v := range c.counts.Refused {
		out.Refused[k] = v
	}
	return out
}
