package admission

import (
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonDeadline is a request that can't meet its deadline.
	ReasonDeadline Reason = "deadline can't be met"
	// ReasonQueueFull is a request beyond the bound of the queue.
	ReasonQueueFull Reason = "queue is full"
	// ReasonRate and ReasonConcurrent are the limits of a rule.
	ReasonRate       Reason = "rule's limit of requests a second"
	ReasonConcurrent Reason = "rule's limit of concurrent requests"
	// ReasonNoCapacity is a pool without an upstream in service.
	ReasonNoCapacity Reason = "no upstream in service"
	// ReasonCancelled is a request whose caller cancelled while it waited.
	ReasonCancelled Reason = "cancelled while waiting"
	// ReasonShuttingDown is a request that was waiting or arrived as the process stopped.
	ReasonShuttingDown Reason = "instance is stopping"
)

// Refusal is the error of a request that was not run and won't be: nothing was sent
// to any upstream.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed; 0 means unknown.
	RetryAfter time.Duration
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// ExpectedWait is the expected remaining queueing time, RequiredTime the
	// expected time to the complete response after it, TimeLeft the time until the
	// deadline. They are set for ReasonDeadline.
	ExpectedWait, RequiredTime, TimeLeft time.Duration
	// Rule names the rule whose limit was reached.
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
