// Package dispatch decides, after each failed attempt of a request, whether the
// request may be sent again. It keeps what is known of the request's running, so
// that no failure claims more than that.
package dispatch

import "tamarackchute/rules"

// Repeat says after which failures a request may be sent again.
type Repeat uint8

// The kinds of repeat.
const (
	// Never: not even if nothing has run.
	Never Repeat = iota
	// Unsent: only while it certainly hasn't run.
	Unsent
	// Repeatable: also if it may have run.
	Repeatable
)

// RepeatOf returns what a rule's retry class allows.
func RepeatOf(c rules.RetryClass) Repeat {
	switch c {
	case rules.RetryUnsent:
		return Unsent
	case rules.RetryRepeatable:
		return Repeatable
	default:
		return Never
	}
}

// Fate says what is known of the request's running after an attempt.
type Fate uint8

// The fates of an attempt.
const (
	// NotSent: nothing reached an upstream.
	NotSent Fate = iota
	// NotRun: the upstream says that it did not run the request.
	NotRun
	// MayHaveRun: it was sent, and no answer tells.
	MayHaveRun
)

// String names the fate in logs.
func (f Fate) String() string {
	return [...]string{"not sent", "not run", "may have run"}[f]
}

// Verdict says whether a request may be sent again.
type Verdict uint8

// The verdicts.
const (
	// Again: it may.
	Again Verdict = iota
	// NoRepeat: it may have run and must not run twice, or its rule forbids any
	// repeat.
	NoRepeat
	// NoAttempts: its attempts are used up.
	NoAttempts
	// NoBudget: too many requests are being repeated.
	NoBudget
)

// Policy bounds the attempts of a request.
type Policy struct {
	Repeat Repeat
	// MaxAttempts bounds the attempts that count.
	MaxAttempts int
	// CountUnrun says that attempts that certainly did not run count too.
	CountUnrun bool
	// Allow counts one more repeat against the budget that all requests share,
	// and reports whether it may be made.
	Allow func() bool
}

// Tries is what is known of one request's attempts. It isn't safe for concurrent
// use.
type Tries struct {
	policy   Policy
	attempts int
	ran      bool
}

// New returns the state of a request that hasn't been sent.
func New(p Policy) Tries { return Tries{policy: p} }

// Ran reports whether the request may have run.
func (t *Tries) Ran() bool { return t.ran }

// Attempts returns the number of attempts that count.
func (t *Tries) Attempts() int { return t.attempts }

// Count counts one more attempt.
func (t *Tries) Count() { t.attempts++ }

// Uncount takes an attempt back that turned out to be none.
func (t *Tries) Uncount() { t.attempts-- }

// NoteRun notes that the request may have run.
func (t *Tries) NoteRun() { t.ran = true }

// Exhausted reports whether all attempts are used up.
func (t *Tries) Exhausted() bool { return t.attempts >= t.policy.MaxAttempts }

// MayRepeat reports whether the request could be sent again though it may have run,
// the budget aside. uncounted is the number of attempts under way that aren't
// counted yet.
func (t *Tries) MayRepeat(uncounted int) bool {
	return t.policy.Repeat == Repeatable && t.attempts+uncounted < t.policy.MaxAttempts
}

// Next decides after an attempt. costly says that the repeat adds to the load of
// upstreams and so draws on the budget.
func (t *Tries) Next(f Fate, costly bool) Verdict {
	mayHaveRun := f == MayHaveRun
	switch {
	case t.policy.Repeat == Never, mayHaveRun && t.policy.Repeat == Unsent:
		return NoRepeat
	case (mayHaveRun || t.policy.CountUnrun) && t.Exhausted():
		return NoAttempts
	case costly && !t.policy.Allow():
		return NoBudget
	default:
		return Again
	}
}
