// Package relay carries requests whose head and body it doesn't interpret from
// callers to upstreams, and answers back: it finds the rule, waits for a place,
// sends, decides after a failure whether the request may be sent again, and
// tells the caller the truth about what has run.
//
// Names and formats of the outer protocol are a Dialect's.
package relay

import (
	"net/http"
	"time"

	"tamarackchute/placement"
)

// Call is what a caller's request says about itself.
type Call struct {
	// ID is the caller's id of this attempt.
	ID string
	// Timeout is how long the caller waits from now; 0 if it doesn't say.
	Timeout time.Duration
	// Generation is nil unless the request asks a model.
	Generation *Generation
	// ResumeAfter is the id of the last event that the caller has of a stream;
	// 0 if it asks for the whole.
	ResumeAfter int
}

// Generation says what a model request asks for.
type Generation struct {
	Model        string
	PromptTokens int
	// MaxOutput bounds the tokens generated; ExpectedOutput is the caller's guess, 0
	// if it has none.
	MaxOutput, ExpectedOutput int
	Parts                     []placement.Part
}

// Attempt is what one sending of a request adds to its head.
type Attempt struct {
	// Upstream is the incarnation that the request is meant for; any other
	// must turn it away.
	Upstream string
	// Timeout is the time that the upstream may take.
	Timeout time.Duration
	// PrefillOnly asks for the prompt to be read and kept for another engine.
	PrefillOnly bool
	// Handoff names a KV cache to be fetched; the zero value is none.
	Handoff Handoff
	// KVSource is the address of an engine that keeps parts of the prompt which the
	// upstream is to fetch rather than read; empty if there is none.
	KVSource string
	// ResumeAfter is the last event that the caller has; 0 is none.
	ResumeAfter int
	// Urgency from 0, the most urgent, to 9; -1 leaves the header out.
	Urgency int
}

// Handoff names the KV cache of a prompt at the engine that has read it.
type Handoff struct {
	Address, Handle string
}

// ResponseClass is what an upstream's answer says about the running of the request.
type ResponseClass uint8

// The verdicts.
const (
	// Authentic answers are an upstream's own, whatever their status.
	Authentic ResponseClass = iota
	// NotRun says that the upstream did not and will not run the request.
	NotRun
	// WrongUpstream says that another incarnation has the address; nothing ran.
	WrongUpstream
	// Unsigned answers lack the upstream's signature and prove nothing.
	Unsigned
)

// Dialect translates between the outer protocol's names and this package's.
type Dialect interface {
	// ParseCall reads a caller's head.
	ParseCall(r *http.Request) (Call, error)
	// RequestHeaders returns a copy of the headers that go on to an upstream.
	RequestHeaders(h http.Header) http.Header
	// SetAttemptHeaders adds an attempt's headers to forwarded ones.
	SetAttemptHeaders(h http.Header, a Attempt)
	// RequestIDHeader is the header in which upstreams echo a request's id.
	RequestIDHeader() string
	// Classify reads an upstream's answer.
	Classify(status int, h http.Header) ResponseClass
	// CopyResponseHeaders copies the headers of an upstream's answer that go to the caller.
	CopyResponseHeaders(dst, src http.Header)
	// ParsePrefill reads the answer to a prefill and returns the handle.
	ParsePrefill(body []byte) (string, error)
	// ReleaseHandoff returns the call that frees a KV cache that nobody fetches.
	ReleaseHandoff(handle string) (method, target string)
	// WriteError writes an answer of the system's own.
	WriteError(w http.ResponseWriter, status int, retryAfter time.Duration, message string)
}
