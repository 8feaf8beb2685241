// Package outcome describes how a request ended: whether it ran, and if it failed,
// the reason, the HTTP status and when the caller may retry.
package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Execution says whether a request ran, as far as the system knows for certain.
type Execution string

// The values of Execution, as the Chute-Outcome header carries them.
const (
	// Completed is a request whose response was received.
	Completed Execution = "ran"
	// NotRun is a request that certainly did not run and never will.
	NotRun Execution = "not-run"
	// MayHaveRun is a request of which neither is certain.
	MayHaveRun Execution = "may-have-run"
)

// ExecutionOf returns the Execution of a request without a response.
func ExecutionOf(mayHaveRun bool) Execution {
	if mayHaveRun {
		return MayHaveRun
	}
	return NotRun
}

// Header is the response header that carries the Execution.
const Header = "Chute-Outcome"

// StatusCallerGone is the status that servers commonly log for a caller that closed
// its connection. A caller sees it only if it closed just its sending side.
const StatusCallerGone = 499

// KeyHeader is set to KeyOutcomeUnknown with a not-run that covers only this
// request and not earlier ones with the same idempotency key.
const (
	KeyHeader         = "Chute-Key-Outcome"
	KeyOutcomeUnknown = "unknown"
)

// ErrShuttingDown is the cause of a context that ended because the instance is
// stopping and its grace period is over.
var ErrShuttingDown = errors.New("the instance is stopping")

// ErrForwarderGone is the cause of a context that ended because the instance that passed a stream on has ended: its
// caller may take the stream up again at another one.
var ErrForwarderGone = errors.New("the instance that passed the stream on has gone")

// KeepsStream reports whether the engine's stream of a context that ended for this cause is left for its caller to take
// up again.
func KeepsStream(cause error) bool {
	return errors.Is(cause, ErrShuttingDown) || errors.Is(cause, ErrForwarderGone)
}

// Code is the machine-readable reason of a failure.
type Code string

// The failure codes that callers receive.
const (
	CodeInvalidRequest      Code = "invalid_request"
	CodeBodyTooLarge        Code = "body_too_large"
	CodeKeyRequired         Code = "idempotency_key_required"
	CodeKeyReused           Code = "idempotency_key_reused"
	CodeKeyInProgress       Code = "idempotency_key_in_progress"
	CodeKeyExpired          Code = "idempotency_key_expired"
	CodeResponseNotRecorded Code = "answer_not_recorded"
	CodeClaimFailed         Code = "claim_not_possible"
	CodeUnauthorised        Code = "api_key_not_valid"
	CodeKeysStale           Code = "api_keys_not_known"
	CodeNoRule              Code = "no_rule_matches"
	CodeRefusedByRule       Code = "refused_by_rule"
	CodeRulesMissing        Code = "rules_not_loaded"
	CodeRulesOutdated       Code = "rules_may_be_outdated"
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
	CodeShuttingDown        Code = "instance_stopping"
	CodeInternal            Code = "internal_error"
)

// Failure is the error of a request that got no response from an upstream, with
// its HTTP status, its code and whether the request may have run.
type Failure struct {
	Status    int
	Code      Code
	Message   string
	Execution Execution
	// RetryAfter is the time after which a retry may succeed; 0 means unknown.
	RetryAfter time.Duration
	// KeyUnknown is set for a protected call that did not run if an earlier request
	// with its key may have run.
	KeyUnknown bool
	// Rule names the rule that caused the failure, if one did.
	Rule string
	// Cause is for the log and isn't sent to the caller.
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

// Type returns the error type of the OpenAI API.
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

// Refused returns the failure of a request that did not run.
func Refused(status int, code Code, format string, args ...any) *Failure {
	return &Failure{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Execution: NotRun}
}

// WithRetryAfter sets RetryAfter and returns the failure.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}

// RetryAfterSeconds returns the value of the Retry-After header: whole seconds,
// rounded up, as 0 would mean an immediate retry.
func (f *Failure) RetryAfterSeconds() int {
	return int((f.RetryAfter + time.Second - 1) / time.Second)
}
