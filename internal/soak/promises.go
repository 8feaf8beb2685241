package soak

import (
	"fmt"
	"time"
)

// Promise is a property that the system promises, in words.
type Promise string

// The promises that the soak checks.
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
	NothingDenied          Promise = "what a configuration allows isn't denied by an older one"
	ConfigMonotonic        Promise = "a configuration never goes back"
	EndlessGivenUp         Promise = "bytes without end are given up"
	NoCutRequests          Promise = "a daemon that lives or stops as planned cuts off no request"
	AnsweredByDeadline     Promise = "each request has its final answer soon after its deadline"
	SingleLeaseHolder      Promise = "an engine's orders come from one holder at a time"
	Recovers               Promise = "the system serves everything again soon after the troubles end"
	NoUnexpectedExit       Promise = "no daemon ends by itself"
	StopsWithinGrace       Promise = "a daemon that is told to stop ends within its grace"
	OwnPrefill             Promise = "a request goes on only from its own prefill"
	DrainNoticeRespected   Promise = "a server that says it leaves gets nothing new from a daemon that has passed this on"
	BackoffRespected       Promise = "a server that asks for a backoff gets it"
	KeysStayInside         Promise = "servers are told the caller's organisation and never a key, nor do logs have one"
	RevocationHolds        Promise = "a key isn't used any more soon after its removal"
	ValidKeysAccepted      Promise = "a valid key isn't refused"
	OneReport              Promise = "a window's usage is reported in one way only"
	UsageReported          Promise = "usage is reported in time and as it was"
	LethalRefused          Promise = "a request that crashes servers is refused by all daemons"
	CutDaemonsServe        Promise = "daemons without a path to the servers serve what others could"
	ForwardedOnce          Promise = "a request goes from one daemon to another once"
	PoolUsed               Promise = "a pool that answers most requests is used"
	OneVersion             Promise = "a stream holds events of one software version"
	StreamsGoOn            Promise = "streams go on while servers of their version serve"
	CommonServed           Promise = "a request that was answered is served after servers crash at one moment"
	OtherHostServed        Promise = "a request isn't refused for what the same path of another host does"
	StreamsOutlastSilence  Promise = "a stream that has begun isn't ended for the silence of sound servers"
	StopEndsWhole          Promise = "what a stopping daemon has read ends whole or is refused as not run"
	HandedStreamsGoOn      Promise = "a stream doesn't end with the daemon to which another one has handed it"
	LimitKept              Promise = "a server's limit holds over all daemons"
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

// The time limits of the promises. Where the soak's site doesn't configure a limit, it is the
// one that the platform sets for its existing sites.
const (
	maxConfigDelay = 3 * time.Second
	maxDrainNotice = 3 * time.Second
	// maxRemovalNotice is the limit for a server whose entry was removed: after an outage of the
	// store it may be used for two more seconds.
	maxRemovalNotice = 5 * time.Second
	maxCancelDelay   = 500 * time.Millisecond
	responseSlack    = time.Second
	// exitSlack is the time before a process's exit in which a new request on a persistent
	// connection may still be lost.
	exitSlack = 200 * time.Millisecond
	// A violation takes more than maxLateCloses late closes of a service in a run, and more than
	// the share maxLateShare of them.
	maxLateCloses = 2
	maxLateShare  = 0.25
	// maxLeavingNotice is the limit for a server that says so itself.
	maxLeavingNotice = 2 * time.Second
	// From backoffNotice after a server has asked a daemon for a backoff until the backoff's end, the
	// daemon may send it maxBackoffArrivals requests.
	backoffNotice      = 500 * time.Millisecond
	maxBackoffArrivals = 2
)
