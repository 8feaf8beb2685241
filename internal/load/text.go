package load

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"tamarackchute/internal/entry/openai"
)

// library is a long text of which prompts are cut; a word is one token.
var library = newLibrary()

type textLibrary struct {
	text   string
	starts []int // where each word begins
}

const libraryWords = 40000

func newLibrary() textLibrary {
	var b strings.Builder
	starts := make([]int, 0, libraryWords+1)
	for i := range libraryWords {
		starts = append(starts, b.Len())
		b.WriteString("w" + strconv.Itoa(i%9973) + " ")
	}
	return textLibrary{text: b.String(), starts: append(starts, b.Len())}
}

// cut returns a text of n words that the seed fixes.
func (l textLibrary) cut(seed uint64, n int) string {
	n = min(n, libraryWords/2)
	from := int(seed % uint64(libraryWords/2))
	return strings.TrimSuffix(l.text[l.starts[from]:l.starts[from+n]], " ")
}

// prompt returns a prompt of n words that no other seed gives.
func prompt(seed uint64, n int) string {
	return "q" + strconv.FormatUint(seed, 36) + " " + library.cut(seed, max(0, n-1))
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

// modelRequest returns path and body of a model request, and the whole prompt
// that the engine gets.
func modelRequest(model string, kind Kind, a Arrival) (path string, body []byte, whole string, err error) {
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

// organisations is how many organisations the callers belong to.
const organisations = 40

func organisation(seed uint64) string { return fmt.Sprintf("org-%02d", seed%organisations) }
