package admission

import "time"

// waiter is a request from its arrival to its first token or end.
type waiter struct {
	req     Request
	class   Class
	item    *item
	arrived time.Time
	granted time.Time
	onWay   bool // sent and without a first token
	// verdict gets nil for a grant, else the refusal; once.
	verdict chan *Refusal
}

// work is the waiter's weight in the window.
func (w *waiter) work() time.Duration { return sendCost + w.req.Estimate.own() }

// caution is what estimates are multiplied by before they are held against a
// deadline: an answer that comes too late has taken engine time from one that
// would have been in time.
const caution = 1.1

// needs is the time from its start that a request is judged by.
func (w *waiter) needs() time.Duration {
	return time.Duration(caution * float64(w.req.Estimate.Complete))
}

// latest is the last moment at which it can start; zero without a deadline.
func (w *waiter) latest() time.Time {
	if w.req.Deadline.IsZero() {
		return time.Time{}
	}
	return w.req.Deadline.Add(-w.needs())
}

// lane is the requests of one class.
type lane struct {
	queue    *fairQueue
	meter    meter
	window   window
	pressure pressure
}

// pool is the pure core for the upstreams of one pool and model. Time comes in
// with each call; what it decides is returned.
type pool struct {
	cfg      *Config
	capacity Capacity
	known    bool // a capacity was set; without one nothing waits
	lanes    [2]lane
	since    time.Time // start of the windows' period
	// outputCost is what an output token costs in prompt tokens.
	outputCost float64
}

// defaultOutputCost is used until the engines' rates are known.
const defaultOutputCost = 8

func newPool(cfg *Config) *pool {
	p := &pool{cfg: cfg, outputCost: defaultOutputCost}
	for i := range p.lanes {
		p.lanes[i].queue = newFairQueue(cfg.MaxOrganisations)
	}
	return p
}

func (p *pool) lane(c Class) *lane {
	if c == ClassLong {
		return &p.lanes[1]
	}
	return &p.lanes[0]
}

// setCapacity takes what the router knows of the upstreams.
func (p *pool) setCapacity(c Capacity) {
	p.known = true
	p.capacity = c
	if c.PrefillPerSecond > 0 && c.DecodePerSecond > 0 {
		p.outputCost = c.PrefillPerSecond / c.DecodePerSecond
	}
	own := c.PrefillPerSecond / float64(max(1, c.Entries))
	for i := range p.lanes {
		p.lanes[i].window.resize(c)
		p.lanes[i].meter.prime(own)
	}
}

// cost is a request's weight in fair shares, in prompt tokens.
func (p *pool) cost(prompt, output int) float64 {
	return float64(prompt) + p.outputCost*float64(output)
}

// tick moves the meters on; called before each change of the queues.
func (p *pool) tick(now time.Time) {
	for i := range p.lanes {
		p.lanes[i].meter.tick(now, p.lanes[i].queue.len > 0)
	}
}

// expectedWait is the time in the queue of a request that comes now.
func (p *pool) expectedWait(w *waiter) time.Duration {
	l := p.lane(w.class)
	if l.queue.len == 0 {
		return 0
	}
	return l.meter.wait(l.queue.ahead(w.req.Organisation, w.req.Priority))
}

// tooLate returns the refusal of a request that can't make its deadline after
// a wait, or nil.
func (p *pool) tooLate(w *waiter, wait time.Duration, now time.Time) *Refusal {
	if w.req.Deadline.IsZero() {
		return nil
	}
	left := w.req.Deadline.Sub(now)
	needed := w.needs()
	if wait+needed <= left {
		return nil
	}
	return &Refusal{
		Reason:       ReasonDeadline,
		RetryAfter:   p.whenToComeBack(w, wait, now),
		Waited:       now.Sub(w.arrived),
		ExpectedWait: wait,
		RequiredTime: needed,
		TimeLeft:     left,
	}
}

// whenToComeBack is the time until the queue is expected to be so short that
// the same request with the same time in hand would be taken: what the queue
// has too much, at the rate at which it drains.
func (p *pool) whenToComeBack(w *waiter, wait time.Duration, now time.Time) time.Duration {
	inHand := w.req.Deadline.Sub(w.arrived) - w.needs()
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
	p.lane(w.class).queue.push(w.item)
}

