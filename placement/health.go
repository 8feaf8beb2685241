package placement

import (
	"time"

	"tamarackchute/outlier"
)

// Outcome is the result of an attempt at an upstream.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Done: the upstream answered, with any status.
	Done Outcome = iota
	// Cancelled: the attempt says nothing about the upstream.
	Cancelled
	// Refused: the upstream is full, or can't do what was asked.
	Refused
	// Failed: an error or an invalid response.
	Failed
	// Unreachable: the connection failed or broke.
	Unreachable
	// Replaced: another incarnation has taken over the address.
	Replaced
	// Stalled: it sent nothing for too long, though its connection stands.
	Stalled
)

// answered reports whether the upstream has sent a response.
func (o Outcome) answered() bool { return o == Done || o == Refused || o == Replaced }

const (
	// failureSmoothing is the weight of one attempt in the smoothed failure rate.
	failureSmoothing = 0.15
	// failureLimit is the smoothed failure rate above which an upstream is ejected. A
	// healthy one fails a few requests in a hundred.
	failureLimit = 0.5
	// baseEjection and maxEjection bound the ejection time, which doubles with each
	// ejection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 4 * time.Second
	// ejectionReset is the time without an ejection after which the ejection time starts
	// again from baseEjection.
	ejectionReset = 10 * time.Second
	// unreachableLimit is the number of connection failures in a row that eject an
	// upstream: a single one may come from a connection that was idle for too long.
	unreachableLimit = 2
)

// health is the failure history of an upstream as seen by this daemon.
type health struct {
	// history tells whether the upstream still answers some requests.
	history            outlier.History
	failureRate        float64
	connectionFailures int
	ejections          int
	lastEjected        time.Time
	ejectedUntil       time.Time
	probing            bool
	// unreachable is set if the last ejection followed from failed connections, silent if it
	// followed from a silence.
	unreachable, silent bool
	// backoffUntil is the time until which the upstream wants no requests, zero once it has answered
	// after that. probingBackoff is set if it is probed only because it was in backoff.
	backoffUntil   time.Time
	probingBackoff bool
}

// record adds the outcome of an attempt, and returns whether it ejected the upstream or ended the
// probing of an ejected one.
func (h *health) record(o Outcome, began, now time.Time) HealthChange {
	ejectedUntil, probing := h.ejectedUntil, h.probing
	switch o {
	case Cancelled, Refused, Replaced:
		return HealthUnchanged
	case Done:
		h.succeed(began)
	case Unreachable:
		h.connectionFailures++
		h.fail(o, now)
	case Failed, Stalled:
		h.fail(o, now)
	}
	switch {
	case h.ejectedUntil.After(ejectedUntil):
		return HealthEjected
	case probing && !h.probing:
		return HealthReadmitted
	default:
		return HealthUnchanged
	}
}

// HealthChange is what the end of an attempt changed in an upstream's health.
type HealthChange uint8

// The changes of an upstream's health.
const (
	// HealthUnchanged means that it is as before.
	HealthUnchanged HealthChange = iota
	// HealthEjected means that the upstream gets no requests for a while.
	HealthEjected
	// HealthReadmitted means that an ejected upstream gets all requests again.
	HealthReadmitted
)

func (h *health) succeed(began time.Time) {
	h.history.Succeed()
	h.connectionFailures = 0
	h.failureRate *= 1 - failureSmoothing
	h.answered(began)
	if h.probing && began.After(h.ejectedUntil) {
		h.probing, h.silent, h.backoffUntil = false, false, time.Time{}
		h.failureRate = 0
	}
}

// backOff excludes the upstream until the given time, later than any before, and lets it be
// probed then. It doesn't count as a failure.
func (h *health) backOff(until time.Time) {
	h.backoffUntil = until
	if until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
	h.probingBackoff = h.probingBackoff || !h.probing
	h.probing = true
}

// answered ends the probing after a backoff once the upstream has begun to answer: a long
// response must not hold up all others.
func (h *health) answered(began time.Time) {
	if h.probingBackoff && began.After(h.ejectedUntil) {
		h.probing, h.probingBackoff, h.backoffUntil = false, false, time.Time{}
	}
}

func (h *health) fail(o Outcome, now time.Time) {
	h.history.Fail()
	h.failureRate += failureSmoothing * (1 - h.failureRate)
	if h.ejected(now) {
		return // the request began before the ejection
	}
	if h.probing && !h.probingBackoff || h.connectionFailures >= unreachableLimit || h.failureRate > failureLimit {
		h.unreachable, h.silent = o == Unreachable, o == Stalled
		h.eject(now)
	}
}

func (h *health) eject(now time.Time) {
	if now.Sub(h.lastEjected) > ejectionReset {
		h.ejections = 0
	}
	h.ejectedUntil = now.Add(min(maxEjection, baseEjection<<min(h.ejections, 8)))
	h.ejections++
	h.lastEjected = now
	h.probing, h.probingBackoff = true, false
	h.connectionFailures = 0
}

// fallSilent ejects the upstream until it is heard again, or for the time of an ejection.
func (h *health) fallSilent(now time.Time) bool {
	if h.ejected(now) || h.probing {
		return false
	}
	h.unreachable, h.silent = false, true
	h.eject(now)
	return true
}

// heard ends an ejection for silence. A backoff goes on.
func (h *health) heard() bool {
	if !h.silent {
		return false
	}
	*h = health{history: h.history, failureRate: h.failureRate, ejectedUntil: h.backoffUntil, backoffUntil: h.backoffUntil}
	h.probing = !h.backoffUntil.IsZero()
	h.probingBackoff = h.probing
	return true
}

// ejected reports whether the upstream is ejected at the given time.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// lastResort reports whether the upstream may get requests that no other one takes: it is ejected or
// probed, but still answers some. It isn't while in a backoff, or while that is probed.
func (h *health) lastResort(now time.Time) bool {
	return (h.ejected(now) || h.probing) && !h.silent && !h.probingBackoff && !now.Before(h.backoffUntil) && h.history.Answers()
}

// unreached reports whether connections to an ejected upstream fail, as far as is known all of them.
func (h *health) unreached() bool { return h.unreachable && !h.history.Answers() }

// readmitUnreachable ends an ejection after failed connections. A backoff goes on.
func (h *health) readmitUnreachable() {
	if !h.unreachable {
		return
	}
	*h = health{ejections: h.ejections, lastEjected: h.lastEjected, ejectedUntil: h.backoffUntil, backoffUntil: h.backoffUntil}
	h.probing = !h.backoffUntil.IsZero()
	h.probingBackoff = h.probing
}
