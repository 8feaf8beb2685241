package openai

import (
	"encoding/json"
	"strconv"
)

// Usage counts the tokens of one response.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails says how many prompt tokens came from the prefix cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// NewUsage returns the usage of a response.
func NewUsage(prompt, cached, completion int) Usage {
	u := Usage{
		PromptTokens:     prompt,
		CompletionTokens: completion,
		TotalTokens:      prompt + completion,
	}
	if cached > 0 {
		u.Details = &UsageDetails{CachedTokens: cached}
	}
	return u
}

// Response is the complete response to a completion or a chat request.
type Response struct {
	Kind      Kind
	ID, Model string
	// Created is in Unix seconds.
	Created      int64
	Text, Finish string
	Usage        Usage
}

// AppendResponse appends a response as JSON.
func AppendResponse(dst []byte, r Response) []byte {
	object, textPrefix, textSuffix := "text_completion", `"text":`, ""
	if r.Kind == Chat {
		object, textPrefix, textSuffix = "chat.completion", `"message":{"role":"assistant","content":`, "}"
	}
	dst = appendHead(dst, r.ID, object, r.Created, r.Model)
	dst = append(dst, `{"index":0,`...)
	dst = append(dst, textPrefix...)
	dst = AppendString(dst, r.Text)
	dst = append(dst, textSuffix...)
	dst = append(dst, `,"finish_reason":`...)
	dst = AppendString(dst, r.Finish)
	dst = append(dst, `}],"usage":`...)
	dst = appendUsage(dst, r.Usage)
	return append(dst, '}')
}

// appendHead appends the common start of responses and chunks, up to their choices.
func appendHead(dst []byte, id, object string, created int64, model string) []byte {
	dst = append(dst, `{"id":`...)
	dst = AppendString(dst, id)
	dst = append(dst, `,"object":"`...)
	dst = append(dst, object...)
	dst = append(dst, `","created":`...)
	dst = strconv.AppendInt(dst, created, 10)
	dst = append(dst, `,"model":`...)
	dst = AppendString(dst, model)
	return append(dst, `,"choices":[`...)
}

func appendUsage(dst []byte, u Usage) []byte {
	text, err := json.Marshal(u)
	if err != nil {
		panic(err) // a struct of numbers always has a JSON form
	}
	return append(dst, text...)
}

// ChunkEncoder encodes the chunks of one streamed response. The parts that all chunks
// share are encoded once, as each token is a chunk.
type ChunkEncoder struct {
	head       string
	textPrefix string
	textSuffix string
}

// NewChunkEncoder returns the encoder for one response. created is in Unix seconds.
func NewChunkEncoder(kind Kind, id, model string, created int64) *ChunkEncoder {
	object, textPrefix, textSuffix := "text_completion", `{"index":0,"text":`, `,"finish_reason":`
	if kind == Chat {
		object = "chat.completion.chunk"
		textPrefix, textSuffix = `{"index":0,"delta":{"content":`, `},"finish_reason":`
	}
	head := appendHead(nil, id, object, created, model)
	return &ChunkEncoder{head: string(head), textPrefix: textPrefix, textSuffix: textSuffix}
}

// AppendToken appends the chunk of one token; finish is "" except for the last one.
func (c *ChunkEncoder) AppendToken(dst []byte, text, finish string) []byte {
	dst = append(dst, c.head...)
	dst = append(dst, c.textPrefix...)
	dst = AppendString(dst, text)
	dst = append(dst, c.textSuffix...)
	if finish == "" {
		dst = append(dst, "null"...)
	} else {
		dst = AppendString(dst, finish)
	}
	return append(dst, "}]}"...)
}

// AppendUsage appends the last chunk, which has the usage and no choices.
func (c *ChunkEncoder) AppendUsage(dst []byte, u Usage) []byte {
	dst = append(dst, c.head...)
	dst = append(dst, `],"usage":`...)
	dst = appendUsage(dst, u)
	return append(dst, '}')
}

// AppendString appends a JSON string. Bytes that aren't valid UTF-8 become U+FFFD.
func AppendString(dst []byte, s string) []byte {
	if needsNoEscape(s) {
		dst = append(dst, '"')
		dst = append(dst, s...)
		return append(dst, '"')
	}
	return append(dst, quoted(s)...)
}

// needsNoEscape reports whether a string can be quoted as it is, which is the fast
// path for nearly every token.
func needsNoEscape(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

func quoted(s string) string {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // a string always has a JSON form
	}
	return string(text)
}

// Model is one entry of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// NewModelList returns the list of the named models.
func NewModelList(names []string) ModelList {
	list := ModelList{Object: "list", Data: make([]Model, len(names))}
	for i, name := range names {
		list.Data[i] = Model{ID: name, Object: "model", OwnedBy: "tamarackchute"}
	}
	return list
}
