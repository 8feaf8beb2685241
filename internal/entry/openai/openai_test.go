package openai

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestParseRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		kind Kind
		body string
		want Request
	}{
		"completion": {Completion, `{"model":"agronomy","prompt":"lime for two fields","max_tokens":7,"temperature":0}`,
			Request{Model: "agronomy", Prompt: "lime for two fields", MaxTokens: 7, PromptTokens: 6}},
		"chat with parts": {Chat, `{"model":"m","adapter":"a","stream":true,"stream_options":{"include_usage":true},
			"messages":[{"role":"system","content":"short"},{"role":"user","content":[{"type":"text","text":"pH 5"}]}]}`,
			Request{Kind: Chat, Model: "m", Adapter: "a", Prompt: "system: short\nuser: pH 5\nassistant:",
				MaxTokens: DefaultMaxTokens, Stream: true, IncludeUsage: true, PromptTokens: 8}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseRequest(tc.kind, []byte(tc.body))
			require.NoError(t, err)
			require.Equal(t, tc.want, got)
		})
	}
}

func TestParseRequestRefuses(t *testing.T) {
	for body, want := range map[string]string{
		`{`:                          "no JSON",
		`{"prompt":"x"}`:             "model is missing",
		`{"model":"m"}`:              "prompt must be one string",
		`{"model":"m","prompt":[1]}`: "prompt must be one string",
		`{"model":"m","prompt":"x","max_tokens":0}`:   "max_tokens",
		`{"model":"m","prompt":"x","n":2}`:            "n is not supported",
		`{"model":"m","prompt":"x","stop":["end"]}`:   "stop is not supported",
		`{"model":"m","prompt":"x","logprobs":5}`:     "logprobs is not supported",
		`{"model":"m","prompt":"x","max_tokens":1e9}`: "max_tokens",
	} {
		_, err := ParseRequest(Completion, []byte(body))
		var refused *RequestError
		require.ErrorAs(t, err, &refused, body)
		require.Contains(t, err.Error(), want)
	}
	_, err := ParseRequest(Chat, []byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`))
	require.ErrorContains(t, err, `"image_url" is not supported`)
}

// For any token text the chunk must be valid JSON, and valid UTF-8 text must be
// preserved unchanged.
func TestChunkCarriesAnyText(t *testing.T) {
	chunks := NewChunkEncoder(Chat, "chatcmpl-1", "Vík \"7b\"", 12)
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		var got struct {
			Model   string
			Choices []struct {
				Delta        struct{ Content string }
				FinishReason *string `json:"finish_reason"`
			}
		}
		require.NoError(t, json.Unmarshal(chunks.AppendToken(nil, text, "stop"), &got))
		require.Equal(t, "Vík \"7b\"", got.Model)
		require.Equal(t, text, got.Choices[0].Delta.Content)
		require.Equal(t, "stop", *got.Choices[0].FinishReason)
	})
	require.True(t, json.Valid(AppendResponse(nil, Response{Kind: Chat, ID: "i", Model: "\"", Text: "\n"})))
	require.True(t, json.Valid(chunks.AppendUsage(nil, NewUsage(3, 1, 4))))
	require.True(t, json.Valid(chunks.AppendToken(nil, "\xff\x00", "")))
}
