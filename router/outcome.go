package router

// Outcome says how an attempt at an upstream ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeOK is a complete response.
	OutcomeOK Outcome = iota
	// OutcomeCancelled is an attempt that the caller abandoned; it says nothing
	// about the upstream.
	OutcomeCancelled
	// OutcomeRefused is an upstream that accepts no work now.
	OutcomeRefused
	// OutcomeTimeout is an attempt that exceeded its time limit at the upstream.
	OutcomeTimeout
	// OutcomeNotSent is a connection that couldn't be established.
	OutcomeNotSent
	// OutcomeBroken is an upstream that failed or closed the connection during
	// the attempt.
	OutcomeBroken
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeOK:
		return "ok"
	case OutcomeCancelled:
		return "cancelled"
	case OutcomeRefused:
		return "refused"
	case OutcomeTimeout:
		return "timeout"
	case OutcomeNotSent:
		return "not-sent"
	case OutcomeBroken:
		return "broken"
	default:
		return "unknown"
	}
}
