package standin

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/standin/oracle"
	"tamarackchute/router"
)

// sequenceStatus says whether a sequence is running or how it ended.
type sequenceStatus int

const (
	statusRunning sequenceStatus = iota
	statusFinished
	statusCancelled
	statusInterrupted // by a crash or by an order
)

var (
	errInterrupted = errors.New("stand-in: response was interrupted")
	errReplaced    = errors.New("stand-in: stream was resumed by another reader")
)

// sequence is one request in an engine. The fields before mu belong to the engine and are
// guarded by its lock.
type sequence struct {
	id         string
	completion oracle.Completion
	priority   int
	arrival    uint64
	model      uint64
	// prompt is a digest of the model and the whole prompt.
	prompt uint64
	blocks []uint64
	// promptTokens is the prompt's length; cachedTokens and importedTokens are the tokens
	// of it that the prefix cache and a KV import provide.
	promptTokens, cachedTokens, importedTokens int
	// remaining is the number of tokens still to be prefilled before the first output
	// token.
	remaining int
	// privateTokens is the KV memory used in addition to the prefix blocks.
	privateTokens int
	// exportKV marks a prefill whose KV cache is kept for export.
	exportKV bool
	poisoned bool
	admitted bool

	mu         sync.Mutex
	firstToken int // index of the first token of this attempt
	nextToken  int // index of the next token to produce
	status     sequenceStatus
	reader     *tokenReader
	// unreadSince is when the last reader was closed; zero while the stream has a reader or
	// has never had one.
	unreadSince time.Time
	done        chan struct{} // closed at the end
}

func newSequence(m engineclient.GenerateMessage, poison string) *sequence {
	blocks := router.PrefixBlocks(m.Prompt)
	prompt := oracle.PromptTokens(m.Prompt)
	s := &sequence{
		id:           m.AttemptID,
		completion:   oracle.Expected(m.Model, m.Prompt, m.MaxTokens),
		priority:     m.Priority,
		model:        modelKey(m.Model),
		prompt:       promptDigest(m.Model, m.Prompt),
		blocks:       blocks,
		promptTokens: prompt,
		firstToken:   m.PriorTokens,
		nextToken:    m.PriorTokens,
		poisoned:     poison != "" && strings.Contains(m.Prompt, poison),
		done:         make(chan struct{}),
	}
	s.remaining = prompt + m.PriorTokens
	s.privateTokens = prompt - len(blocks)*blockTokens + s.completion.Tokens
	return s
}

func promptDigest(model, prompt string) uint64 { return xxhash.Sum64String(model + "\n" + prompt) }

// open returns the stream's first reader.
func (s *sequence) open() *tokenReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attach(s.firstToken)
}

// attach returns a reader that starts at a token index and replaces any older reader. The
// caller holds s.mu.
func (s *sequence) attach(from int) *tokenReader {
	if s.reader != nil {
		s.reader.replaced = true
		s.reader.wakeReader()
	}
	s.reader = &tokenReader{seq: s, nextToken: from, firstLine: true, breakAt: -1, wake: make(chan struct{}, 1)}
	s.unreadSince = time.Time{}
	return s.reader
}

// resume returns a reader that starts at a token index, or nil if this attempt can't serve
// the stream from there.
func (s *sequence) resume(from int) *tokenReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.firstToken || from > s.nextToken || from >= s.completion.Tokens || s.status == statusCancelled || s.status == statusInterrupted {
		return nil
	}
	return s.attach(from)
}

// produce decodes one token and reports whether it was the last.
func (s *sequence) produce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextToken++
	if s.reader != nil {
		s.reader.wakeReader()
	}
	return s.nextToken >= s.completion.Tokens
}

// finish sets the final status; later calls have no effect.
func (s *sequence) finish(status sequenceStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status != statusRunning {
		return
	}
	s.status = status
	close(s.done)
	if s.reader != nil {
		s.reader.wakeReader()
	}
}

