// Package api defines the requests and replies of the operators' HTTP interface, shared by
// the entry that serves it and by chutectl. Bodies are JSON. Each call carries
// "Authorization: Bearer TOKEN".
package api

import (
	"time"

	"tamarackchute/internal/audit"
	"tamarackchute/rules"
)

// Paths of the interface.
const (
	PathRules             = "/v1/rules"
	PathValidate          = "/v1/rules/validate"
	PathHistory           = "/v1/rules/history"
	PathAudit             = "/v1/audit"
	PathStatus            = "/v1/status"
	PathQuarantineRelease = "/v1/quarantine/release"
	PathAcceptGap         = "/v1/claims/accept-gap"
)

// ParamCount is the query parameter that limits the length of a list.
const ParamCount = "n"

// Rules is the reply to GET PathRules: the version in force on the instance.
type Rules struct {
	Version  rules.Version `json:"version"`
	Author   string        `json:"author"`
	Note     string        `json:"note"`
	At       time.Time     `json:"at"`
	Document string        `json:"document"`
}

// PublishRequest is the body of PUT PathRules.
type PublishRequest struct {
	// ID identifies the publication. A publication sent again with the same ID, to any
	// instance, takes effect once and gets the same reply. If empty, the server assigns a
	// new ID.
	ID string `json:"id,omitempty"`
	// Base is the version on which the edit is based.
	Base     rules.Version `json:"base"`
	Document string        `json:"document"`
	Note     string        `json:"note,omitempty"`
	// Force publishes although the deployment no longer knows its state, see
	// rules.Publication.
	Force bool `json:"force,omitempty"`
}

// PublishReply is the reply to PUT PathRules with status 200, 409 or, if the outcome is
// unknown, 503.
type PublishReply struct {
	rules.Result
}

// ValidateRequest is the body of POST PathValidate.
type ValidateRequest struct {
	Document string `json:"document"`
}

// Problems is the reply with status 422, and the reply to POST PathValidate for a valid
// document.
type Problems struct {
	Problems []rules.Problem `json:"problems"`
}

// History is the reply to GET PathHistory, newest first.
type History struct {
	Publications []rules.Verdict `json:"publications"`
}

// Audit is the reply to GET PathAudit, newest first.
type Audit struct {
	Records []audit.Record `json:"records"`
}

// ReleaseRequest is the body of POST PathQuarantineRelease.
type ReleaseRequest struct {
	// Digest identifies the request, as given in its refusal.
	Digest string `json:"digest"`
	Reason string `json:"reason"`
}

// AcceptGapRequest is the body of POST PathAcceptGap. Send it only if no instance has the
// complete history: an instance that has it writes a checkpoint, and until the others have
// read that, they must not treat its keys as free.
type AcceptGapRequest struct {
	Reason string `json:"reason"`
}

// Error is the reply with any other status.
type Error struct {
	Error string `json:"error"`
}

// Status is the reply to GET PathStatus: the state as seen by one instance.
type Status struct {
	Instance     string `json:"instance"`
	DataCentre   string `json:"data_centre"`
	Ready        bool   `json:"ready"`
	ShuttingDown bool   `json:"leaving"`
	LogUp        bool   `json:"log_up"`
	// Requests is the number of requests in flight.
	Requests  int              `json:"requests"`
	Claims    ClaimStatus      `json:"claims"`
	Rules     rules.Status     `json:"rules"`
	Instances []InstanceStatus `json:"instances"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	Leaders   []LeaderStatus   `json:"leaders"`
}

// ClaimStatus describes the instance's history of protected calls.
type ClaimStatus struct {
	// Complete is whether no claim can be missing. If false, plain keys that the instance
	// doesn't know are refused with history_unknown.
	Complete bool `json:"history_complete"`
	// Keys is the number of known keys and decided attempts.
	Keys int `json:"keys"`
}

// InstanceStatus is the membership state of an entry instance, as seen by this one.
type InstanceStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

// UpstreamStatus describes an upstream, as seen by this instance.
type UpstreamStatus struct {
	Name       string `json:"name"`
	Kind       string `json:"kind"`
	DataCentre string `json:"data_centre"`
	Pool       string `json:"pool"`
	// Role and Change apply to engines: the current role, and a change under way.
	Role   string `json:"role,omitempty"`
	Change string `json:"change,omitempty"`
	// Usable is whether the upstream gets new work.
	Usable bool `json:"usable"`
	// InFlight counts this instance's own requests to the upstream.
	InFlight int `json:"in_flight"`
}

// LeaderStatus describes the leadership of a scope.
type LeaderStatus struct {
	Scope        string    `json:"scope"`
	Holder       string    `json:"holder"`
	FencingToken uint64    `json:"fence"`
	Since        time.Time `json:"since"`
}
