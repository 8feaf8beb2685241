package exchange

import (
	"errors"
	"fmt"
)

// ErrMismatchedResponse is returned for a response that belongs to another request.
var ErrMismatchedResponse = errors.New("exchange: the response belongs to another request")

// ErrResponseTooLarge is returned for a response whose head or body exceeds its limit.
var ErrResponseTooLarge = errors.New("exchange: the response exceeds its size limit")

// NotSentError means that no byte of the request reached the upstream.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("exchange: not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoResponseError means that the request was sent, at least in part, and that no
// response to it arrived: it may have run.
type NoResponseError struct {
	Cause error
	// ReusedConn says that the connection had carried earlier requests.
	ReusedConn bool
}

func (e *NoResponseError) Error() string { return fmt.Sprintf("exchange: no response: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// ErrClosedAtOnce is returned for a connection that was made and then ended by the other side before
// anything was sent.
var ErrClosedAtOnce = errors.New("exchange: the connection was closed at once")
