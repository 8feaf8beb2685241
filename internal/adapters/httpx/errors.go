package httpx

import (
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"tamarackchute/upstream"
)

// Names of headers shared by adapters and servers.
const (
	// HeaderNotRun marks a response that guarantees that the request did not run
	// and won't.
	HeaderNotRun = "X-Not-Run"
	// HeaderAttempt carries the ID of an attempt, in the request and in its
	// response.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderLimit names, in a response, the requests a second that its sender takes from all processes
	// together, for as long as it says so.
	HeaderLimit = "X-Request-Limit"
	// HeaderSender names the process that sends a request.
	HeaderSender = "X-Sender"
)

// CallError means that a call got no usable response. It matches its Kind, either
// upstream.ErrNotSent or upstream.ErrBroken, and its Cause, which is the context's
// error if the context ended the call.
type CallError struct {
	Kind  error
	Cause error
}

func (e *CallError) Error() string { return fmt.Sprintf("%v: %v", e.Kind, e.Cause) }

// Unwrap returns the kind and the cause.
func (e *CallError) Unwrap() []error { return []error{e.Kind, e.Cause} }

func notSent(cause error) error { return &CallError{Kind: upstream.ErrNotSent, Cause: cause} }

// Broken wraps the cause of a failure after the sending of the request has begun. The
// result never matches io.EOF, which marks the end of a complete stream: a response
// that was cut off would otherwise look complete.
func Broken(cause error) error {
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return &CallError{Kind: upstream.ErrBroken, Cause: cause}
}

// CheckAttempt returns an upstream.ErrBroken if a response names another attempt than the
// wanted one.
func CheckAttempt(h *fasthttp.ResponseHeader, want string) error {
	got := h.Peek(HeaderAttempt)
	if len(got) == 0 || string(got) == want {
		return nil
	}
	return Broken(fmt.Errorf("response is for attempt %q, wanted %q", got, want))
}

// StatusError is a response with an unexpected status. It matches
// upstream.ErrRefused if the response says that the request did not run.
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

// Refused reports whether a response says that the request did not run: it has
// status 429 or 503 and HeaderNotRun.
func Refused(h *fasthttp.ResponseHeader) bool {
	s := h.StatusCode()
	if s != fasthttp.StatusTooManyRequests && s != fasthttp.StatusServiceUnavailable {
		return false
	}
	return len(h.Peek(HeaderNotRun)) > 0
}

// maxDetail is how much of a response body is included in an error, in bytes.
const maxDetail = 200

// NewStatusError returns the StatusError for a response.
func NewStatusError(resp *fasthttp.Response) error {
	body := resp.Body()
	if len(body) > maxDetail {
		body = body[:maxDetail]
	}
	return &StatusError{Status: resp.StatusCode(), NotRun: Refused(&resp.Header), Detail: string(body)}
}