// state returns the sequence's status and the time since when it has had no reader.
func (s *sequence) state() (sequenceStatus, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status, s.unreadSince
}

// tokenReader is the body of a streamed response with one JSON line per token. It encodes
// lines on demand, so that a slow reader needs no buffer.
type tokenReader struct {
	seq  *sequence
	wake chan struct{}
	// awaitUnfrozen blocks while the engine is frozen, and reports false once the engine
	// has ended; nil for no check.
	awaitUnfrozen func() bool
	// onUnread is called when the reader is closed before the end of the response.
	onUnread func(*sequence)

	// The fields below are guarded by seq.mu.
	nextToken int // index of the next token to send
	firstLine bool
	replaced  bool
	breakAt   int // index before which a fault breaks the stream; -1 for none
	// pending is the rest of a line that didn't fit into the last Read.
	pending []byte
}

// maxTokenLine is the buffer size for one line, in bytes; a usual line is shorter.
const maxTokenLine = 192

func (r *tokenReader) wakeReader() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Read implements io.Reader and waits for the next token.
func (r *tokenReader) Read(p []byte) (int, error) {
	for {
		if r.awaitUnfrozen != nil && !r.awaitUnfrozen() {
			return 0, errInterrupted
		}
		n, err := r.fill(p)
		if n > 0 || err != nil {
			return n, err
		}
		<-r.wake
	}
}

// fill copies the available lines to p.
func (r *tokenReader) fill(p []byte) (int, error) {
	s := r.seq
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.replaced {
		return 0, errReplaced
	}
	out := p[:copy(p, r.pending)]
	r.pending = r.pending[len(out):]
	for len(out) < len(p) && r.nextToken < s.nextToken && r.nextToken != r.breakAt {
		out = r.appendLine(out, len(p))
	}
	switch {
	case len(out) > 0:
		return len(out), nil
	case r.nextToken >= s.completion.Tokens:
		return 0, io.EOF
	case r.nextToken == r.breakAt, s.status == statusCancelled, s.status == statusInterrupted:
		return 0, errInterrupted
	default:
		return 0, nil
	}
}

// appendLine appends the next line to out, up to limit bytes; the rest becomes pending.
func (r *tokenReader) appendLine(out []byte, limit int) []byte {
	var space [maxTokenLine]byte
	line := r.encodeLine(space[:0])
	r.nextToken++
	r.firstLine = false
	fits := min(len(line), limit-len(out))
	r.pending = append(r.pending[:0], line[fits:]...)
	return append(out, line[:fits]...)
}

// encodeLine appends the line of the next token to b: its index i, text t and, at the end,
// finish reason f. The first line also holds the prompt's tokens p and, of these, the cached
// ones c. No word of the vocabulary needs escaping.
func (r *tokenReader) encodeLine(b []byte) []byte {
	s := r.seq
	b = append(b, `{"i":`...)
	b = strconv.AppendInt(b, int64(r.nextToken), 10)
	b = append(b, `,"t":"`...)
	b = append(b, s.completion.Token(r.nextToken)...)
	b = append(b, '"')
	if r.nextToken == s.completion.Tokens-1 {
		b = append(b, `,"f":"`...)
		b = append(b, s.completion.Finish...)
		b = append(b, '"')
	}
	if r.firstLine {
		b = append(b, `,"p":`...)
		b = strconv.AppendInt(b, int64(s.promptTokens), 10)
		b = append(b, `,"c":`...)
		b = strconv.AppendInt(b, int64(s.cachedTokens), 10)
	}
	return append(b, "}\n"...)
}

// Close implements io.Closer. The server calls it when the response has ended or its
// connection has broken.
func (r *tokenReader) Close() error {
	s := r.seq
	s.mu.Lock()
	current := s.reader == r
	if current {
		s.reader = nil
		s.unreadSince = time.Now()
	}
	unread := current && s.status == statusRunning
	s.mu.Unlock()
	if unread && r.onUnread != nil {
		r.onUnread(s)
	}
	return nil
}
