// Package relay is a reverse proxy that doesn't interpret request bodies. It matches the
// rule, queues for capacity, sends the request, decides after a failure whether to retry,
// and never reports to the caller that a request didn't run when it may have.
//
// Header names and formats of the outer protocol are left to a Dialect.
package relay

import (
	"net/http"
	"time"

	"tamarackchute/placement"
)

// Call holds what the headers of a caller's request state.
type Call struct {
	// ID is the caller's request id, which upstreams must echo.
	ID string
	// Timeout is how long the caller waits for the response, 0 if it doesn't state it.
	Timeout time.Duration
	// Generation is nil unless the request is for a model.
	Generation *Generation
	// ResumeAfter is the id of the last event that the caller received of a stream,
	// 0 to start from the first.
	ResumeAfter int
	// Resumes is the ID of the caller's request that brought the first event of the stream; empty if
	// it names none.
	Resumes string
}

// Generation describes a request for a model.
type Generation struct {
	Model        string
	PromptTokens int
	// MaxOutput limits the output tokens; ExpectedOutput is the caller's estimate, 0
	// if it gives none.
	MaxOutput, ExpectedOutput int
	Parts                     []placement.Part
}

// Attempt holds what one attempt adds to the request's headers.
type Attempt struct {
	// Upstream is the incarnation that the request is meant for; any other one
	// must reject it.
	Upstream string
	// Timeout is the time that the upstream may take, 0 for no limit.
	Timeout time.Duration
	// PrefillOnly asks for a prefill whose KV cache another engine will transfer.
	PrefillOnly bool
	// Handoff names the KV cache to transfer from a prefill engine; the zero value is none.
	Handoff Handoff
	// KVSource is the address of an engine that has prompt parts cached which the
	// upstream transfers instead of computing them; empty if there is none.
	KVSource string
	// ResumeAfter is the id of the last event that the caller received; 0 is none.
	ResumeAfter int
	// Organisation is the organisation that the request belongs to; empty if it has none.
	Organisation string
	// Urgency ranges from 0, the most urgent, to 9; -1 omits the header.
	Urgency int
}

// Handoff names the KV cache of a prompt at the engine that did the prefill.
type Handoff struct {
	Address, Handle string
}

// ResponseClass says what a response proves about the execution of the request.
type ResponseClass uint8

// The classes of responses.
const (
	// Authentic responses come from the upstream itself, whatever their status.
	Authentic ResponseClass = iota
	// NotRun means that the upstream did not and will not run the request.
	NotRun
	// WrongUpstream means that another incarnation has the address; nothing ran.
	WrongUpstream
	// Unsigned responses lack the upstream's signature and prove nothing.
	Unsigned
)

// Advice is what the headers of a response say about further requests to its upstream.
type Advice struct {
	// Draining says that the upstream is about to stop and wants no new work.
	Draining bool
	// RetryAfter is how long the upstream wants no requests from this daemon, 0 if it doesn't
	// say.
	RetryAfter time.Duration
	// Limit says what the response states of the requests that the upstream takes from all daemons;
	// PerSecond is the limit if it names one.
	Limit     LimitStatement
	PerSecond float64
}

// LimitStatement is what a response states of its upstream's limit.
type LimitStatement uint8

// The statements on a limit.
const (
	// NothingStated is a response that isn't certainly the upstream's, or names no valid limit.
	NothingStated LimitStatement = iota
	// Unlimited is a response without a limit.
	Unlimited
	// Limited is a response that names one.
	Limited
)

// Dialect translates between the headers of the outer protocol and this package's types.
type Dialect interface {
	// ParseCall parses the headers of a caller's request.
	ParseCall(r *http.Request) (Call, error)
	// RequestHeaders returns a copy of the headers to forward to an upstream.
	RequestHeaders(h http.Header) http.Header
	// SetAttemptHeaders adds an attempt's headers to the forwarded ones.
	SetAttemptHeaders(h http.Header, a Attempt)
	// RequestIDHeader is the header in which upstreams echo a request's id.
	RequestIDHeader() string
	// Classify returns the class of an upstream's response.
	Classify(status int, h http.Header) ResponseClass
	// Advice returns what a response says about further requests to its upstream.
	Advice(status int, h http.Header) Advice
	// CopyResponseHeaders copies the response headers that go to the caller.
	CopyResponseHeaders(dst, src http.Header)
	// ParsePrefill parses the response to a prefill and returns the handle of its KV cache.
	ParsePrefill(body []byte) (string, error)
	// ReleaseHandoff returns the request that frees a KV cache that no engine will transfer.
	ReleaseHandoff(handle string) (method, target string)
	// WriteError writes an error response of the relay's own.
	WriteError(w http.ResponseWriter, status int, retryAfter time.Duration, message string)
}
