package admission

import "time"

// Parameters of the windows.
const (
	// A period ends after windowSamples samples, or after windowPeriod.
	windowPeriod  = 250 * time.Millisecond
	windowSamples = 3
	// windowGrowth and windowShrinkage multiply the window at a period's end.
	windowGrowth    = 1.08
	windowShrinkage = 0.85
	// minWindow ensures that an entry instance can always have some work outstanding.
	minWindow = 10 * time.Millisecond
	// maxWindowPerEngine bounds the window, for each engine of the pool.
	maxWindowPerEngine = 20 * time.Second
	// workPerRequest is charged for each request in addition to its prefill.
	workPerRequest = 5 * time.Millisecond
)

// window bounds a class's outstanding work, in seconds of prefill: sent, but not
// started at the engines. It keeps their queues short, so that priorities and fair
// shares take effect in the queues here. Like a congestion window it needs no
// coordination of the processes. Engines with full batches start nothing, so it fills.
type window struct {
	limit           time.Duration
	ceiling         time.Duration
	enginesPerEntry float64       // engines divided by entry instances
	outstanding     time.Duration // outstanding work
	requests        int           // outstanding requests
	limited         bool          // the window held a request back in this period
}

// resize sets the bound and the initial size from the number of engines and
// entry instances.
func (w *window) resize(c Capacity) {
	engines := max(1, c.Engines)
	w.ceiling = maxWindowPerEngine * time.Duration(engines)
	w.enginesPerEntry = float64(engines) / float64(max(1, c.Entries))
	w.limit = min(w.limit, w.ceiling)
}

// fits reports whether work may be sent. An empty window accepts any request,
// otherwise one larger than the window would never be sent.
func (w *window) fits(work time.Duration) bool {
	if w.limit == 0 {
		// Start with two requests of this size for each engine.
		w.limit = max(minWindow, time.Duration(2*w.enginesPerEntry*float64(work)))
	}
	if w.requests == 0 || w.outstanding+work <= w.limit {
		return true
	}
	w.limited = true
	return false
}

// add and remove account for outstanding work.
func (w *window) add(work time.Duration) {
	w.outstanding += work
	w.requests++
}

func (w *window) remove(work time.Duration) {
	w.outstanding -= work
	w.requests--
}

// adjust resizes the window at the end of a period: it shrinks under pressure, and
// grows if it held a request back without.
func (w *window) adjust(underPressure bool) {
	switch {
	case underPressure:
		w.limit = max(minWindow, time.Duration(windowShrinkage*float64(w.limit)))
	case w.limited:
		w.limit = min(w.ceiling, time.Duration(windowGrowth*float64(w.limit)))
	}
	w.limited = false
}

// atMinimum reports whether the window can't shrink further.
func (w *window) atMinimum() bool { return w.limit <= minWindow }

// pressure is the mean fraction of their slack that a class's requests lose to
// waiting at the upstreams. The slack is the time until the deadline beyond the
// unloaded response time. A wait in seconds would not do: one second is harmless to
// a request due in a minute and too long for one due in two seconds.
type pressure struct {
	sum     float64
	samples int
}

const (
	// maxPressureSample bounds one sample, so that a single stall doesn't close a
	// window.
	maxPressureSample = 2.0
	// refusalPressure is the sample of a request refused for its deadline.
	refusalPressure = 1.0
	// defaultSlack is the slack of a request without a deadline.
	defaultSlack = 10 * time.Second
)

func (p *pressure) add(v float64) {
	p.sum += min(maxPressureSample, max(0, v))
	p.samples++
}

// mean is the period's mean pressure; 0 without samples.
func (p *pressure) mean() float64 {
	if p.samples == 0 {
		return 0
	}
	return p.sum / float64(p.samples)
}

// slackLost is the fraction of the request's slack that a delay took.
func (w *waiter) slackLost(delay time.Duration) float64 {
	slack := defaultSlack
	if !w.req.Deadline.IsZero() {
		slack = w.req.Deadline.Sub(w.granted) - w.req.Estimate.Unloaded
	}
	return float64(delay) / float64(max(slack, minSlack))
}

// minSlack bounds the pressure of a request that was granted just before its
// deadline.
const minSlack = 10 * time.Millisecond
