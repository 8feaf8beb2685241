package admission

import (
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonDeadline is a request that can't be answered by its deadline.
	ReasonDeadline Reason = "deadline can't be met"
	// ReasonQueueFull is one request too many in the queue.
	ReasonQueueFull Reason = "queue is full"
	// ReasonRate and ReasonConcurrent are a rule's limits.
	ReasonRate       Reason = "rule's limit of requests a second"
	ReasonConcurrent Reason = "rule's limit of concurrent requests"
	// ReasonNoCapacity is a pool without an upstream in service.
	ReasonNoCapacity Reason = "no upstream in service"
	// ReasonCancelled is a request whose caller went away while it waited.
	ReasonCancelled Reason = "cancelled while waiting"
	// ReasonStopping is a request that waited when the entry gave up its queue.
	ReasonStopping Reason = "instance is stopping"
)

// Refusal says that a request was not run and won't be: nothing was sent to
// any upstream.
type Refusal struct {
	Reason Reason
	// RetryAfter is when a repeat may succeed, from now; 0 means no advice.
	RetryAfter time.Duration
	// Waited is how long the request had been in the queue.
	Waited time.Duration
	// Expected is the wait in the queue that was foreseen, Needed the time
	// that the answer takes after it, Left the time until the deadline. They
	// are set for ReasonDeadline.
	ExpectedWait, RequiredTime, TimeLeft time.Duration
	// Rule names the rule whose limit it was.
	Rule string
}

func (r *Refusal) Error() string {
	switch r.Reason {
	case ReasonDeadline:
		return fmt.Sprintf("admission: not run: %s: %v in the queue and %v to answer, %v left",
			r.Reason, round(r.ExpectedWait), round(r.RequiredTime), round(r.TimeLeft))
	case ReasonRate, ReasonConcurrent:
		return fmt.Sprintf("admission: not run: %s (rule %q)", r.Reason, r.Rule)
	default:
		return "admission: not run: " + string(r.Reason)
	}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
