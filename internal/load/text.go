package load

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"tamarackchute/internal/entry/openai"
)

// corpus is a long text from which prompts are taken; one word is one token.
var corpus = newCorpus()

type textCorpus struct {
	text   string
	starts []int // offset of each word
}

const corpusWords = 40000

func newCorpus() textCorpus {
	var b strings.Builder
	starts := make([]int, 0, corpusWords+1)
	for i := range corpusWords {
		starts = append(starts, b.Len())
		b.WriteString("w" + strconv.Itoa(i%9973) + " ")
	}
	return textCorpus{text: b.String(), starts: append(starts, b.Len())}
}

// excerpt returns a text of n words that the seed determines.
func (c textCorpus) excerpt(seed uint64, n int) string {
	n = min(n, corpusWords/2)
	from := int(seed % uint64(corpusWords/2))
	return strings.TrimSuffix(c.text[c.starts[from]:c.starts[from+n]], " ")
}

// prompt returns a prompt of n words that is unique to the seed.
func prompt(seed uint64, n int) string {
	return "q" + strconv.FormatUint(seed, 36) + " " + corpus.excerpt(seed, max(0, n-1))
}

// modelBody is the body of a completion or chat request.
type modelBody struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	Messages  []chatMessage `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// modelRequest returns the path and body of a model request, and the full prompt that the engine
// receives.
func modelRequest(model string, kind Kind, a Arrival) (path string, body []byte, fullPrompt string, err error) {
	b := modelBody{Model: model, MaxTokens: a.Output, Stream: a.Streamed}
	path, form := "/v1/completions", openai.Completion
	text := prompt(a.Seed, a.Prompt)
	if kind == KindChat {
		path, form = "/v1/chat/completions", openai.Chat
		b.Messages = []chatMessage{{Role: "user", Content: text}}
	} else {
		b.Prompt = text
	}
	body, err = json.Marshal(b)
	if err != nil {
		return "", nil, "", err
	}
	parsed, err := openai.ParseRequest(form, body)
	return path, body, parsed.Prompt, err
}

// organisationCount is the number of organisations that the callers belong to.
const organisationCount = 40

func organisation(seed uint64) string { return fmt.Sprintf("org-%02d", seed%organisationCount) }
