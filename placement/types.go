// Package placement decides where a model request runs: on one engine for prefill and
// decode, or on a prefill engine that hands its KV cache to a decode engine; and from which
// engine cached parts are transferred. A decision is a pure function of the request and of
// the estimated engine state that Tracker maintains.
package placement

import (
	"time"

	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// Part is a piece of a prompt that several requests may share. Engines cache KV per part; a
// cached part is usable only if all parts before it are cached too.
type Part struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	ID       uint64
	Tokens   int
}

// Request is what a placement decision needs to know about a request.
type Request struct {
	// Parts are the parts of the prompt in order. The last one belongs to this request or
	// its session alone.
	Parts []Part
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// OutputTokens is the expected length of the response, MaxOutputTokens the longest that
	// the caller allows; 0 if unspecified.
	OutputTokens, MaxOutputTokens int
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Objective is the latency objective for the first event; 0 means none. Elapsed is how
	// much of it has passed.
	Objective, Elapsed time.Duration
	// TimeLeft is the time within which the response must be complete; 0 means no deadline.
	TimeLeft time.Duration
	// FirstTokenLimit bounds the expected time to the first token of an acceptable plan;
	// RecomputeLimit replaces it for plans that prefill parts again that another engine has
	// cached. 0 means no limit.
	FirstTokenLimit, RecomputeLimit time.Duration
	// GapObjective is the longest acceptable gap between two events; 0 means none.
	GapObjective time.Duration
	// Late marks a request whose response will miss its objective. It only gets capacity
	// that other requests leave.
	Late bool
	// Begun marks a stream that its caller takes up again. It may also use the slots that are kept for short responses.
	Begun bool
	// DataCentre is where the request arrived.
	DataCentre string
	// Exclude names engines at which an earlier attempt has failed.
	Exclude []string
	// WithoutPrefill leaves out plans in which another engine than the one that answers does the prefill.
	WithoutPrefill bool
}

// Engine is the estimated state of one engine at the time of a decision.
type Engine struct {
	ID         string
	DataCentre string
	Role       upstream.Role
	Slots      int
	// Running counts the requests in flight on the engine, from all daemons as far as
	// known; LongStreams counts the long streams among them.
	Running, LongStreams int
	// LatePrefills counts the pending prefills of late requests.
	LatePrefills int
	// QueueMillis is the estimated time until the engine has finished the prefills sent to
	// it.
	QueueMillis float64
	// PendingPrefillMillis is the total duration of the prefills that have not been
	// reported as done.
	PendingPrefillMillis float64
	// LinkMillis is the time until the KV transfers already assigned to the engine are
	// done.
	LinkMillis float64
	// PrefillSlowdown is the engine's prefill time relative to the other engines of its
	// role.
	PrefillSlowdown float64
	// DecodeSlowdown is the engine's time per event relative to the other engines of its
	// pool.
	DecodeSlowdown float64
	// ReservedKVTokens is the KV memory reserved by requests in flight, KVTokens the total.
	ReservedKVTokens, KVTokens int
	// TransferMillisPerToken is the time to transfer the KV cache of a token between two
	// engines of one data centre.
	TransferMillisPerToken float64
	// Probing is set while the engine recovers from an ejection and gets one request at a
	// time.
	Probing bool
	// LatencyMillis is the smoothed latency of calls to a plain service.
	LatencyMillis float64
	// Model holds the learned parameters of the engine's pool.
	Model *enginemodel.Parameters

	// hash is the hash of the ID. All daemons order engines by it.
	hash uint64
	// tracked is the tracker's state of the engine. tracker is nil while the tracker's lock
	// is held for the whole decision.
	tracked *trackedUpstream
	tracker *Tracker
	now     time.Time

	// The fields below are computed once per decision.

	// dedicatedDecode is set for engines dedicated to decoding; decodeRank is the engine's
	// position in the order in which engines are dedicated.
	dedicatedDecode bool
	decodeRank      int
	// decodeDemand is the share of the engine's capacity that decoding takes; it can exceed
	// 1.
	decodeDemand float64
	// preference is the engine's rank among the prompt's preferred engines.
	preference int
	// cached is the part of the prompt that the engine has cached.
	cached CachedPrefix
	// recentPrefill is the prefill work sent to the engine within the gap objective, in
	// milliseconds.
	recentPrefill float64
	// windowPrefill is the prefill work sent within recentWindow, in milliseconds.
	windowPrefill float64
	// unseenPrefill is a random estimate of the prefill work that other daemons have sent
	// but not yet reported, in milliseconds.
	unseenPrefill float64
}

// Cached returns the estimated prefix of a prompt that the engine has cached.
func (e *Engine) Cached(parts []Part) CachedPrefix {
	if e.tracked == nil || e.tracked.cache == nil || len(parts) == 0 {
		return CachedPrefix{}
	}
	e.lock()
	defer e.unlock()
	return e.tracked.cache.cachedPrefix(parts, e.now)
}

// RecentPrefill returns the prefill work sent to the engine within the given last period,
// in milliseconds.
func (e *Engine) RecentPrefill(within time.Duration) float64 {
	if e.tracked == nil {
		return 0
	}
	e.lock()
	defer e.unlock()
	return e.tracked.recentPrefill.within(e.now, within)
}

// RecentTransfers returns the duration of the KV transfers assigned to the engine's link
// within the given last period, in milliseconds.
func (e *Engine) RecentTransfers(within time.Duration) float64 {
	if e.tracked == nil {
		return 0
	}
	e.lock()
	defer e.unlock()
	return e.tracked.recentTransfers.within(e.now, within)
}

// lock locks the tracker, unless the caller holds the lock for the whole decision.
func (e *Engine) lock() {
	if e.tracker != nil {
		e.tracker.mu.Lock()
	}
}

func (e *Engine) unlock() {
	if e.tracker != nil {
		e.tracker.mu.Unlock()
	}
}

// CachedPrefix is the length in tokens of a prompt's cached prefix on an engine.
type CachedPrefix struct {
	// Ready tokens are computed and can be transferred to other engines.
	Ready int
	// Expected also includes tokens whose prefill is pending on the engine: a request sent
	// there waits for them.
	Expected int
}

// Plan is the result of a placement decision.
type Plan struct {
	// Engine decodes; it also prefills unless Prefill is set.
	Engine string
	// Prefill is the engine that prefills and hands its KV cache over to Engine.
	Prefill string
	// Source is the engine from which the prefilling engine gets the shared parts it lacks
	// by KV transfer; empty if none.
	Source string
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// QueueTime is the part of FirstToken before the prefill starts.
	QueueTime time.Duration
	// PrefillTime is the part of FirstToken that the prefill takes.
	PrefillTime time.Duration
	// MaxGap is the longest expected gap between two events of the response.
	MaxGap time.Duration
	// Completion is the expected time to the last event. Concurrent is the number of
	// requests already running on the decoding engine.
	Completion time.Duration
	Concurrent int
	// Uncached is the number of prompt tokens to prefill, Transferred the number whose KV
	// cache is transferred first.
	Uncached, Transferred int
	// Recomputes is set if Uncached includes tokens that another engine has cached or is
	// prefilling.
	Recomputes bool
	// IdealFirstToken is the expected time to the first token on an idle engine that has
	// every part cached that any engine has.
	IdealFirstToken time.Duration
	// LongStream is set if the response counts as a long stream.
	LongStream bool
	// Candidates counts the engines that could take the request.
	Candidates int
}
