package admission

import "time"

// The bounds and steps of the windows.
const (
	// A period ends after some samples, or after windowPeriod without.
	windowPeriod    = 250 * time.Millisecond
	windowSamples   = 3
	windowGrowth    = 1.08
	windowShrinkage = 0.85
	// windowLeast lets an entry always have something on its way.
	minWindow = 10 * time.Millisecond
	// windowMost is the work on its way for each engine that an entry never
	// goes beyond.
	maxWindowPerEngine = 20 * time.Second
	// sendCost is charged for each request beside its prefill.
	workPerRequest = 5 * time.Millisecond
)

// window bounds the work of a class that has been sent to the engines and not
// yet started there, in seconds of prefill. It is what keeps the engines' own
// queues short, so that priorities and fair shares act in ours.
//
// It works like a congestion window, for the entries share the engines without
// talking to each other: under pressure it shrinks, and if it held a request
// back without pressure it grows. An engine whose batch is full doesn't start
// what it is sent, so a full batch closes the window too.
type window struct {
	limit           time.Duration
	ceiling         time.Duration
	enginesPerEntry float64       // engines for each entry
	outstanding     time.Duration // work on its way
	requests        int           // requests on their way
	limited         bool          // a request was held back in this period
}

// resize sets the bounds by the number of engines, and this entry's part of
// them, with which the window begins.
func (w *window) resize(c Capacity) {
	engines := max(1, c.Engines)
	w.ceiling = maxWindowPerEngine * time.Duration(engines)
	w.enginesPerEntry = float64(engines) / float64(max(1, c.Entries))
	w.limit = min(w.limit, w.ceiling)
}

// fits reports whether work may be sent. A window that is empty takes any, or
// else a request larger than it would never go.
func (w *window) fits(work time.Duration) bool {
	if w.limit == 0 {
		// Two requests like the first for each engine.
		w.limit = max(minWindow, time.Duration(2*w.enginesPerEntry*float64(work)))
	}
	if w.requests == 0 || w.outstanding+work <= w.limit {
		return true
	}
	w.limited = true
	return false
}

// send and start book work on its way.
func (w *window) add(work time.Duration) {
	w.outstanding += work
	w.requests++
}

func (w *window) remove(work time.Duration) {
	w.outstanding -= work
	w.requests--
}

// adjust ends a period.
func (w *window) adjust(pressed bool) {
	switch {
	case pressed:
		w.limit = max(minWindow, time.Duration(windowShrinkage*float64(w.limit)))
	case w.limited:
		w.limit = min(w.ceiling, time.Duration(windowGrowth*float64(w.limit)))
	}
	w.limited = false
}

// atLeast reports whether the window can't shrink further.
func (w *window) atMinimum() bool { return w.limit <= minWindow }

// pressure is how much of their slack the requests of a class lose to waiting
// at the upstreams: 0 for none, 1 for all of it. The slack is the time until
// the deadline that the answer itself doesn't take.
//
// Pressure rather than a wait in milliseconds is what the windows steer by: a
// wait of a second is nothing to an answer that is due in a minute, and too
// long for one that is due in two seconds.
type pressure struct {
	sum     float64
	samples int
}

// Bounds of one sample: a single stall shouldn't close a window.
const (
	maxPressureSample = 2.0
	refusalPressure   = 1.0
	defaultSlack      = 10 * time.Second
)

func (p *pressure) add(v float64) {
	p.sum += min(maxPressureSample, max(0, v))
	p.samples++
}

// mean is the pressure of the period; 0 if nothing was seen.
func (p *pressure) mean() float64 {
	if p.samples == 0 {
		return 0
	}
	return p.sum / float64(p.samples)
}

// lost is the part of a request's slack that a delay took.
func (w *waiter) slackLost(delay time.Duration) float64 {
	slack := defaultSlack
	if !w.req.Deadline.IsZero() {
		slack = w.req.Deadline.Sub(w.granted) - w.req.Estimate.Unloaded
	}
	return float64(delay) / float64(max(slack, minSlack))
}

// minSlack keeps a request that was granted at the last moment from counting
// without bounds.
const minSlack = 10 * time.Millisecond