// drop takes a waiting request out of its queue.
func (p *pool) drop(w *waiter) { p.lane(w.class).queue.remove(w.item) }

// next returns the request that starts now, nil if none may. It has been taken
// from its queue and is on its way.
func (p *pool) next(now time.Time) *waiter {
	for _, c := range [...]Class{ClassShort, ClassLong} {
		l := p.lane(c)
		it := l.queue.peek()
		if it == nil || !p.mayStart(it.waiter) {
			continue
		}
		l.queue.pop()
		l.meter.serve(it.cost)
		p.start(it.waiter, now)
		return it.waiter
	}
	return nil
}

// mayStart reports whether its window lets a request be sent. Long requests
// also leave a share of the engines free.
func (p *pool) mayStart(w *waiter) bool {
	if !p.known {
		return true
	}
	win := &p.lane(w.class).window
	if w.class == ClassLong && win.requests >= p.longRoom() {
		return false
	}
	return win.fits(w.work())
}

// longRoom is how many long requests may be on their way from here.
func (p *pool) longRoom() int {
	return max(1, int((1-p.cfg.ShortReserve)*float64(p.capacity.Engines)))
}

// start marks a request as on its way.
func (p *pool) start(w *waiter, now time.Time) {
	w.granted = now
	w.onWay = true
	p.lane(w.class).window.send(w.work())
}

// started marks a request's first token.
func (p *pool) started(w *waiter, now time.Time) {
	if p.leave(w) {
		p.press(w, now.Sub(w.granted)-w.req.Estimate.own())
		p.steer(now)
	}
}

// completed marks a request's whole answer.
func (p *pool) completed(w *waiter, now time.Time) {
	p.press(w, now.Sub(w.granted)-w.req.Estimate.Unloaded)
	p.steer(now)
}

func (p *pool) press(w *waiter, delay time.Duration) {
	p.lane(w.class).pressure.add(w.lost(delay))
}

// leave takes a request out of its window, and reports whether it was in it.
func (p *pool) leave(w *waiter) bool {
	if !w.onWay {
		return false
	}
	w.onWay = false
	p.lane(w.class).window.start(w.work())
	return true
}

// steer ends a period of the windows if its time has come. Pressure on short
// requests first holds long ones back; only when that has gone as far as it
// can are short ones held back too.
func (p *pool) steer(now time.Time) {
	samples := p.lanes[0].pressure.samples + p.lanes[1].pressure.samples
	if now.Sub(p.since) < windowPeriod && samples < windowSamples {
		return
	}
	p.since = now
	short, long := p.lane(ClassShort), p.lane(ClassLong)
	onShort, onLong := short.pressure.mean(), long.pressure.mean()
	noLong := long.window.atLeast() || long.window.requests == 0
	long.window.adjust(onShort > p.cfg.LongThrottlePressure || onLong > p.cfg.ShortThrottlePressure)
	short.window.adjust(onShort > p.cfg.ShortThrottlePressure && noLong)
	short.pressure = pressure{}
	long.pressure = pressure{}
}

// settle corrects the organisation's account by what the answer really took.
func (p *pool) settle(w *waiter, output int) {
	difference := p.cost(0, output-w.req.OutputTokens)
	p.lane(w.class).queue.charge(w.req.Organisation, w.req.Priority, difference)
}

// late returns the waiting requests that can't make their deadlines any more,
// or won't at the rate at which the queue drains.
func (p *pool) late(now time.Time) []expired {
	var out []expired
	for i := range p.lanes {
		l := &p.lanes[i]
		l.queue.visit(func(it *item, own float64) {
			wait := l.meter.wait(l.queue.aheadOf(it.priority, own) * lateMargin)
			if own == 0 {
				wait = 0
			}
			if ref := p.tooLate(it.waiter, wait, now); ref != nil {
				out = append(out, expired{it.waiter, ref})
			}
		})
	}
	return out
}

// lateMargin is the part of the expected wait that a waiting request is judged
// by: it is only thrown out if even a rate half as high again wouldn't do.
const lateMargin = 0.67

// expired is a waiting request with its refusal.
type expired struct {
	w       *waiter
	refusal *Refusal
}
