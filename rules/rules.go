// Package rules implements the operators' ordered rule set: its document format,
// validation and publication, matching requests against it, and folding the log so
// that all instances use the same version.
//
// A document is JSON with comments:
//
//	{"rules": [
//	  {"name": "bookings", "when": "path startsWith \"/bookings\"",
//	   "then": {"pool": "booking", "protected": true, "deadline_ms": 5000}},
//	]}
//
// The first rule whose condition holds decides.
package rules

import (
	"time"

	"tamarackchute/apikey"
)

// Document is a rule set as written by operators.
type Document struct {
	Rules []Rule `json:"rules"`
	// Organisations is nil if no rule needs a key.
	Organisations []Organisation `json:"organisations,omitempty"`
}

// Rule is one entry of the ordered list.
type Rule struct {
	// Name is unique within the set.
	Name string `json:"name"`
	// When is the condition: an expression over the request's environment.
	When string `json:"when"`
	// Then says how a request for which When holds is handled.
	Then Then `json:"then"`
}

// Then is the consequence of a rule: either Pool or Refuse is set.
type Then struct {
	// Pool names the upstream pool that serves the request.
	Pool string `json:"pool,omitempty"`
	// Priority orders work within an upstream: higher goes first.
	Priority int `json:"priority,omitempty"`
	// DeadlineMillis bounds the time to the complete response, in milliseconds;
	// 0 means the default of the settings.
	DeadlineMillis int `json:"deadline_ms,omitempty"`
	// Protected makes the request run at most once. The caller must send an
	// Idempotency-Key.
	Protected bool `json:"protected,omitempty"`
	// Public lets requests without an API key pass, if the document has organisations.
	Public bool `json:"public,omitempty"`
	// Retry says after which failures a request is retried; empty means
	// RetryUnsent.
	Retry RetryClass `json:"retry,omitempty"`
	// Refuse refuses the request without running it.
	Refuse *Refusal `json:"refuse,omitempty"`
	// Limit bounds the requests that the rule admits.
	Limit *Limit `json:"limit,omitempty"`
	// Class decides whether the request may use the engine time reserved for
	// short ones; empty means that the estimated number of tokens decides.
	Class Class `json:"class,omitempty"`
}

// Deadline returns the bound on the time to the complete response, or 0 if the
// rule sets none.
func (t Then) Deadline() time.Duration {
	return time.Duration(t.DeadlineMillis) * time.Millisecond
}

// RetryClass returns the retry class that applies, with the default filled in.
func (t Then) RetryClass() RetryClass {
	if t.Retry == "" {
		return RetryUnsent
	}
	return t.Retry
}

// RetryClass says after which failures a request may be sent again.
type RetryClass string

// The retry classes.
const (
	// RetryNever sends a request once.
	RetryNever RetryClass = "never"
	// RetryUnsent sends it again only if no byte of it was sent.
	RetryUnsent RetryClass = "unsent"
	// RetryRepeatable sends it again after any failure; the call is idempotent.
	RetryRepeatable RetryClass = "repeatable"
)

// Class groups requests by how long they run.
type Class string

// The classes.
const (
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Refusal is the response to a request that a rule refuses.
type Refusal struct {
	// Status is the HTTP status, from 400 to 599.
	Status int `json:"status"`
	// Reason is returned to the caller.
	Reason string `json:"reason"`
}

// Limit bounds the requests that a rule admits on one instance.
type Limit struct {
	// RequestsPerSecond bounds their rate; 0 means no bound.
	RequestsPerSecond float64 `json:"requests_per_s,omitempty"`
	// Concurrent bounds the requests in flight; 0 means no bound.
	Concurrent int `json:"concurrent,omitempty"`
	// Per says which requests are counted together; empty means LimitAll.
	Per LimitScope `json:"per,omitempty"`
}

// LimitScope says which requests a limit counts together.
type LimitScope string

// The scopes of a limit.
const (
	LimitAll          LimitScope = "all"
	LimitOrganisation LimitScope = "organisation"
)

// Request holds the properties of a request that conditions can use. Match
// retains none of its strings.
type Request struct {
	Model  string
	Path   string
	Method string
	// Organisation is replaced by the holder of Key if the document has organisations.
	Organisation string
	// Key is the digest of the caller's API key; nil if there is none.
	Key *apikey.Digest
	// Header returns the first value of a header by its lower-case name, or
	// "". It may be nil.
	Header func(name string) string
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	DataCentre   string
	// Load is the work in flight as a share of the capacity of the local
	// upstreams: 0 is idle, 1 is full, above 1 requests wait.
	Load   float64
	Stream bool
}

// Decision is the result of a match.
type Decision struct {
	// Rule and Index identify the rule that matched; "" and -1 if none did.
	Rule  string
	Index int
	// Then is the rule's consequence. Without a match it is a refusal.
	Then    Then
	Matched bool
	// Keyed says that the document has organisations. Organisation is the holder of the request's
	// key then, empty if it has none; Unauthorised says that the rule needs one.
	Keyed        bool
	Organisation string
	Unauthorised bool
}

// NoMatchStatus and NoMatchReason are the refusal of a request for which no rule
// holds. Such a request isn't run.
const (
	NoMatchStatus = 404
	NoMatchReason = "no rule matches"
)

var noMatch = Decision{
	Index: -1,
	Then:  Then{Refuse: &Refusal{Status: NoMatchStatus, Reason: NoMatchReason}},
}

// KnownNames lists the names that a rule set may use. A nil list disables the
// check.
type KnownNames struct {
	Pools       []string
	Models      []string
	DataCentres []string
}
