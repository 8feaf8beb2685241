package admission

import "time"

// waiter is a request from its arrival to its first token or end.
type waiter struct {
	req         Request
	class       Class
	item        *item
	arrived     time.Time
	granted     time.Time
	outstanding bool // sent, first token not received
	// decision receives nil for a grant or else the refusal, once.
	decision chan *Refusal
}

// work is the request's weight in the window.
func (w *waiter) work() time.Duration { return workPerRequest + w.req.Estimate.prefillTime() }

// safetyFactor multiplies estimates before they are compared with a deadline: a
// late response takes engine time from one that would have met its deadline.
const safetyFactor = 1.1

// requiredTime is the time from the start that the request is expected to need.
func (w *waiter) requiredTime() time.Duration {
	return time.Duration(safetyFactor * float64(w.req.Estimate.Complete))
}

// latestStart is the latest time at which it can start; zero without a deadline.
func (w *waiter) latestStart() time.Time {
	if w.req.Deadline.IsZero() {
		return time.Time{}
	}
	return w.req.Deadline.Add(-w.requiredTime())
}

// classState is the state of one class of requests.
type classState struct {
	queue    *fairQueue
	meter    meter
	window   window
	pressure pressure
}

// pool is the state for the upstreams of one pool and model. Time is passed to each
// call, and decisions are returned.
type pool struct {
	cfg           *Config
	capacity      Capacity
	capacityKnown bool // SetCapacity was called; until then no request waits
	classes       [2]classState
	periodStart   time.Time // start of the windows' current period
	// outputCost is the cost of an output token in prompt tokens.
	outputCost float64
}

// defaultOutputCost is used until the engines' rates are known.
const defaultOutputCost = 8

func newPool(cfg *Config) *pool {
	p := &pool{cfg: cfg, outputCost: defaultOutputCost}
	for i := range p.classes {
		p.classes[i].queue = newFairQueue(cfg.MaxOrganisations)
	}
	return p
}

// forClass returns the state of a class; ClassAuto must have been resolved.
func (p *pool) forClass(c Class) *classState {
	if c == ClassLong {
		return &p.classes[1]
	}
	return &p.classes[0]
}

// setCapacity sets the capacity of the upstreams.
func (p *pool) setCapacity(c Capacity) {
	p.capacityKnown = true
	p.capacity = c
	if c.PrefillPerSecond > 0 && c.DecodePerSecond > 0 {
		p.outputCost = c.PrefillPerSecond / c.DecodePerSecond
	}
	entryRate := c.PrefillPerSecond / float64(max(1, c.Entries))
	for i := range p.classes {
		p.classes[i].window.resize(c)
		p.classes[i].meter.seed(entryRate)
	}
}

// cost is a request's cost for fair shares, in prompt tokens.
func (p *pool) cost(prompt, output int) float64 {
	return float64(prompt) + p.outputCost*float64(output)
}

// tick advances the meters. It is called before each change of the queues.
func (p *pool) tick(now time.Time) {
	for i := range p.classes {
		p.classes[i].meter.tick(now, p.classes[i].queue.len > 0)
	}
}

// expectedWait is the expected queueing time of a request that arrives now.
func (p *pool) expectedWait(w *waiter) time.Duration {
	cs := p.forClass(w.class)
	if cs.queue.len == 0 {
		return 0
	}
	return cs.meter.wait(cs.queue.ahead(w.req.Organisation, w.req.Priority))
}

// checkDeadline returns the refusal of a request that would miss its deadline after
// a wait, or nil.
func (p *pool) checkDeadline(w *waiter, wait time.Duration, now time.Time) *Refusal {
	if w.req.Deadline.IsZero() {
		return nil
	}
	left := w.req.Deadline.Sub(now)
	needed := w.requiredTime()
	if wait+needed <= left {
		return nil
	}
	return &Refusal{
		Reason:       ReasonDeadline,
		RetryAfter:   p.retryDelay(w, wait, now),
		Waited:       now.Sub(w.arrived),
		ExpectedWait: wait,
		RequiredTime: needed,
		TimeLeft:     left,
	}
}

// retryDelay is the time until an identical request with the same slack is expected
// to be accepted: the excess of the queue at the rate at which it drains.
func (p *pool) retryDelay(w *waiter, wait time.Duration, now time.Time) time.Duration {
	slack := w.req.Deadline.Sub(w.arrived) - w.requiredTime()
	delay := wait - max(0, slack)
	if w.req.Estimate.Queue > delay {
		delay = w.req.Estimate.Queue
	}
	return min(p.cfg.MaxRetryAfter, retryAfter(delay))
}

// retryAfter rounds up to whole seconds, the unit of the Retry-After header.
func retryAfter(d time.Duration) time.Duration {
	if d <= time.Second {
		return time.Second
	}
	return (d + time.Second - 1).Truncate(time.Second)
}

