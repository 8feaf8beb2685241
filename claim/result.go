package claim

import (
	"time"

	"tamarackchute/upstream"
)

// Response is the response of a protected call.
type Response struct {
	Status  int
	Headers []upstream.Header
	Body    []byte
}

// size returns the bytes of the headers and the body.
func (r Response) size() int {
	n := len(r.Body)
	for _, h := range r.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// DispatchResult says what is known of a dispatch.
type DispatchResult uint8

// The results of a dispatch.
const (
	// DispatchCompleted: the call ran and its response is known.
	DispatchCompleted DispatchResult = iota
	// DispatchNotRun: the call did not run and never will: it was not sent, or
	// the upstream refused it before running it.
	DispatchNotRun
	// DispatchMayHaveRun: the connection failed or the deadline passed after the
	// call was sent.
	DispatchMayHaveRun
)

// Result is the result of a call: Done, NotRun, MayHaveRun, KeyReused or
// KeyTooOld.
type Result interface{ isResult() }

// Done says that the call ran exactly once.
type Done struct {
	Response Response
	// Replayed is set if an earlier request with the key ran it.
	Replayed bool
	// ResponseComplete says that Response is the complete response. If unset,
	// the response was too large or is too old, and only its Status is known.
	ResponseComplete bool
}

// NotRun says that this request did not run and never will.
type NotRun struct {
	Reason NotRunReason
	// Scope says what is known about other requests with the key.
	Scope Scope
	// RetryAfter is the time after which to retry with the same key.
	RetryAfter time.Duration
}

// Scope says which requests a NotRun applies to.
type Scope uint8

// The scopes.
const (
	// ScopeRequest: this request only. Whether an earlier request with the same
	// key ran is not known now.
	ScopeRequest Scope = iota
	// ScopeKey: no request with this key had run when the result was returned.
	ScopeKey
)

// NotRunReason says why a request was not run.
type NotRunReason string

// The reasons for not running a request.
const (
	ReasonLogDown        NotRunReason = "log_down"         // the log is unavailable
	ReasonClaimUnclear   NotRunReason = "claim_unclear"    // the claim was not confirmed in time
	ReasonHistoryUnknown NotRunReason = "history_unknown"  // claims expired from the log before they were read
	ReasonTooManyKeys    NotRunReason = "too_many_keys"    // the bound on keys or unclear claims is reached
	ReasonContended      NotRunReason = "contended"        // other attempts claimed the key again and again
	ReasonPaused         NotRunReason = "paused"           // too long between claim and dispatch
	ReasonCallerGone     NotRunReason = "caller_gone"      // the caller's deadline passed before the dispatch
	ReasonUpstream       NotRunReason = "upstream_refused" // not sent, or refused by the upstream
	ReasonKeyFromFuture  NotRunReason = "key_from_future"  // a timed key whose creator's clock is ahead
	ReasonShuttingDown   NotRunReason = "stopping"         // this process is shutting down
)

// MayHaveRun says that the call may have run, but its outcome is not known.
type MayHaveRun struct{ Reason MayHaveRunReason }

// MayHaveRunReason says why the outcome is not known.
type MayHaveRunReason string

// The reasons for an unknown outcome.
const (
	// ReasonRunning: a request with this key was claimed and may be running;
	// a retry may get its response.
	ReasonRunning MayHaveRunReason = "running"
	// ReasonBrokenOff: the dispatch failed after the call was sent.
	ReasonBrokenOff MayHaveRunReason = "broken_off"
	// ReasonNoOutcome: the claim is older than a call may take, and no outcome was
	// recorded.
	ReasonNoOutcome MayHaveRunReason = "no_outcome"
)

// KeyReused says that the key was used for a different request. This request
// did not run and never will.
type KeyReused struct{}

// KeyTooOld says that the key's time is past the TTL of keys. This request did
// not run; whether an earlier one with the key ran is no longer known.
type KeyTooOld struct{}

func (Done) isResult()       {}
func (NotRun) isResult()     {}
func (MayHaveRun) isResult() {}
func (KeyReused) isResult()  {}
func (KeyTooOld) isResult()  {}
