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
type ending int

const (
	running ending = iota
	finished
	cancelled
	cut // by a crash or by an order
)

var (
	errCut      = errors.New("stand-in: answer was cut off")
	errReplaced = errors.New("stand-in: stream was taken up again elsewhere")
)

// sequence is one request in an engine. The fields up to mu belong to the
// engine and are guarded by its lock.
type sequence struct {
	id       string
	answer   oracle.Completion
	priority int
	arrival  uint64
	model    uint64
	blocks   []uint64
	// promptTokens counts the prompt; prefix cache and import save some of it.
	promptTokens, cachedTokens, importedTokens int
	// todo are the tokens still to be worked through before the first token.
	todo int
	// private are the KV tokens taken beside the blocks.
	private int
	// keepKV marks a prefill whose cache is kept for export.
	keepKV   bool
	poisoned bool
	admitted bool

	mu     sync.Mutex
	first  int // index of the first token of this attempt
	next   int // index of the token to be made next
	end    ending
	reader *tokenReader
	// lonely is since when nobody has read the stream.
	lonely time.Time
	done   chan struct{} // closed at the end
}

func newSequence(m engineclient.GenerateMessage, poison string) *sequence {
	blocks := router.PrefixBlocks(m.Prompt)
	prompt := oracle.PromptTokens(m.Prompt)
	s := &sequence{
		id:           m.AttemptID,
		answer:       oracle.Expected(m.Model, m.Prompt, m.MaxTokens),
		priority:     m.Priority,
		model:        modelKey(m.Model),
		blocks:       blocks,
		promptTokens: prompt,
		first:        m.PriorTokens,
		next:         m.PriorTokens,
		poisoned:     poison != "" && strings.Contains(m.Prompt, poison),
		done:         make(chan struct{}),
	}
	s.todo = prompt + m.PriorTokens
	s.private = prompt - len(blocks)*blockTokens + s.answer.Tokens
	return s
}

// open makes the first reader of a stream.
func (s *sequence) open() *tokenReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attach(s.first)
}

// attach makes a reader from a token index; an older reader ends. It is called
// with the lock held.
func (s *sequence) attach(from int) *tokenReader {
	if s.reader != nil {
		s.reader.replaced = true
		s.reader.rouse()
	}
	s.reader = &tokenReader{seq: s, at: from, start: true, breakAt: -1, wake: make(chan struct{}, 1)}
	s.lonely = time.Time{}
	return s.reader
}

// resume makes a reader from a token index that lies within what this attempt
// has made or may still make.
func (s *sequence) resume(from int) *tokenReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.first || from > s.next || from >= s.answer.Tokens || s.end == cancelled || s.end == cut {
		return nil
	}
	return s.attach(from)
}

// produce makes one token and reports whether it was the last.
func (s *sequence) produce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	if s.reader != nil {
		s.reader.rouse()
	}
	return s.next >= s.answer.Tokens
}

// finish ends the sequence, once.
func (s *sequence) finish(how ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != running {
		return
	}
	s.end = how
	close(s.done)
	if s.reader != nil {
		s.reader.rouse()
	}
}

// state returns how the sequence stands and since when nobody reads it.
func (s *sequence) state() (ending, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end, s.lonely
}

// tokenReader is the body of a streamed answer: one JSON line a token. It
// makes the lines when they are asked for, so a slow reader costs no memory.
type tokenReader struct {
	seq  *sequence
	wake chan struct{}
	// gate holds reads back while the engine is frozen; nil for none. It
	// reports false once the engine has ended.
	gate func() bool
	// left is told when the reader is closed before the answer's end.
	left func(*sequence)

	// The rest is guarded by seq.mu.
	at       int // index of the next token to send
	start    bool
	replaced bool
	breakAt  int // index before which a fault breaks off; -1 for none
	// rest is the rest of a line that didn't fit the last Read.
	rest []byte
}

// maxTokenLine is more than a token line usually takes, in bytes.
const maxTokenLine = 192

func (r *tokenReader) rouse() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Read implements io.Reader; it waits for the next token.
func (r *tokenReader) Read(p []byte) (int, error) {
	for {
		if r.gate != nil && !r.gate() {
			return 0, errCut
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
	out := p[:copy(p, r.rest)]
	r.rest = r.rest[len(out):]
	for len(out) < len(p) && r.at < s.next && r.at != r.breakAt {
		out = r.put(out, len(p))
	}
	switch {
	case len(out) > 0:
		return len(out), nil
	case r.at >= s.answer.Tokens:
		return 0, io.EOF
	case r.at == r.breakAt, s.end == cancelled, s.end == cut:
		return 0, errCut
	default:
		return 0, nil
	}
}

// put appends the next line to out, as far as limit allows.
func (r *tokenReader) put(out []byte, limit int) []byte {
	var space [maxTokenLine]byte
	line := r.line(space[:0])
	r.at++
	r.start = false
	fits := min(len(line), limit-len(out))
	r.rest = append(r.rest[:0], line[fits:]...)
	return append(out, line[:fits]...)
}

// line appends the line of the token at r.at. The vocabulary needs no escapes.
func (r *tokenReader) line(b []byte) []byte {
	s := r.seq
	b = append(b, `{"i":`...)
	b = strconv.AppendInt(b, int64(r.at), 10)
	b = append(b, `,"t":"`...)
	b = append(b, s.answer.Token(r.at)...)
	b = append(b, '"')
	if r.at == s.answer.Tokens-1 {
		b = append(b, `,"f":"`...)
		b = append(b, s.answer.Finish...)
		b = append(b, '"')
	}
	if r.start {
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
		s.lonely = time.Now()
	}
	unread := current && s.end == running
	s.mu.Unlock()
	if unread && r.left != nil {
		r.left(s)
	}
	return nil
}
