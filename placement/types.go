// Package placement decides where a model request runs: on one engine that
// reads the prompt and generates, or on one that reads and another that
// generates. A decision is a pure function of a View and a Request; Books keep
// the view.
package placement

import (
	"time"

	"tamarackchute/upstream"
)

// Part is a piece of a prompt that requests may share. Engines keep the KV cache
// of parts; a part is of use only if all parts before it are kept too.
type Part struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	ID       uint64
	Tokens   int
}

// Request is what a decision needs to know about a request.
type Request struct {
	// Parts are the prompt's pieces in order. The last belongs to the request
	// or its session alone.
	Parts []Part
	// PromptTokens is the whole prompt.
	PromptTokens int
	// BodyBytes is the size of the request.
	BodyBytes int
	// Objective is the time within which the first event is worth most; 0 is
	// none.
	Objective time.Duration
	// Long says that it generates for seconds.
	Long bool
	// Stale says that other daemons' requests are known only after a while.
	Stale bool
	// DataCentre is where the request came in.
	DataCentre string
	// Exclude names engines that an earlier attempt has failed at.
	Exclude []string
}

// Engine is what is believed of one engine at the moment of a decision.
type Engine struct {
	ID         string
	DataCentre string
	Role       upstream.Role
	Slots      int
	// Running counts the requests in flight there, of all daemons as far as
	// known, Long those of them that generate for seconds.
	Running, Long int
	// QueueMillis is the time until the prompts sent there have been read.
	QueueMillis float64
	// TokensPerMilli is the learnt rate of reading prompts, in tokens a
	// millisecond.
	TokensPerMilli float64
	// OverheadMillis is the time to the first token beside the reading.
	OverheadMillis float64
	// Trial says that the engine has failed lately and gets one request at a
	// time.
	Trial bool
	// LatencyMillis is the smoothed time of a call to a plain service.
	LatencyMillis float64
	// Cached returns how many tokens of a prompt are believed to be in the
	// engine's KV cache.
	Cached func(parts []Part) int

	// generator and rank are set while a decision is made: whether the engine is
	// set apart for generating, and its place in the order in which engines are.
	generator bool
	rank      int
	// home is the engine's place in the order in which the prompt belongs to
	// engines, score what that goes by.
	home  int
	score float64
}

// Plan is a decision.
type Plan struct {
	// Engine generates; it reads the prompt too unless Prefill is set.
	Engine string
	// Prefill reads the prompt and hands its KV cache to Engine.
	Prefill string
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// Queue is the part of it that passes before the engine begins to read.
	Queue time.Duration
	// Uncached is how many prompt tokens have to be read.
	Uncached int
	// Considered counts the engines that could take the request.
	Considered int
}
