package soak

import (
	"fmt"
	"time"
)

// Promise names what the system promises.
type Promise string

// The promises that are checked.
const (
	RunsOnce        Promise = "a request that must not be repeated runs at most once"
	TrueRefusal     Promise = "a request refused as not run hasn't run"
	OwnAnswer       Promise = "an answer is the whole and genuine one to the caller's own request"
	WholeStream     Promise = "events come in order, without a gap, and none is missing at the end"
	RightPool       Promise = "a request runs only in the pool that its rule names"
	NoForgery       Promise = "headers that only the system may set don't come from callers"
	BoundedRepeats  Promise = "repeats stay within the budget"
	CloseIsPassed   Promise = "a caller's close ends the work at the servers"
	LeavingIsSpared Promise = "a server that leaves or has gone gets nothing new after some seconds"
	ConfigInForce   Promise = "a new configuration is in force in time"
	ConfigNeverBack Promise = "a configuration never goes back"
	StopCutsNothing Promise = "a daemon that lives or stops as planned cuts off no request"
	AnsweredInTime  Promise = "each request has its final answer soon after its deadline"
	OneHolder       Promise = "an engine's orders come from one holder at a time"
	Recovers        Promise = "the system serves everything again soon after the troubles end"
	StaysUp         Promise = "no daemon ends by itself"
	EndsInGrace     Promise = "a daemon that is told to stop ends within its grace"
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
