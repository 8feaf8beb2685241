// Package upstream defines the types and interfaces of what the system calls: model engines
// and plain services. Adapters for the wire formats implement the interfaces.
package upstream

import (
	"context"
	"errors"
	"time"
)

// Role is the role of an engine.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// GenerateRequest asks an engine to produce tokens.
type GenerateRequest struct {
	// AttemptID is unique to this attempt; Cancel and Resume refer to it.
	AttemptID string
	Model     string
	Adapter   string
	Prompt    string
	// Prior is the text already produced by an earlier attempt elsewhere, PriorTokens its
	// length in tokens and the index of the first token of this attempt.
	Prior       string
	PriorTokens int
	MaxTokens   int
	// Priority orders work within the engine: higher goes first.
	Priority int
	// KV refers to a KV cache exported by another engine, which this one imports before it
	// starts; nil if none.
	KV *KVHandle
}

// Token is one token of a response.
type Token struct {
	// Index counts from 0 over the whole response, prior tokens included.
	Index int
	Text  string
	// Finish is empty except on the last token, where it is the reason: "stop" or "length".
	Finish string
	// PromptTokens is the number of tokens in the prompt as counted by the engine.
	PromptTokens int
	// CachedTokens is how many of them came from the prefix cache.
	CachedTokens int
}

// TokenStream is a running response.
type TokenStream interface {
	// Next returns the next token, or io.EOF after the one with a Finish. Any other error
	// means that the response is broken off.
	Next(ctx context.Context) (Token, error)
	// Close ends the stream; the engine drops the remaining work.
	Close() error
}

// Leaver is a TokenStream that can be let go of without an end of its work: the engine keeps it for a while, to be resumed.
type Leaver interface {
	// Leave releases what the stream holds in this process.
	Leave()
}

// KVHandle refers to a KV cache that an engine keeps for export.
type KVHandle struct {
	Engine string `json:"engine"` // address of the engine that holds it
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

// Engine is the data plane of a model engine.
type Engine interface {
	Generate(ctx context.Context, r GenerateRequest) (TokenStream, error)
	// Resume continues a stream of this engine from a token index.
	Resume(ctx context.Context, attemptID string, from int) (TokenStream, error)
	// Prefill prefills a prompt and keeps its KV cache for export.
	Prefill(ctx context.Context, r GenerateRequest) (KVHandle, error)
	// Cancel drops an attempt; it is idempotent.
	Cancel(ctx context.Context, attemptID string) error
	// Load returns the engine's own load report, which lags behind.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after a sequence number, possibly with gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// LoadReport is the state that an engine reports about itself.
type LoadReport struct {
	// At is the engine's clock at the time of measurement, AgeMillis the age of the
	// measurements when it responded.
	At               time.Time `json:"at"`
	AgeMillis        int64     `json:"age_ms"`
	Role             Role      `json:"role"`
	InService        bool      `json:"in_service"`
	Running          int       `json:"running"`
	Waiting          int       `json:"waiting"`
	QueuedPrompt     int       `json:"queued_prompt_tokens"`
	KVUsedTokens     int       `json:"kv_used_tokens"`
	KVTotalTokens    int       `json:"kv_total_tokens"`
	PrefillPerSecond float64   `json:"prefill_tokens_per_s"`
	DecodePerSecond  float64   `json:"decode_tokens_per_s"`
	MaxBatch         int       `json:"max_batch"`
	Models           []string  `json:"models"`
	FencingToken     uint64    `json:"fencing_number"`
	OrdersCompleted  uint64    `json:"orders_completed"`
}

// CacheEvent reports that an engine has stored or evicted a prefix block.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Block is the chained hash of the prefix up to and including this block.
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// OrderKind is the kind of change that an order makes.
type OrderKind string

// The kinds of order.
const (
	OrderRole    OrderKind = "role"
	OrderModel   OrderKind = "model"
	OrderAdapter OrderKind = "adapter"
	// OrderRaiseToken only raises the fencing token.
	OrderRaiseToken OrderKind = "fence"
)

// Order is a command to an engine.
type Order struct {
	ID      string    `json:"id" msgpack:"id"`
	Kind    OrderKind `json:"kind" msgpack:"kind"`
	Role    Role      `json:"role,omitempty" msgpack:"role"`
	Model   string    `json:"model,omitempty" msgpack:"model"`
	Version string    `json:"version,omitempty" msgpack:"version"`
	Adapter string    `json:"adapter,omitempty" msgpack:"adapter"`
	// FencingToken is the log offset of the sender's lease claim.
	FencingToken uint64 `json:"fence" msgpack:"fence"`
}

// EngineState is an engine's state as read back from it.
type EngineState struct {
	Role         Role   `json:"role"`
	Model        string `json:"model"`
	Version      string `json:"version"`
	Adapter      string `json:"adapter"`
	Busy         bool   `json:"busy"` // an order is being carried out
	Running      int    `json:"running"`
	FencingToken uint64 `json:"fencing_number"`
	LastOrder    string `json:"last_order"`
	// Incarnation changes with each start of the engine.
	Incarnation string `json:"incarnation"`
}

// Controlled is the control plane of an engine. Only controllers use it.
type Controlled interface {
	// Order sends a command. It returns ErrFenced if the engine has seen a higher fencing
	// token, and ErrBusy while it carries out another order. After any other error it is
	// unknown whether the order was accepted.
	Order(ctx context.Context, o Order) error
	State(ctx context.Context) (EngineState, error)
}

// Errors by which adapters distinguish outcomes.
var (
	// ErrFenced: the order had an outdated fencing token.
	ErrFenced = errors.New("upstream: order refused, fencing number is outdated")
	// ErrBusy: the engine is carrying out another order.
	ErrBusy = errors.New("upstream: busy with another order")
	// ErrNotSent: no byte of the request reached the upstream, as the connection failed.
	// The call did not run.
	ErrNotSent = errors.New("upstream: request was not sent")
	// ErrNotAdmitted: nothing was sent, as the request itself may not be sent any more (WithAdmission).
	// It comes with ErrNotSent.
	ErrNotAdmitted = errors.New("upstream: the request isn't admitted any more")
	// ErrLimited: nothing was sent, as the limit that the upstream has named allows no request now.
	// It says nothing about the upstream's health. It comes with ErrNotSent.
	ErrLimited = errors.New("upstream: the limit that it has named is used up")
	// ErrRefused: the upstream responded that it accepts no work now. The call did not run.
	ErrRefused = errors.New("upstream: refused before running")
	// ErrBroken: the upstream died or the connection broke after the request was sent. The
	// call may have run.
	ErrBroken = errors.New("upstream: broken off after the request was sent")
	// ErrGone: the stream to be resumed is no longer known.
	ErrGone = errors.New("upstream: stream is not known")
)

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	AttemptID string
	Method    string
	// Path includes the query string.
	Path    string
	Headers []Header
	Body    []byte
}

// Header is one HTTP header line.
type Header struct{ Name, Value string }

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Service is a plain service. Call never sends a request twice.
type Service interface {
	Call(ctx context.Context, r ServiceRequest) (ServiceResponse, error)
}