// enqueue adds a request to its queue.
func (p *pool) enqueue(w *waiter) {
	w.item = &item{
		org:      w.req.Organisation,
		priority: w.req.Priority,
		cost:     p.cost(w.req.PromptTokens, w.req.OutputTokens),
		waiter:   w,
	}
	p.forClass(w.class).queue.push(w.item)
}

// removeWaiting removes a waiting request from its queue.
func (p *pool) removeWaiting(w *waiter) { p.forClass(w.class).queue.remove(w.item) }

// next returns the request that starts now, or nil if none may. It has been removed
// from its queue and counts in its window.
func (p *pool) next(now time.Time) *waiter {
	for _, c := range [...]Class{ClassShort, ClassLong} {
		cs := p.forClass(c)
		it := cs.queue.peek()
		if it == nil || !p.mayStart(it.waiter) {
			continue
		}
		cs.queue.pop()
		cs.meter.serve(it.cost)
		p.markSent(it.waiter, now)
		return it.waiter
	}
	return nil
}

// mayStart reports whether the window allows a request to be sent. Long requests
// also leave a fraction of the engines free.
func (p *pool) mayStart(w *waiter) bool {
	if !p.capacityKnown {
		return true
	}
	win := &p.forClass(w.class).window
	if w.class == ClassLong && win.requests >= p.maxLongOutstanding() {
		return false
	}
	return win.fits(w.work())
}

// maxLongOutstanding bounds this entry instance's outstanding long requests.
func (p *pool) maxLongOutstanding() int {
	return max(1, int((1-p.cfg.ShortReserve)*float64(p.capacity.Engines)))
}

// markSent marks a request as sent.
func (p *pool) markSent(w *waiter, now time.Time) {
	w.granted = now
	w.outstanding = true
	p.forClass(w.class).window.add(w.work())
}

// firstToken records a request's first token: the request leaves its window, and the
// delay until then beyond its prefill counts as pressure.
func (p *pool) firstToken(w *waiter, now time.Time) {
	if p.leaveWindow(w) {
		p.recordPressure(w, now.Sub(w.granted)-w.req.Estimate.prefillTime())
		p.adjustWindows(now)
	}
}

// completed records a request's complete response.
func (p *pool) completed(w *waiter, now time.Time) {
	p.recordPressure(w, now.Sub(w.granted)-w.req.Estimate.Unloaded)
	p.adjustWindows(now)
}

func (p *pool) recordPressure(w *waiter, delay time.Duration) {
	p.forClass(w.class).pressure.add(w.slackLost(delay))
}

// leaveWindow removes a request from its window, and reports whether it was in it.
func (p *pool) leaveWindow(w *waiter) bool {
	if !w.outstanding {
		return false
	}
	w.outstanding = false
	p.forClass(w.class).window.remove(w.work())
	return true
}

// adjustWindows ends the windows' period when it is due. Pressure on short requests
// first restricts long ones; short ones are restricted only when the window of long
// ones is empty or at its minimum.
func (p *pool) adjustWindows(now time.Time) {
	samples := p.classes[0].pressure.samples + p.classes[1].pressure.samples
	if now.Sub(p.periodStart) < windowPeriod && samples < windowSamples {
		return
	}
	p.periodStart = now
	short, long := p.forClass(ClassShort), p.forClass(ClassLong)
	onShort, onLong := short.pressure.mean(), long.pressure.mean()
	noLong := long.window.atMinimum() || long.window.requests == 0
	long.window.adjust(onShort > p.cfg.LongThrottlePressure || onLong > p.cfg.ShortThrottlePressure)
	short.window.adjust(onShort > p.cfg.ShortThrottlePressure && noLong)
	short.pressure = pressure{}
	long.pressure = pressure{}
}

// adjustCharge corrects the organisation's account by the actual output length.
func (p *pool) adjustCharge(w *waiter, output int) {
	difference := p.cost(0, output-w.req.OutputTokens)
	p.forClass(w.class).queue.charge(w.req.Organisation, w.req.Priority, difference)
}

// findLate returns the waiting requests that can't meet their deadlines or are
// expected to miss them at the rate at which the queue drains.
func (p *pool) findLate(now time.Time) []lateRequest {
	var out []lateRequest
	for i := range p.classes {
		cs := &p.classes[i]
		cs.queue.visit(func(it *item, own float64) {
			wait := cs.meter.wait(cs.queue.aheadOf(it.priority, own) * lateMargin)
			if own == 0 {
				wait = 0
			}
			if ref := p.checkDeadline(it.waiter, wait, now); ref != nil {
				out = append(out, lateRequest{it.waiter, ref})
			}
		})
	}
	return out
}

// lateMargin scales the expected wait of waiting requests: one is refused only if it
// would miss its deadline even at one and a half times the rate.
const lateMargin = 0.67

// lateRequest is a waiting request with its refusal.
type lateRequest struct {
	w       *waiter
	refusal *Refusal
}
