// Package upstream holds the types and interfaces for what stands behind the
// system: model engines and plain services. An adapter for a wire form
// implements them.
package upstream

import (
	"context"
	"errors"
	"time"
)

// Role is what an engine is set up for.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// GenerateRequest asks an engine to produce tokens.
type GenerateRequest struct {
	// AttemptID is unique to this attempt. Cancel and resume name it.
	AttemptID string
	Model     string
	Adapter   string
	Prompt    string
	// Prior is the text already produced by an attempt elsewhere, PriorTokens
	// its length in tokens. The first token of this attempt has that index.
	Prior       string
	PriorTokens int
	MaxTokens   int
	// Priority orders work within the engine: higher goes first.
	Priority int
	// KV names cache exported by another engine, which this one imports
	// before it starts; nil if none.
	KV *KVHandle
}

// Token is one token of an answer.
type Token struct {
	// Index counts from 0 over the whole answer, prior tokens included.
	Index int
	Text  string
	// Finish is "" until the last token, then the reason: "stop" or "length".
	Finish string
	// PromptTokens is the engine's count of the prompt's tokens.
	PromptTokens int
	// CachedTokens is how many of them came from the prefix cache.
	CachedTokens int
}

// TokenStream is a running answer.
type TokenStream interface {
	// Next returns the next token, or io.EOF after the one with a Finish. Any
	// other error means that the answer is broken off.
	Next(ctx context.Context) (Token, error)
	// Close ends the stream; the engine drops work not yet done.
	Close() error
}

// KVHandle names KV cache that an engine keeps for export.
type KVHandle struct {
	Engine string `json:"engine"` // address of the engine that holds it
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

// Engine is the data side of a model engine.
type Engine interface {
	Generate(ctx context.Context, r GenerateRequest) (TokenStream, error)
	// Resume takes up a stream of this engine again, from a token index.
	Resume(ctx context.Context, attemptID string, from int) (TokenStream, error)
	// Prefill works through a prompt and keeps its KV cache for export.
	Prefill(ctx context.Context, r GenerateRequest) (KVHandle, error)
	// Cancel drops an attempt; it is idempotent.
	Cancel(ctx context.Context, attemptID string) error
	// Load returns the engine's own report, which lags.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events after a sequence number, which may have gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// LoadReport is what an engine says about itself.
type LoadReport struct {
	// At is the engine's clock when it measured; AgeMillis how old the figures
	// were when it answered.
	At              time.Time `json:"at"`
	AgeMillis       int64     `json:"age_ms"`
	Role            Role      `json:"role"`
	InService       bool      `json:"in_service"`
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	QueuedPrompt    int       `json:"queued_prompt_tokens"`
	KVUsedTokens    int       `json:"kv_used_tokens"`
	KVTotalTokens   int       `json:"kv_total_tokens"`
	PrefillPerSec   float64   `json:"prefill_tokens_per_s"`
	DecodePerSec    float64   `json:"decode_tokens_per_s"`
	MaxBatch        int       `json:"max_batch"`
	Models          []string  `json:"models"`
	FencingToken    uint64    `json:"fencing_number"`
	OrdersCompleted uint64    `json:"orders_completed"`
}

// CacheEvent says that an engine stored or dropped a prefix block.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Block is the chained hash of the prefix up to and with this block.
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// OrderKind says what an order changes.
type OrderKind string

// The kinds of order.
const (
	OrderRole    OrderKind = "role"
	OrderModel   OrderKind = "model"
	OrderAdapter OrderKind = "adapter"
	// OrderFence only raises the fencing number.
	OrderFence OrderKind = "fence"
)

// Order is a command to an engine.
type Order struct {
	ID      string    `json:"id" msgpack:"id"`
	Kind    OrderKind `json:"kind" msgpack:"kind"`
	Role    Role      `json:"role,omitempty" msgpack:"role"`
	Model   string    `json:"model,omitempty" msgpack:"model"`
	Version string    `json:"version,omitempty" msgpack:"version"`
	Adapter string    `json:"adapter,omitempty" msgpack:"adapter"`
	// Fence is the fencing number: the log offset of the sender's lease claim.
	FencingToken uint64 `json:"fence" msgpack:"fence"`
}

// EngineState is what an engine answers when its state is read back.
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

// Controlled is the control side of an engine. Only controllers call it.
type Controlled interface {
	// Order sends a command. It returns ErrFenced if the engine has seen a
	// higher fencing number, ErrBusy while another order is carried out. Any
	// other error leaves open whether the order was taken.
	Order(ctx context.Context, o Order) error
	State(ctx context.Context) (EngineState, error)
}

// The outcomes that an upstream's adapter tells apart.
var (
	// ErrFenced says that an order came with an outdated fencing number.
	ErrFenced = errors.New("upstream: order refused, fencing number is outdated")
	// ErrBusy says that the engine is carrying out another order.
	ErrBusy = errors.New("upstream: busy with another order")
	// ErrNotSent says that no byte of the request reached the upstream: the
	// connection could not be made. The call did not run.
	ErrNotSent = errors.New("upstream: request was not sent")
	// ErrRefused says that the upstream answered that it takes no work now.
	// The call did not run.
	ErrRefused = errors.New("upstream: refused before running")
	// ErrBroken says that the upstream died or the connection broke after the
	// request was sent. The call may have run.
	ErrBroken = errors.New("upstream: broken off after the request was sent")
	// ErrGone says that a stream to be resumed is not known any more.
	ErrGone = errors.New("upstream: stream is not known")
)

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	AttemptID string
	Method    string
	// Path carries the query string too.
	Path    string
	Headers []Header
	Body    []byte
}

// Header is one HTTP header line.
type Header struct{ Name, Value string }

// ServiceResponse is a plain service's answer.
type ServiceResponse struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Service is a plain service. Call never sends a request twice.
type Service interface {
	Call(ctx context.Context, r ServiceRequest) (ServiceResponse, error)
}
