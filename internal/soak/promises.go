package soak

import (
	"fmt"
	"time"
)

// Promise names what the system promises.
type Promise string

// The promises that are checked.
const (
	AtMostOnce             Promise = "a request that must not be repeated runs at most once"
	RefusedNotRun          Promise = "a request refused as not run hasn't run"
	CorrectResponse        Promise = "an answer is the whole and genuine one to the caller's own request"
	CompleteStream         Promise = "events come in order, without a gap, and none is missing at the end"
	CorrectPool            Promise = "a request runs only in the pool that its rule names"
	NoForgedHeaders        Promise = "headers that only the system may set don't come from callers"
	BoundedRetries         Promise = "repeats stay within the budget"
	CancellationPropagates Promise = "a caller's close ends the work at the servers"
	DrainedServerSpared    Promise = "a server that leaves or has gone gets nothing new after some seconds"
	ConfigApplied          Promise = "a new configuration is in force in time"
	ConfigMonotonic        Promise = "a configuration never goes back"
	NoCutRequests          Promise = "a daemon that lives or stops as planned cuts off no request"
	AnsweredByDeadline     Promise = "each request has its final answer soon after its deadline"
	SingleLeaseHolder      Promise = "an engine's orders come from one holder at a time"
	Recovers               Promise = "the system serves everything again soon after the troubles end"
	NoUnexpectedExit       Promise = "no daemon ends by itself"
	StopsWithinGrace       Promise = "a daemon that is told to stop ends within its grace"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	At      time.Time
	Detail  string
}

// String describes the violation for reports.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.At.Format("15:04:05.000"), v.Promise, v.Detail)
}

// Bounds of the promises that hold in time. They are the platform's for its
// sites of today, where the soak's site isn't given them.
const (
	configWithin = 3 * time.Second
	leaveWithin  = 3 * time.Second
	// goneWithin is that for a server whose entry was taken out: after an outage of
	// the store it may still be used for two seconds more.
	goneWithin  = 5 * time.Second
	closeWithin = 500 * time.Millisecond
	answerSlack = time.Second
	// exitSlack is the time before a process's end in which a new request on a
	// kept connection may still be lost.
	exitSlack = 200 * time.Millisecond
	// fewLate is the number of closes that may be late in a run, whatever their
	// share, and lateShare the share of them all.
	fewLate   = 2
	lateShare = 0.25
)
