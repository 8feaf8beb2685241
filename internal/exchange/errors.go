package exchange

import (
	"errors"
	"fmt"
)

// ErrMismatchedResponse says that an upstream answered with another request's answer.
var ErrMismatchedResponse = errors.New("exchange: the answer names another request")

// ErrResponseTooLarge says that an answer is longer than its reader takes.
var ErrResponseTooLarge = errors.New("exchange: the answer is too long")

// NotSentError says that no byte of the request reached the upstream.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("exchange: not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoResponseError says that the request was sent, at least in part, and that no
// answer to it came: it may have run.
type NoResponseError struct {
	Cause error
	// ReusedConn says that the connection had carried requests before.
	ReusedConn bool
}

func (e *NoResponseError) Error() string { return fmt.Sprintf("exchange: no answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }
