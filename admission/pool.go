package admission

import "time"

// waiter is a request from its arrival to its first token or end.
type waiter struct {
	req         Request
	class       Class
	item        *item
	arrived     time.Time
	granted     time.Time
	outstanding bool // sent and without a first token
	// verdict gets nil for a grant, else the refusal; once.
	decision chan *Refusal
}

// work is the waiter's weight in the window.
func (w *waiter) work() time.Duration { return workPerRequest + w.req.Estimate.prefillTime() }

// caution is what estimates are multiplied by before they are held against a
// deadline: an answer that comes too late has taken engine time from one that
// would have been in time.
const safetyFactor = 1.1

// needs is the time from its start that a request is judged by.
func (w *waiter) requiredTime() time.Duration {
	return time.Duration(safetyFactor * float64(w.req.Estimate.Complete))
}

// latest is the last moment at which it can start; zero without a deadline.
func (w *waiter) latestStart() time.Time {
	if w.req.Deadline.IsZero() {
		return time.Time{}
	}
	return w.req.Deadline.Add(-w.requiredTime())
}

// lane is the requests of one class.
type classState struct {
	queue    *fairQueue
	meter    meter
	window   window
	pressure pressure
}

// pool is the pure core for the upstreams of one pool and model. Time comes in
// with each call; what it decides is returned.
type pool struct {
	cfg           *Config
	capacity      Capacity
	capacityKnown bool // a capacity was set; without one nothing waits
	classes       [2]classState
	periodStart   time.Time // start of the windows' period
	// outputCost is what an output token costs in prompt tokens.
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

func (p *pool) forClass(c Class) *classState {
	if c == ClassLong {
		return &p.classes[1]
	}
	return &p.classes[0]
}

// setCapacity takes what the router knows of the upstreams.
func (p *pool) setCapacity(c Capacity) {
	p.capacityKnown = true
	p.capacity = c
	if c.PrefillPerSecond > 0 && c.DecodePerSecond > 0 {
		p.outputCost = c.PrefillPerSecond / c.DecodePerSecond
	}
	own := c.PrefillPerSecond / float64(max(1, c.Entries))
	for i := range p.classes {
		p.classes[i].window.resize(c)
		p.classes[i].meter.seed(own)
	}
}

// cost is a request's weight in fair shares, in prompt tokens.
func (p *pool) cost(prompt, output int) float64 {
	return float64(prompt) + p.outputCost*float64(output)
}

// tick moves the meters on; called before each change of the queues.
func (p *pool) tick(now time.Time) {
	for i := range p.classes {
		p.classes[i].meter.tick(now, p.classes[i].queue.len > 0)
	}
}

// expectedWait is the time in the queue of a request that comes now.
func (p *pool) expectedWait(w *waiter) time.Duration {
	l := p.forClass(w.class)
	if l.queue.len == 0 {
		return 0
	}
	return l.meter.wait(l.queue.ahead(w.req.Organisation, w.req.Priority))
}

// tooLate returns the refusal of a request that can't make its deadline after
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

// whenToComeBack is the time until the queue is expected to be so short that
// the same request with the same time in hand would be taken: what the queue
// has too much, at the rate at which it drains.
func (p *pool) retryDelay(w *waiter, wait time.Duration, now time.Time) time.Duration {
	inHand := w.req.Deadline.Sub(w.arrived) - w.requiredTime()
	back := wait - max(0, inHand)
	if w.req.Estimate.Queue > back {
		back = w.req.Estimate.Queue
	}
	return min(p.cfg.MaxRetryAfter, retryAfter(back))
}

// retryAfter rounds up to whole seconds, for that is what HTTP's header has.
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

// drop takes a waiting request out of its queue.
func (p *pool) removeWaiting(w *waiter) { p.forClass(w.class).queue.remove(w.item) }

// next returns the request that starts now, nil if none may. It has been taken
// from its queue and is on its way.
func (p *pool) next(now time.Time) *waiter {
	for _, c := range [...]Class{ClassShort, ClassLong} {
		l := p.forClass(c)
		it := l.queue.peek()
		if it == nil || !p.mayStart(it.waiter) {
			continue
		}
		l.queue.pop()
		l.meter.serve(it.cost)
		p.markSent(it.waiter, now)
		return it.waiter
	}
	return nil
}

// mayStart reports whether its window lets a request be sent. Long requests
// also leave a share of the engines free.
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

// longRoom is how many long requests may be on their way from here.
func (p *pool) maxLongOutstanding() int {
	return max(1, int((1-p.cfg.ShortReserve)*float64(p.capacity.Engines)))
}

// start marks a request as on its way.
func (p *pool) markSent(w *waiter, now time.Time) {
	w.granted = now
	w.outstanding = true
	p.forClass(w.class).window.add(w.work())
}

// started marks a request's first token.
func (p *pool) firstToken(w *waiter, now time.Time) {
	if p.leaveWindow(w) {
		p.recordPressure(w, now.Sub(w.granted)-w.req.Estimate.prefillTime())
		p.adjustWindows(now)
	}
}

// completed marks a request's whole answer.
func (p *pool) completed(w *waiter, now time.Time) {
	p.recordPressure(w, now.Sub(w.granted)-w.req.Estimate.Unloaded)
	p.adjustWindows(now)
}

func (p *pool) recordPressure(w *waiter, delay time.Duration) {
	p.forClass(w.class).pressure.add(w.slackLost(delay))
}

// leave takes a request out of its window, and reports whether it was in it.
func (p *pool) leaveWindow(w *waiter) bool {
	if !w.outstanding {
		return false
	}
	w.outstanding = false
	p.forClass(w.class).window.remove(w.work())
	return true
}

// steer ends a period of the windows if its time has come. Pressure on short
// requests first holds long ones back; only when that has gone as far as it
// can are short ones held back too.
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

// settle corrects the organisation's account by what the answer really took.
func (p *pool) adjustCharge(w *waiter, output int) {
	difference := p.cost(0, output-w.req.OutputTokens)
	p.forClass(w.class).queue.charge(w.req.Organisation, w.req.Priority, difference)
}

// late returns the waiting requests that can't make their deadlines any more,
// or won't at the rate at which the queue drains.
func (p *pool) findLate(now time.Time) []lateRequest {
	var out []lateRequest
	for i := range p.classes {
		l := &p.classes[i]
		l.queue.visit(func(it *item, own float64) {
			wait := l.meter.wait(l.queue.aheadOf(it.priority, own) * lateMargin)
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

// lateMargin is the part of the expected wait that a waiting request is judged
// by: it is only thrown out if even a rate half as high again wouldn't do.
const lateMargin = 0.67

// expired is a waiting request with its refusal.
type lateRequest struct {
	w       *waiter
	refusal *Refusal
}
