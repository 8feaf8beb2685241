// Package outcome holds how a request ended: whether it ran, and if it failed,
// why, with which HTTP status, and when the caller may come back.
package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Ran says whether a request ran, as far as the system knows for certain.
type Execution string

// The answers to the question whether a request ran. They stand in the
// Chute-Outcome header.
const (
	// RanWhole is a request whose answer came.
	Completed Execution = "ran"
	// NotRun is a request that certainly did not run and never will.
	NotRun Execution = "not-run"
	// MayHaveRun is everything else.
	MayHaveRun Execution = "may-have-run"
)

// RanOf says of a request without an answer whether it ran.
func ExecutionOf(mayHaveRun bool) Execution {
	if mayHaveRun {
		return MayHaveRun
	}
	return NotRun
}

// Header is the response header that carries a Ran.
const Header = "Chute-Outcome"

// StatusCallerGone is what logs usually show for a caller that closed its
// connection; the caller sees it only if it closed just its sending side.
const StatusCallerGone = 499

// KeyHeader is set to KeyOutcomeUnknown beside a not-run that speaks of one
// request only, and not of earlier ones with its idempotency key.
const (
	KeyHeader         = "Chute-Key-Outcome"
	KeyOutcomeUnknown = "unknown"
)

// ErrStopping is the cause of a context that ended because the instance stops
// and its grace is over.
var ErrStopping = errors.New("the instance is stopping")

// Code names the reason of a failure for programs.
type Code string

// The reasons of failures.
const (
	CodeInvalidRequest      Code = "invalid_request"
	CodeBodyTooLarge        Code = "body_too_large"
	CodeKeyRequired         Code = "idempotency_key_required"
	CodeKeyReused           Code = "idempotency_key_reused"
	CodeKeyInProgress       Code = "idempotency_key_in_progress"
	CodeKeyExpired          Code = "idempotency_key_expired"
	CodeResponseNotRecorded Code = "answer_not_recorded"
	CodeClaimFailed         Code = "claim_not_possible"
	CodeNoRule              Code = "no_rule_matches"
	CodeRefusedByRule       Code = "refused_by_rule"
	CodeRulesMissing        Code = "rules_not_loaded"
	CodeRuleLimit           Code = "rule_limit"
	CodeOverload            Code = "overloaded"
	CodeDeadlineTooShort    Code = "deadline_cannot_be_met"
	CodeDeadline            Code = "deadline_exceeded"
	CodeNoUpstream          Code = "no_upstream"
	CodeQuarantined         Code = "quarantined"
	CodeUpstreamBroken      Code = "upstream_broken"
	CodeUpstreamError       Code = "upstream_error"
	CodeCallerGone          Code = "caller_gone"
	CodeStreamUnknown       Code = "stream_not_known"
	CodeStreamLost          Code = "stream_lost"
	CodeInvalidEventID      Code = "event_id_not_valid"
	CodeStopping            Code = "instance_stopping"
	CodeInternal            Code = "internal_error"
)

// Failure is a request that got no answer of an upstream. It is an error and a
// value: each has its status, its reason and what is known of its running.
type Failure struct {
	Status    int
	Code      Code
	Message   string
	Execution Execution
	// RetryAfter is when asking again is worth while; 0 says nothing.
	RetryAfter time.Duration
	// KeyUnknown says of a protected call that was not run that an earlier
	// request with its key may have been.
	KeyUnknown bool
	// Rule names the rule that decided, if one did.
	Rule string
	// Cause is for the log; the caller doesn't see it.
	Cause error
}

func (f *Failure) Error() string {
	if f.Cause == nil {
		return fmt.Sprintf("%s (%s): %s", f.Code, f.Execution, f.Message)
	}
	return fmt.Sprintf("%s (%s): %s: %v", f.Code, f.Execution, f.Message, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Type returns the failure's class as the OpenAI interface names it.
func (f *Failure) Type() string {
	switch {
	case f.Status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case f.Status == http.StatusServiceUnavailable:
		return "overloaded_error"
	case f.Status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// Refused returns the failure of a request that was not run.
func Refused(status int, code Code, format string, args ...any) *Failure {
	return &Failure{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Execution: NotRun}
}

// After sets when asking again is worth while, and returns the failure.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}

// RetryAfterSeconds returns the Retry-After header's number: whole seconds,
// rounded up, as 0 would mean at once.
func (f *Failure) RetryAfterSeconds() int {
	return int((f.RetryAfter + time.Second - 1) / time.Second)
}
