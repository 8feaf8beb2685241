// Package dispatch decides after each failed attempt whether a request may be retried.
// It tracks whether the request may have run, so that no failure reports that it didn't
// when that isn't certain.
package dispatch

import "tamarackchute/rules"

// RetryMode says after which failures a request may be retried.
type RetryMode uint8

// The retry modes.
const (
	// RetryNever allows no retry, not even of a request that has not run.
	RetryNever RetryMode = iota
	// RetryIfNotRun allows retries only of a request that certainly has not run.
	RetryIfNotRun
	// RetryAlways allows retries also of a request that may have run.
	RetryAlways
)

// RetryModeOf returns the retry mode for a rule's retry class.
func RetryModeOf(c rules.RetryClass) RetryMode {
	switch c {
	case rules.RetryUnsent:
		return RetryIfNotRun
	case rules.RetryRepeatable:
		return RetryAlways
	default:
		return RetryNever
	}
}

// Execution says whether an attempt executed the request, as far as is known.
type Execution uint8

// The values of Execution.
const (
	// NotSent means that nothing reached an upstream.
	NotSent Execution = iota
	// NotRun means that the upstream stated that it did not run the request.
	NotRun
	// MayHaveRun means that the request was sent, and no response says that it didn't run.
	MayHaveRun
)

// String returns the value's name in logs and metrics.
func (e Execution) String() string {
	return [...]string{"not sent", "not run", "may have run"}[e]
}

// Decision says whether a request may be retried.
type Decision uint8

// The decisions.
const (
	// Retry allows the retry.
	Retry Decision = iota
	// NotRetryable means that the request may have run and must not run twice, or that
	// its rule forbids retries.
	NotRetryable
	// AttemptsExhausted means that the request has used up its attempts.
	AttemptsExhausted
	// BudgetExhausted means that the retry budget is used up.
	BudgetExhausted
)

// Policy limits the retries of a request.
type Policy struct {
	Mode RetryMode
	// MaxAttempts limits the counted attempts.
	MaxAttempts int
	// CountNotRun applies MaxAttempts also after attempts that certainly did not run.
	CountNotRun bool
	// AllowRetry reports whether one more retry is within the budget that all requests
	// share, and counts it if so.
	AllowRetry func() bool
}

// State is the state of one request's attempts. Its user decides which attempts count. It
// isn't safe for concurrent use.
type State struct {
	policy     Policy
	attempts   int
	mayHaveRun bool
}

// New returns the state of a request that hasn't been sent.
func New(p Policy) State { return State{policy: p} }

// MayHaveRun reports whether the request may have run.
func (s *State) MayHaveRun() bool { return s.mayHaveRun }

// Attempts returns the number of counted attempts.
func (s *State) Attempts() int { return s.attempts }

// RecordAttempt counts one more attempt.
func (s *State) RecordAttempt() { s.attempts++ }

// RemoveAttempt takes back the count of an attempt that didn't take place after all.
func (s *State) RemoveAttempt() { s.attempts-- }

// RecordRun records that the request may have run.
func (s *State) RecordRun() { s.mayHaveRun = true }

// Exhausted reports whether all attempts are used up.
func (s *State) Exhausted() bool { return s.attempts >= s.policy.MaxAttempts }

// MayRetry reports whether the request could be retried although it may have run,
// ignoring the budget. uncounted is the number of attempts in progress that aren't
// counted yet.
func (s *State) MayRetry(uncounted int) bool {
	return s.policy.Mode == RetryAlways && s.attempts+uncounted < s.policy.MaxAttempts
}

// Repeatable reports whether the request may run more than once.
func (s *State) Repeatable() bool { return s.policy.Mode == RetryAlways }

// Repeat decides whether a request that may run more than once is sent again to where it has run already, which is no
// further attempt but uses the budget.
func (s *State) Repeat() Decision {
	switch {
	case !s.Repeatable():
		return NotRetryable
	case !s.policy.AllowRetry():
		return BudgetExhausted
	default:
		return Retry
	}
}

// Next decides after a failed attempt whether to retry. costly says that the attempt put
// load on an upstream, so that a retry uses the budget.
func (s *State) Next(e Execution, costly bool) Decision {
	mayHaveRun := e == MayHaveRun
	switch {
	case s.policy.Mode == RetryNever, mayHaveRun && s.policy.Mode == RetryIfNotRun:
		return NotRetryable
	case (mayHaveRun || s.policy.CountNotRun) && s.Exhausted():
		return AttemptsExhausted
	case costly && !s.policy.AllowRetry():
		return BudgetExhausted
	default:
		return Retry
	}
}
