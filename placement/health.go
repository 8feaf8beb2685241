package placement

import "time"

// Outcome says how an attempt at an upstream ended.
type Outcome uint8

// The outcomes.
const (
	// Done: the upstream answered, with whatever status.
	Done Outcome = iota
	// Cancelled says nothing about the upstream.
	Cancelled
	// Refused: the upstream is full, or can't do what was asked.
	Refused
	// Failed: an error or a spoilt answer.
	Failed
	// Unreachable: no connection, or it broke.
	Unreachable
	// Replaced: another incarnation has the address.
	Replaced
)

const (
	// failureStep is the weight of one attempt in the smoothed failure rate.
	failureStep = 0.15
	// failureLimit ejects an upstream whose smoothed failure rate is above it:
	// a healthy one fails a few requests in a hundred.
	failureLimit = 0.5
	// firstHold and maxHold bound the time out, which doubles each time.
	firstHold = 500 * time.Millisecond
	maxHold   = 4 * time.Second
	// calm is the time without an ejection after which holds start anew.
	calm = 10 * time.Second
	// unreachableLimit is how many breaks in a row eject: one may be a
	// connection that was idle for too long.
	unreachableLimit = 2
)

// health is an upstream's record of failures with this daemon.
type health struct {
	failureRate float64
	breaks      int
	holds       int
	lastEjected time.Time
	heldUntil   time.Time
	trial       bool
}

func (h *health) note(o Outcome, began, now time.Time) {
	switch o {
	case Cancelled, Refused, Replaced:
		return
	case Done:
		h.succeed(began)
	case Unreachable:
		h.breaks++
		h.fail(now)
	case Failed:
		h.fail(now)
	}
}

func (h *health) succeed(began time.Time) {
	h.breaks = 0
	h.failureRate *= 1 - failureStep
	if h.trial && began.After(h.heldUntil) {
		h.trial = false
		h.failureRate = 0
	}
}

func (h *health) fail(now time.Time) {
	h.failureRate += failureStep * (1 - h.failureRate)
	if h.out(now) {
		return // a request that began before the ejection
	}
	if h.trial || h.breaks >= unreachableLimit || h.failureRate > failureLimit {
		h.eject(now)
	}
}

func (h *health) eject(now time.Time) {
	if now.Sub(h.lastEjected) > calm {
		h.holds = 0
	}
	h.heldUntil = now.Add(min(maxHold, firstHold<<min(h.holds, 8)))
	h.holds++
	h.lastEjected = now
	h.trial = true
	h.breaks = 0
}

// out reports whether the upstream is to be left alone.
func (h *health) out(now time.Time) bool { return now.Before(h.heldUntil) }
