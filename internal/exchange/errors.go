package exchange

import (
	"errors"
	"fmt"
)

// ErrForeign says that an upstream answered with another request's answer.
var ErrForeign = errors.New("exchange: the answer names another request")

// ErrTooLong says that an answer is longer than its reader takes.
var ErrTooLong = errors.New("exchange: the answer is too long")

// NotSentError says that no byte of the request reached the upstream.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("exchange: not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError says that the request was sent, at least in part, and that no
// answer to it came: it may have run.
type LostError struct {
	Cause error
	// Kept says that the connection had carried requests before.
	Kept bool
}

func (e *LostError) Error() string { return fmt.Sprintf("exchange: no answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }
