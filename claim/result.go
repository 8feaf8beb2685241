package claim

import (
	"time"

	"tamarackchute/upstream"
)

// Recorded is the answer of a protected call's run.
type Response struct {
	Status  int
	Headers []upstream.Header
	Body    []byte
}

// size is what the answer takes up.
func (r Response) size() int {
	n := len(r.Body)
	for _, h := range r.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// DispatchError says what is known of a dispatch.
type DispatchResult uint8

// The outcomes of a dispatch.
const (
	// DispatchAnswered: the call ran, and here is its answer.
	DispatchCompleted DispatchResult = iota
	// DispatchNotRun: the call certainly did not run and never will: it was not
	// sent, or the upstream refused it before running.
	DispatchNotRun
	// DispatchMayHaveRun: the connection broke or the time ran out after the
	// call was sent.
	DispatchMayHaveRun
)

// Result is what a caller may be told: Done, NotRun, MayHaveRun, KeyReused or
// KeyTooOld.
type Result interface{ isResult() }

// Done says that the call ran, once.
type Done struct {
	Response Response
	// Replayed is set if an earlier request with the key ran it.
	Replayed bool
	// AnswerKept is whether Recorded is the whole answer. If not, it was too
	// large or too long ago, and only Recorded.Status is known.
	ResponseComplete bool
}

// NotRun says that this request did not run and never will.
type NotRun struct {
	Reason NotRunReason
	// Scope tells what else is known about the key.
	Scope Scope
	// RetryAfter is when to ask again, with the same key.
	RetryAfter time.Duration
}

// Scope says how far a NotRun reaches.
type Scope uint8

// The scopes.
const (
	// ScopeRequest: this request. Whether another request with the same key
	// ran earlier is not known now.
	ScopeRequest Scope = iota
	// ScopeKey: no request with this key had run when the answer was given.
	ScopeKey
)

// NotRunReason says why a request was not run.
type NotRunReason string

// The reasons for not running a request.
const (
	ReasonLogDown        NotRunReason = "log_down"         // the log doesn't answer
	ReasonClaimUnclear   NotRunReason = "claim_unclear"    // the claim was not confirmed in time
	ReasonHistoryUnknown NotRunReason = "history_unknown"  // earlier claims expired before they were read
	ReasonTooManyKeys    NotRunReason = "too_many_keys"    // no memory for another key
	ReasonContended      NotRunReason = "contended"        // others claimed and withdrew again and again
	ReasonPaused         NotRunReason = "paused"           // too long between claim and dispatch
	ReasonCallerGone     NotRunReason = "caller_gone"      // the caller's time was up before dispatch
	ReasonUpstream       NotRunReason = "upstream_refused" // not sent, or refused by the upstream
	ReasonKeyFromFuture  NotRunReason = "key_from_future"  // a timed key from a clock that is ahead
	ReasonStopping       NotRunReason = "stopping"         // this process is stopping
)

// MayHaveRun says that the call may have run, and that its answer isn't known.
type MayHaveRun struct{ Reason MayHaveRunReason }

// MayHaveRunReason says why the outcome isn't known.
type MayHaveRunReason string

// The reasons for not knowing.
const (
	// ReasonRunning: a request with this key was claimed and may be running;
	// a resend may get its answer.
	ReasonRunning MayHaveRunReason = "running"
	// ReasonBrokenOff: the run broke off after it was sent.
	ReasonBrokenOff MayHaveRunReason = "broken_off"
	// ReasonNoOutcome: it was claimed long ago and no outcome was recorded.
	ReasonNoOutcome MayHaveRunReason = "no_outcome"
)

// KeyReused says that the key belongs to a different request. This request did
// not run and never will.
type KeyReused struct{}

// KeyTooOld says that the key is older than keys are known. This request did
// not run; whether an earlier one with the key ran is not known any more.
type KeyTooOld struct{}

func (Done) isResult()       {}
func (NotRun) isResult()     {}
func (MayHaveRun) isResult() {}
func (KeyReused) isResult()  {}
func (KeyTooOld) isResult()  {}
