package standin

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/standin/oracle"
	"tamarackchute/router"
)

// ending is how a sequence ended.
type sequenceStatus int

const (
	statusRunning sequenceStatus = iota
	statusFinished
	statusCancelled
	statusInterrupted // by a crash or by an order
)

var (
	errInterrupted = errors.New("stand-in: answer was cut off")
	errReplaced    = errors.New("stand-in: stream was taken up again elsewhere")
)

// sequence is one request in an engine. The fields up to mu belong to the
// engine and are guarded by its lock.
type sequence struct {
	id         string
	completion oracle.Completion
	priority   int
	arrival    uint64
	model      uint64
	blocks     []uint64
	// promptTokens counts the prompt; prefix cache and import save some of it.
	promptTokens, cachedTokens, importedTokens int
	// todo are the tokens still to be worked through before the first token.
	remaining int
	// private are the KV tokens taken beside the blocks.
	privateTokens int
	// keepKV marks a prefill whose cache is kept for export.
	exportKV bool
	poisoned bool
	admitted bool

	mu         sync.Mutex
	firstToken int // index of the first token of this attempt
	nextToken  int // index of the token to be made next
	status     sequenceStatus
	reader     *tokenReader
	// lonely is since when nobody has read the stream.
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

// open makes the first reader of a stream.
func (s *sequence) open() *tokenReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attach(s.firstToken)
}

// attach makes a reader from a token index; an older reader ends. It is called
// with the lock held.
func (s *sequence) attach(from int) *tokenReader {
	if s.reader != nil {
		s.reader.replaced = true
		s.reader.wakeReader()
	}
	s.reader = &tokenReader{seq: s, nextToken: from, firstLine: true, breakAt: -1, wake: make(chan struct{}, 1)}
	s.unreadSince = time.Time{}
	return s.reader
}

// resume makes a reader from a token index that lies within what this attempt
// has made or may still make.
func (s *sequence) resume(from int) *tokenReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.firstToken || from > s.nextToken || from >= s.completion.Tokens || s.status == statusCancelled || s.status == statusInterrupted {
		return nil
	}
	return s.attach(from)
}

// produce makes one token and reports whether it was the last.
func (s *sequence) produce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextToken++
	if s.reader != nil {
		s.reader.wakeReader()
	}
	return s.nextToken >= s.completion.Tokens
}

// finish ends the sequence, once.
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

// state returns how the sequence stands and since when nobody reads it.
func (s *sequence) state() (sequenceStatus, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status, s.unreadSince
}

// tokenReader is the body of a streamed answer: one JSON line a token. It
// makes the lines when they are asked for, so a slow reader costs no memory.
type tokenReader struct {
	seq  *sequence
	wake chan struct{}
	// gate holds reads back while the engine is frozen; nil for none. It
	// reports false once the engine has ended.
	awaitUnfrozen func() bool
	// left is told when the reader is closed before the answer's end.
	onUnread func(*sequence)

	// The rest is guarded by seq.mu.
	nextToken int // index of the next token to send
	firstLine bool
	replaced  bool
	breakAt   int // index before which a fault breaks off; -1 for none
	// rest is the rest of a line that didn't fit the last Read.
	pending []byte
}

// maxTokenLine is more than a token line usually takes, in bytes.
const maxTokenLine = 192

func (r *tokenReader) wakeReader() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Read implements io.Reader; it waits for the next token.
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

// fill puts the lines that are ready into p.
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

// put appends the next line to out, as far as limit allows.
func (r *tokenReader) appendLine(out []byte, limit int) []byte {
	var space [maxTokenLine]byte
	line := r.encodeLine(space[:0])
	r.nextToken++
	r.firstLine = false
	fits := min(len(line), limit-len(out))
	r.pending = append(r.pending[:0], line[fits:]...)
	return append(out, line[:fits]...)
}

// line appends the line of the token at r.at. The vocabulary needs no escapes.
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

// Close implements io.Closer. The server calls it when the response is over or
// its connection has broken.
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
