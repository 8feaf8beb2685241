// Package oracle computes the expected responses of the stand-in engines and services. They
// are pure functions of the request, so that a load generator can verify them completely,
// and a response that one engine started can be continued exactly by another.
package oracle

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultMaxTokens bounds a completion whose request sets no bound.
	DefaultMaxTokens = 128
	// PoisonMarker in a prompt or a body crashes the stand-in that processes it.
	PoisonMarker = "crash-this-upstream"
)

// Reasons why a completion ends.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Completion is an engine's complete response to a prompt.
type Completion struct {
	seed uint64
	// Tokens is the length of the completion in tokens.
	Tokens int
	// Finish is FinishStop or FinishLength.
	Finish string
}

// Expected returns a model's completion of a prompt. A maxTokens of 0 or less means
// DefaultMaxTokens.
func Expected(model, prompt string, maxTokens int) Completion {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	natural := unboundedLength(prompt, maxTokens)
	a := Completion{seed: seed(model, prompt), Tokens: natural, Finish: FinishStop}
	if natural >= maxTokens {
		a.Tokens, a.Finish = maxTokens, FinishLength
	}
	return a
}

// Token returns the text of token i, counted from 0.
func (a Completion) Token(i int) string {
	word := words[splitmix64(a.seed+uint64(i))%uint64(len(words))]
	if i == 0 {
		return word[1:]
	}
	return word
}

// Text returns the joined text of the tokens in [from, to).
func (a Completion) Text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

// Token returns the text of token i of a model's completion of a prompt.
func Token(model, prompt string, i int) string {
	return Completion{seed: seed(model, prompt)}.Token(i)
}

// Length returns the length in tokens of the completion of a prompt.
func Length(prompt string, maxTokens int) int { return Expected("", prompt, maxTokens).Tokens }

// PromptTokens returns the number of tokens that the engines count in a text: its words.
func PromptTokens(text string) int {
	n, inWord := 0, false
	for i := range len(text) {
		space := isSpace(text[i])
		if !space && !inWord {
			n++
		}
		inWord = !space
	}
	return n
}

// RequestDigest returns a digest by which a plain service's response identifies its
// request.
func RequestDigest(method, path string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(method)
	_, _ = d.WriteString("\n" + path + "\n")
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// unboundedLength returns the length of a completion before maxTokens cuts it. It is
// uniformly distributed from half of maxTokens to a quarter above it.
func unboundedLength(prompt string, maxTokens int) int {
	spread := maxTokens*3/4 + 1
	h := splitmix64(xxhash.Sum64String(prompt) + lengthSalt)
	return max(1, maxTokens/2+int(h%uint64(spread)))
}

const lengthSalt = 0x6c656e677468

func seed(model, prompt string) uint64 {
	var m [8]byte
	binary.LittleEndian.PutUint64(m[:], xxhash.Sum64String(model))
	d := xxhash.New()
	_, _ = d.Write(m[:])
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

// splitmix64 is the finaliser of the SplitMix64 generator.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\t' || c == '\r' }

// words holds the vocabulary, each word with a leading space.
var words = vocabulary()

func vocabulary() []string {
	heads := strings.Fields("ka le mi no pu ra se ti vo zu da fe gi ho ju ba")
	tails := strings.Fields("lin mar nes pol rim sat tun vek dor fal gan hil jor bes kum zet")
	out := make([]string, 0, len(heads)*len(heads)*len(tails))
	for _, a := range heads {
		for _, b := range heads {
			for _, c := range tails {
				out = append(out, " "+a+b+c)
			}
		}
	}
	return out
}
