// Package openai decodes and encodes the OpenAI-compatible messages that callers
// exchange with the system: completion and chat requests, plain responses, streamed
// chunks, the list of models and errors.
package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Kind is the kind of a model request.
type Kind uint8

// The kinds of request.
const (
	Completion Kind = iota
	Chat
)

// DefaultMaxTokens is the output bound of a request that sets none.
const DefaultMaxTokens = 256

// maxTokensLimit is the largest accepted output bound.
const maxTokensLimit = 1 << 20

// Request is a validated request. Its strings share no memory with the body from
// which it was parsed.
type Request struct {
	Kind      Kind
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Stream    bool
	// IncludeUsage requests a last chunk with the usage.
	IncludeUsage bool
	// PromptTokens is estimated from the number of words.
	PromptTokens int
}

// RequestError says what is wrong with a request's body.
type RequestError struct{ Message string }

func (e *RequestError) Error() string { return e.Message }

func requestErrorf(format string, args ...any) error {
	return &RequestError{Message: fmt.Sprintf(format, args...)}
}

// body has the members of both kinds of request that affect the response. Sampling
// parameters (temperature, top_p, seed) are ignored here; the engine decides on them.
type body struct {
	Model               string    `json:"model"`
	Adapter             string    `json:"adapter"`
	Prompt              *string   `json:"prompt"`
	Messages            []message `json:"messages"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`

	// Members that would change the form of the response and that no engine supports.
	N              *int            `json:"n"`
	BestOf         *int            `json:"best_of"`
	Echo           bool            `json:"echo"`
	Suffix         string          `json:"suffix"`
	Stop           json.RawMessage `json:"stop"`
	Tools          json.RawMessage `json:"tools"`
	LogProbs       json.RawMessage `json:"logprobs"`
	ResponseFormat json.RawMessage `json:"response_format"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one item of a message content that is a list.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// ParseRequest parses a request's body. The error is a *RequestError.
func ParseRequest(kind Kind, data []byte) (Request, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return Request{}, decodeError(err)
	}
	if b.Model == "" {
		return Request{}, requestErrorf("the member model is missing")
	}
	if err := b.checkSupported(); err != nil {
		return Request{}, err
	}
	prompt, err := b.prompt(kind)
	if err != nil {
		return Request{}, err
	}
	maxTokens, err := b.outputBound()
	if err != nil {
		return Request{}, err
	}
	return Request{
		Kind:         kind,
		Model:        b.Model,
		Adapter:      b.Adapter,
		Prompt:       prompt,
		MaxTokens:    maxTokens,
		Stream:       b.Stream,
		IncludeUsage: b.StreamOptions.IncludeUsage,
		PromptTokens: EstimateTokens(prompt),
	}, nil
}

func (b *body) checkSupported() error {
	for _, m := range []struct {
		name string
		set  bool
	}{
		{"n", b.N != nil && *b.N != 1},
		{"best_of", b.BestOf != nil && *b.BestOf != 1},
		{"echo", b.Echo},
		{"suffix", b.Suffix != ""},
		{"stop", isSet(b.Stop)},
		{"tools", isSet(b.Tools)},
		{"logprobs", isSet(b.LogProbs) && string(b.LogProbs) != "false"},
		{"response_format", isSet(b.ResponseFormat)},
	} {
		if m.set {
			return requestErrorf("the member %s is not supported", m.name)
		}
	}
	return nil
}

func isSet(raw json.RawMessage) bool {
	return len(raw) > 0 && string(raw) != "null"
}

func (b *body) outputBound() (int, error) {
	bound := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		bound = b.MaxCompletionTokens
	}
	if bound == nil {
		return DefaultMaxTokens, nil
	}
	if *bound < 1 || *bound > maxTokensLimit {
		return 0, requestErrorf("max_tokens must lie between 1 and %d", maxTokensLimit)
	}
	return *bound, nil
}

func (b *body) prompt(kind Kind) (string, error) {
	if kind == Chat {
		return b.chatPrompt()
	}
	if b.Prompt == nil {
		return "", errPrompt
	}
	return *b.Prompt, nil
}

var errPrompt = requestErrorf("the member prompt must be one string")

func decodeError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field == "prompt" {
		return errPrompt
	}
	return requestErrorf("the body is no JSON request: %v", err)
}

// chatPrompt joins the messages into one text, one line each, and ends with the start
// of the assistant's line.
func (b *body) chatPrompt() (string, error) {
	if len(b.Messages) == 0 {
		return "", requestErrorf("the member messages is missing or empty")
	}
	var prompt strings.Builder
	for i, m := range b.Messages {
		text, err := m.text()
		if err != nil {
			return "", requestErrorf("messages[%d]: %v", i, err)
		}
		prompt.WriteString(m.Role)
		prompt.WriteString(": ")
		prompt.WriteString(text)
		prompt.WriteByte('\n')
	}
	prompt.WriteString("assistant:")
	return prompt.String(), nil
}

func (m message) text() (string, error) {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return "", requestErrorf("content must be a string or a list of text parts")
	}
	var all strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", requestErrorf("content of type %q is not supported", p.Type)
		}
		all.WriteString(p.Text)
	}
	return all.String(), nil
}

// EstimateTokens estimates the number of tokens of a text as four for every three
// words, the usual ratio for English.
func EstimateTokens(text string) int {
	words, inWord := 0, false
	for i := 0; i < len(text); i++ {
		space := text[i] == ' ' || text[i] == '\n' || text[i] == '\t' || text[i] == '\r'
		if !space && !inWord {
			words++
		}
		inWord = !space
	}
	return (words*4 + 2) / 3
}
