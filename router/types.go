package router

import (
	"time"

	"tamarackchute/infra"
	"tamarackchute/upstream"
)

// Work is an amount of work in flight at an upstream.
type Work struct {
	// Requests counts requests that have begun and not ended.
	Requests int
	// PromptTokens counts prompt tokens whose prefill isn't done.
	PromptTokens int
	// KVTokens counts tokens with KV memory allocated.
	KVTokens int
	// OutputTokens counts output tokens still expected. Reports lack them, so this
	// is always this process's work only.
	OutputTokens int
}

// Upstream is what the router knows about one engine or plain service.
type Upstream struct {
	Name       string
	Kind       infra.InstanceKind
	Pool       string
	DataCentre string
	// Models are those that an engine serves; empty for a plain service.
	Models []string
	// Role is the engine's current role, by an order in the journal or its report.
	Role upstream.Role
	// Report is the last load report, ReportAt the time by the local clock at
	// which it was measured; zero if there is none.
	Report   upstream.LoadReport
	ReportAt time.Time
	// LocalDelta corrects the report by this process's work: begun since ReportAt
	// less ended since. Its fields may be negative. Without a report it is this
	// process's work in flight.
	LocalDelta Work
	// InFlight counts this process's requests in flight.
	InFlight int
	// Draining is set while an order is about to change the upstream, Terminating
	// while the platform removes it. Neither gets new work.
	Draining    bool
	Terminating bool
	// Ejected is set while recent failures keep the upstream out, Probing while it
	// recovers and takes one request at a time.
	Ejected bool
	Probing bool
	// PrefillFactor and GapFactor are learned ratios of observed time to the time
	// by the report's rates. 0 means the same as 1.
	PrefillFactor float64
	GapFactor     float64
	// FailureRate is the smoothed fraction of this process's attempts that failed.
	FailureRate float64
	// ServiceTime is the smoothed duration of calls to a plain service.
	ServiceTime time.Duration
}

// Request holds the properties of a request that a routing decision needs.
type Request struct {
	Pool         string
	Model        string // "" for plain services
	Organisation string
	// DataCentre is where the request arrived; "" means the process's own.
	DataCentre string
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// PrefixBlocks are the chained hashes of the prompt's blocks.
	PrefixBlocks []uint64
	Priority     int
	// Deadline is when the complete response is due; zero means none.
	Deadline time.Time
	// Exclude names upstreams that an earlier attempt used.
	Exclude []string
	// NoProbe keeps the request off upstreams that are probed unless no others remain.
	// Set it for calls that can't be repeated.
	NoProbe bool
	// NoSplit keeps prefill and decode on one engine.
	NoSplit bool
	// MayRunOn, if set, rejects candidates for which it returns false. It keeps
	// suspected requests apart (quarantine.Guard.MayRunOn).
	MayRunOn func(engine string) bool
}

// Estimate is the expected time of a request, from now.
type Estimate struct {
	// Queue is the wait at the engine before its prefill starts.
	Queue time.Duration
	// FirstToken is the time until the first token is back.
	FirstToken time.Duration
	// Complete is the time until the complete response is back.
	Complete time.Duration
	// Unloaded is what Complete would be at an idle engine.
	Unloaded time.Duration
}

// PlanReason says what decided a plan.
type PlanReason string

// The reasons of plans.
const (
	ReasonOnlyUpstream PlanReason = "only upstream left"
	ReasonLeastCost    PlanReason = "least expected time"
	ReasonSpread       PlanReason = "drawn among nearly equal upstreams"
	ReasonCachedPrefix PlanReason = "prefix cache saves more than the queue costs"
	ReasonProbe        PlanReason = "trial of a recovering upstream"
	ReasonSplit        PlanReason = "prefill and decode on two engines is faster"
	ReasonFallback     PlanReason = "only upstreams on trial are left"
)

// Plan is a routing decision.
type Plan struct {
	// Engine runs the request, or only its decode if Prefill is set.
	Engine string
	// Prefill is the engine that runs the prefill and transfers its KV cache to
	// Engine; "" means that Engine runs both.
	Prefill  string
	Estimate Estimate
	Reason   PlanReason
	// CachedTokens is the part of the prompt expected in the prefix cache.
	CachedTokens int
	// Considered counts the upstreams that were scored.
	Considered int
}
