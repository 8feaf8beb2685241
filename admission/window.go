package admission

import "time"

// The steps of the window: every windowPeriod it grows by windowGrow of itself
// if it was what held requests back, and shrinks by windowShrink if all first
// tokens of the period came late.
const (
	windowPeriod = 250 * time.Millisecond
	windowGrow   = 0.10
	windowShrink = 0.15
	// windowLeast lets an entry always have something on its way.
	windowLeast = 20 * time.Millisecond
	// expectedSlack is how far over its expectation a first token may come
	// before it counts as late, for the engines' rates are known to 30 % only.
	expectedSlack = 0.5
	// sendCost is charged for each request beside its prefill.
	sendCost = 5 * time.Millisecond
)

// window bounds the work that has been sent to the engines and not yet started
// there, in seconds of prefill. It is what keeps the engines' own queues short,
// so that priorities and fair shares act in ours.
//
// It works like a congestion window, for the entries share the engines without
// talking to each other: if even the least wait of a period was over the
// target, a queue stands at the engines and the window shrinks; if the window
// was full and no queue stood, it grows. An engine whose batch is full doesn't
// start what it is sent, so that a full batch closes the window too.
type window struct {
	target time.Duration
	limit  time.Duration
	most   time.Duration

	sent     time.Duration // work on its way
	requests int           // requests on their way
	full     bool          // a request was held back in this period
	least    time.Duration // least wait over expectation in this period
	samples  int
	since    time.Time // start of the period
}

// newWindow starts with as much work on its way as keeps the engines busy for
// twice the target, this entry's part of it.
func newWindow(target time.Duration, c Capacity) *window {
	w := &window{target: target}
	w.resize(c)
	w.limit = max(windowLeast, 2*target*time.Duration(max(1, c.Engines))/time.Duration(max(1, c.Entries)))
	return w
}

// resize bounds the window by the number of engines.
func (w *window) resize(c Capacity) {
	w.most = 20 * w.target * time.Duration(max(1, c.Engines))
	w.limit = min(w.limit, w.most)
}

// fits reports whether work may be sent that leaves a share of the window free.
func (w *window) fits(work time.Duration, reserve float64) bool {
	limit := time.Duration(float64(w.limit) * (1 - reserve))
	if w.requests == 0 || w.sent+work <= limit {
		return true
	}
	w.full = true
	return false
}

// send and start book work on its way.
func (w *window) send(work time.Duration) {
	w.sent += work
	w.requests++
}

func (w *window) start(work time.Duration) {
	w.sent -= work
	w.requests--
}

// observe takes the time to a first token.
func (w *window) observe(took, expected time.Duration, now time.Time) {
	over := took - time.Duration(float64(expected)*(1+expectedSlack))
	if w.samples == 0 || over < w.least {
		w.least = over
	}
	w.samples++
	w.adjust(now)
}

// adjust ends a period if its time has come.
func (w *window) adjust(now time.Time) {
	if w.since.IsZero() {
		w.since = now
	}
	if now.Sub(w.since) < windowPeriod || w.samples == 0 {
		return
	}
	switch {
	case w.least > w.target:
		w.limit -= time.Duration(windowShrink * float64(w.limit))
	case w.full:
		w.limit += time.Duration(windowGrow * float64(w.limit))
	}
	w.limit = min(w.most, max(windowLeast, w.limit))
	w.since = now
	w.samples = 0
	w.full = false
}
