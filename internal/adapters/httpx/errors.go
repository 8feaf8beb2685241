package httpx

import (
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"tamarackchute/upstream"
)

// Header names that adapters and servers agree on.
const (
	// HeaderNotRun marks a refusal after which the request certainly did not
	// run and won't.
	HeaderNotRun = "X-Not-Run"
	// HeaderAttempt carries the id of one attempt, in the request and back in
	// its response.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderSender names the process that sends a request.
	HeaderSender = "X-Sender"
)

// CallError is a call that got no usable response. It matches its Kind, one of
// upstream.ErrNotSent and upstream.ErrBroken, and its Cause, which is the
// context's error if the context ended the call.
type CallError struct {
	Kind  error
	Cause error
}

func (e *CallError) Error() string { return fmt.Sprintf("%v: %v", e.Kind, e.Cause) }

// Unwrap returns the kind and the cause.
func (e *CallError) Unwrap() []error { return []error{e.Kind, e.Cause} }

func notSent(cause error) error { return &CallError{Kind: upstream.ErrNotSent, Cause: cause} }

// Broken wraps the cause of a failure after request bytes were sent. The
// result never matches io.EOF, by which a stream's reader tells the end of a
// whole answer: a connection closed too early would pass for a short answer.
func Broken(cause error) error {
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return &CallError{Kind: upstream.ErrBroken, Cause: cause}
}

// StatusError is a response whose status is not the one wanted. It matches
// upstream.ErrRefused if the server said that the request did not run.
type StatusError struct {
	Status int
	NotRun bool
	Detail string
}

func (e *StatusError) Error() string {
	if e.NotRun {
		return fmt.Sprintf("status %d, not run: %s", e.Status, e.Detail)
	}
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}

// Is reports whether the target is upstream.ErrRefused and the request did not
// run.
func (e *StatusError) Is(target error) bool {
	return target == upstream.ErrRefused && e.NotRun
}

// Refused reports whether a response says that the request did not run: status
// 429 or 503 with HeaderNotRun.
func Refused(h *fasthttp.ResponseHeader) bool {
	s := h.StatusCode()
	if s != fasthttp.StatusTooManyRequests && s != fasthttp.StatusServiceUnavailable {
		return false
	}
	return len(h.Peek(HeaderNotRun)) > 0
}

// maxDetail bounds how much of an error body goes into an error text.
const maxDetail = 200

// StatusOf makes the error for a response with an unwanted status.
func NewStatusError(resp *fasthttp.Response) error {
	body := resp.Body()
	if len(body) > maxDetail {
		body = body[:maxDetail]
	}
	return &StatusError{Status: resp.StatusCode(), NotRun: Refused(&resp.Header), Detail: string(body)}
}
