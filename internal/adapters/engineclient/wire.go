// Package engineclient is the adapter for a model engine's HTTP protocol: JSON
// messages, and streamed responses with one JSON line per token.
package engineclient

import (
	"tamarackchute/upstream"
)

// Paths of an engine's protocol.
const (
	PathGenerate    = "/v1/generate"
	PathPrefill     = "/v1/prefill"
	PathStreams     = "/v1/streams/" // + attempt id
	PathKV          = "/v1/kv/"      // + handle id
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrder       = "/control/order"
	PathState       = "/control/state"
)

// Statuses with which an engine refuses an order.
const (
	StatusBusy   = 409
	StatusFenced = 412
)

// GenerateMessage is the body of a generate or prefill request.
type GenerateMessage struct {
	AttemptID   string             `json:"attempt_id"`
	Model       string             `json:"model"`
	Adapter     string             `json:"adapter,omitempty"`
	Prompt      string             `json:"prompt"`
	Prior       string             `json:"prior,omitempty"`
	PriorTokens int                `json:"prior_tokens,omitempty"`
	MaxTokens   int                `json:"max_tokens"`
	Priority    int                `json:"priority,omitempty"`
	KV          *upstream.KVHandle `json:"kv,omitempty"`
}

// TokenLine is one line of a streamed response. The first line of a stream has the
// counts of prompt tokens.
type TokenLine struct {
	Index        int    `json:"i"`
	Text         string `json:"t"`
	Finish       string `json:"f,omitempty"`
	PromptTokens int    `json:"p,omitempty"`
	CachedTokens int    `json:"c,omitempty"`
}

// CacheEventsReply is the response to a request for cache events.
type CacheEventsReply struct {
	Events []upstream.CacheEvent `json:"events"`
}
