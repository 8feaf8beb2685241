// Package dispatch decides, after each failed attempt of a request, whether the
// request may be sent again. It keeps what is known of the request's running, so
// that no failure claims more than that.
package dispatch

import "tamarackchute/rules"

// RetryMode says after which failures a request may be sent again.
type RetryMode uint8

// The kinds of repeat.
const (
	// RetryNever: not even if nothing has run.
	RetryNever RetryMode = iota
	// RetryIfNotRun: only while it certainly hasn't run.
	RetryIfNotRun
	// RetryAlways: also if it may have run.
	RetryAlways
)

// RetryModeOf returns what a rule's retry class allows.
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

// Execution says what is known of the request's running after an attempt.
type Execution uint8

// The fates of an attempt.
const (
	// NotSent: nothing reached an upstream.
	NotSent Execution = iota
	// NotRun: the upstream says that it did not run the request.
	NotRun
	// MayHaveRun: it was sent, and no answer tells.
	MayHaveRun
)

// String names the fate in logs.
func (f Execution) String() string {
	return [...]string{"not sent", "not run", "may have run"}[f]
}

// Decision says whether a request may be sent again.
type Decision uint8

// The verdicts.
const (
	// Retry: it may.
	Retry Decision = iota
	// NotRetryable: it may have run and must not run twice, or its rule forbids any
	// repeat.
	NotRetryable
	// AttemptsExhausted: its attempts are used up.
	AttemptsExhausted
	// BudgetExhausted: too many requests are being repeated.
	BudgetExhausted
)

// Policy bounds the attempts of a request.
type Policy struct {
	Mode RetryMode
	// MaxAttempts bounds the attempts that count.
	MaxAttempts int
	// CountNotRun says that attempts that certainly did not run count too.
	CountNotRun bool
	// AllowRetry counts one more repeat against the budget that all requests share,
	// and reports whether it may be made.
	AllowRetry func() bool
}

// State is what is known of one request's attempts. It isn't safe for concurrent
// use.
type State struct {
	policy   Policy
	attempts int
	ran      bool
}

// New returns the state of a request that hasn't been sent.
func New(p Policy) State { return State{policy: p} }

// MayHaveRun reports whether the request may have run.
func (t *State) MayHaveRun() bool { return t.ran }

// Attempts returns the number of attempts that count.
func (t *State) Attempts() int { return t.attempts }

// RecordAttempt counts one more attempt.
func (t *State) RecordAttempt() { t.attempts++ }

// RemoveAttempt takes an attempt back that turned out to be none.
func (t *State) RemoveAttempt() { t.attempts-- }

// RecordRun notes that the request may have run.
func (t *State) RecordRun() { t.ran = true }

// Exhausted reports whether all attempts are used up.
func (t *State) Exhausted() bool { return t.attempts >= t.policy.MaxAttempts }

// MayRetry reports whether the request could be sent again though it may have run,
// the budget aside. uncounted is the number of attempts under way that aren't
// counted yet.
func (t *State) MayRetry(uncounted int) bool {
	return t.policy.Mode == RetryAlways && t.attempts+uncounted < t.policy.MaxAttempts
}

// Next decides after an attempt. costly says that the repeat adds to the load of
// upstreams and so draws on the budget.
func (t *State) Next(f Execution, costly bool) Decision {
	mayHaveRun := f == MayHaveRun
	switch {
	case t.policy.Mode == RetryNever, mayHaveRun && t.policy.Mode == RetryIfNotRun:
		return NotRetryable
	case (mayHaveRun || t.policy.CountNotRun) && t.Exhausted():
		return AttemptsExhausted
	case costly && !t.policy.AllowRetry():
		return BudgetExhausted
	default:
		return Retry
	}
}
