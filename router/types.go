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
	// KVTokens counts the tokens that KV memory is taken for.
	KVTokens int
	// OutputTokens counts output tokens still expected. Reports don't have
	// them, so this is always the process's own.
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
	// Role is the engine's role in force, as the journal or its report says.
	Role upstream.Role
	// Report is the last load report, ReportAt the moment by our own clock at
	// which its figures were measured; zero if there is none.
	Report   upstream.LoadReport
	ReportAt time.Time
	// Own is the correction of the report by this process's own work: begun
	// since ReportAt less ended since. Its parts may be negative. Where there
	// is no report it is simply the own work in flight.
	LocalDelta Work
	// InFlight counts this process's own requests in flight.
	InFlight int
	// Draining says that an order is about to change the upstream, Leaving
	// that the platform takes it away. Neither gets new work.
	Draining     bool
	ShuttingDown bool
	// Ejected says that its record of failures keeps it out for now, Trial
	// that it is on probation and takes one request at a time.
	Ejected bool
	Trial   bool
	// PrefillFactor and GapFactor are learnt: observed time over the time that
	// the report's rates would give. 0 means nothing learnt yet, as does 1.
	PrefillFactor float64
	GapFactor     float64
	// FailureRate is the smoothed share of own attempts that failed.
	FailureRate float64
	// ServiceTime is the smoothed duration of own calls to a plain service.
	ServiceTime time.Duration
}

// Request is what a routing decision needs to know about a request.
type Request struct {
	Pool         string
	Model        string // "" for plain services
	Organisation string
	// DataCentre is where the request came in; "" means the process's own.
	DataCentre string
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// PrefixBlocks are the chained hashes of the prompt's blocks.
	PrefixBlocks []uint64
	Priority     int
	// Deadline is when the whole answer must be there; zero means none.
	Deadline time.Time
	// Exclude names upstreams that an earlier attempt has failed on.
	Exclude []string
	// NoTrial keeps the request off upstreams on probation, unless nothing
	// else is left. Set it for calls that can't be repeated.
	NoTrial bool
	// NoSplit keeps prefill and decode on one engine.
	NoSplit bool
	// MayRunOn, if set, is asked for each candidate; false drops it. It keeps
	// suspected requests apart (quarantine.Guard.MayRunOn).
	MayRunOn func(engine string) bool
}

// Estimate is the time that a request is expected to take, from now.
type Estimate struct {
	// Queue is the wait at the engine before its prefill starts.
	Queue time.Duration
	// FirstToken is the time until the first token is back.
	FirstToken time.Duration
	// Complete is the time until the whole answer is back.
	Complete time.Duration
	// Alone is what Complete would be if the engine had nothing else to do.
	Unloaded time.Duration
}

// Why says in a word what decided a plan.
type PlanReason string

// The reasons of plans.
const (
	ReasonOnlyUpstream PlanReason = "only upstream left"
	ReasonLeastCost    PlanReason = "least expected time"
	ReasonSpread       PlanReason = "drawn among nearly equal upstreams"
	ReasonCachedPrefix PlanReason = "prefix cache saves more than the queue costs"
	ReasonTrial        PlanReason = "trial of an upstream coming back"
	ReasonSplit        PlanReason = "prefill and decode on two engines is faster"
	ReasonFallback     PlanReason = "upstreams on probation are all that is left"
)

// Plan is a routing decision.
type Plan struct {
	// Engine runs the request, or its decode part if Prefill is set.
	Engine string
	// Prefill works through the prompt and hands its KV cache to Engine; ""
	// means that Engine does both.
	Prefill  string
	Estimate Estimate
	Reason   PlanReason
	// CachedTokens is how much of the prompt is expected in the prefix cache.
	CachedTokens int
	// Considered counts the upstreams that were scored.
	Considered int
}
