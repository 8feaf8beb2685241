// Package placement decides where a model request runs: on one engine that
// reads the prompt and generates, or on one that reads and another that
// generates, and from which engine the parts that they share are fetched. A decision
// is a pure function of the engines as they are believed to be and of the request;
// Books keep those beliefs.
package placement

import (
	"time"

	"tamarackchute/enginemodel"
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
	// OutputTokens is the expected length of the answer, MaxOutput the longest that its
	// caller allows; 0 if it doesn't say.
	OutputTokens, MaxOutputTokens int
	// BodyBytes is the size of the request.
	BodyBytes int
	// Objective is the time within which the first event is worth most; 0 is
	// none. Spent is what has passed of it.
	Objective, Elapsed time.Duration
	// Left is the time within which the whole answer must be there; 0 is none.
	TimeLeft time.Duration
	// Within is the time within which the first event must be expected for a plan to be of
	// use, WithinReread that where parts would be read again that another engine keeps; 0
	// is none.
	FirstTokenLimit, RecomputeLimit time.Duration
	// PauseObjective is the longest pause between two events that counts as on
	// time; 0 is none.
	GapObjective time.Duration
	// Behind says that its answer will be late: it takes what the others leave.
	Late bool
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
	// known, Long those of them that generate for long.
	Running, LongStreams int
	// Behind counts the requests there whose prompts are read for a late answer.
	LatePrefills int
	// QueueMillis is the time until the prompts sent there have been read.
	QueueMillis float64
	// UnreadMillis is what the prompts that weren't read yet take altogether.
	PendingPrefillMillis float64
	// LinkMillis is the time until the KV caches that it was told to fetch have
	// come.
	LinkMillis float64
	// Slowness is how much longer than the others of its role it takes to read.
	PrefillSlowdown float64
	// PaceFactor is how many times as long as at the others of its pool an event of a
	// stream takes.
	DecodeSlowdown float64
	// HeldTokens is the KV memory that its requests in flight take, KVTokens what it
	// has.
	ReservedKVTokens, KVTokens int
	// MoveMillisPerToken is the time to move a token's KV cache between two engines
	// of one data centre.
	TransferMillisPerToken float64
	// Trial says that the engine has failed lately and gets one request at a
	// time.
	Probing bool
	// LatencyMillis is the smoothed time of a call to a plain service.
	LatencyMillis float64
	// Model is what was learnt of the engines of its pool.
	Model *enginemodel.Parameters

	// hash is that of the ID: all daemons order engines by it.
	hash uint64
	// entry is what the books hold of the engine, as of now. books is nil while the
	// books are locked for the decision.
	entry *entry
	books *Tracker
	now   time.Time

	// What follows is found out once for a decision.

	// generator says that the engine is set apart for generating, rank is its place in
	// the order in which engines are.
	generator bool
	rank      int
	// generating is the share of the engine that generating takes up.
	generating float64
	// home is the engine's place in the order in which the prompt belongs to engines.
	home int
	// kept is what it keeps of the prompt.
	kept CachedPrefix
	// readLately is the reading sent there within the longest pause that counts as on
	// time, in milliseconds.
	readLately float64
	// readInWindow is that within the time for which it is remembered.
	readInWindow float64
	// unseen is the reading that it may have been sent without its being known, in
	// milliseconds.
	unseen float64
}

// Cached returns what is believed to be in the engine's KV cache of a prompt.
func (e *Engine) Cached(parts []Part) CachedPrefix {
	if e.entry == nil || e.entry.cache == nil || len(parts) == 0 {
		return CachedPrefix{}
	}
	e.lock()
	defer e.unlock()
	return e.entry.cache.kept(parts, e.now)
}

// ReadLately returns the milliseconds of reading that were sent there within the last
// time.
func (e *Engine) RecentPrefill(within time.Duration) float64 {
	if e.entry == nil {
		return 0
	}
	e.lock()
	defer e.unlock()
	return e.entry.lately.within(e.now, within)
}

// MovedLately returns the milliseconds for which its link moved KV caches within the
// last time.
func (e *Engine) RecentTransfers(within time.Duration) float64 {
	if e.entry == nil {
		return 0
	}
	e.lock()
	defer e.unlock()
	return e.entry.moved.within(e.now, within)
}

// lock locks the books, unless they are for the whole of the decision.
func (e *Engine) lock() {
	if e.books != nil {
		e.books.mu.Lock()
	}
}

func (e *Engine) unlock() {
	if e.books != nil {
		e.books.mu.Unlock()
	}
}

// Kept is how many tokens from the beginning of a prompt an engine keeps.
type CachedPrefix struct {
	// Read have been read, and may be fetched by other engines.
	Ready int
	// Coming counts those too that are being read there: a request that is sent
	// there waits until they are.
	Expected int
}

// Plan is a decision.
type Plan struct {
	// Engine generates; it reads the prompt too unless Prefill is set.
	Engine string
	// Prefill reads the prompt and hands its KV cache to Engine.
	Prefill string
	// Source is the engine from which whichever reads the prompt fetches what it
	// lacks of the shared parts; empty if from none.
	Source string
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// Queue is the part of it that passes before the engine begins to read.
	QueueTime time.Duration
	// Reading is the part of it that the reading of the prompt takes.
	PrefillTime time.Duration
	// Pause is the longest pause expected while the request generates.
	MaxGap time.Duration
	// Whole is the expected time to the last event. Beside is how many requests run on
	// the engine that generates.
	Completion time.Duration
	Concurrent int
	// Uncached is how many prompt tokens have to be read, Fetched how many the
	// engine that reads it fetches.
	Uncached, Transferred int
	// Reread says that Uncached has tokens that another engine keeps or is reading.
	Recomputes bool
	// Ideal is the expected time to the first token on an engine that is idle and
	// keeps the parts that any engine keeps.
	IdealFirstToken time.Duration
	// Long says that it generates for long.
	LongStream bool
	// Considered counts the engines that could take the request.
	Candidates int
}
