package stream

import "sync/atomic"

// MemoryBudget bounds the total text that all open streams of a process buffer.
type MemoryBudget struct {
	max  int64
	used atomic.Int64
}

// NewMemoryBudget returns a budget of a number of bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget { return &MemoryBudget{max: bytes} }

// Used returns the number of bytes buffered now.
func (b *MemoryBudget) Used() int64 { return b.used.Load() }

func (b *MemoryBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.max {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

// OutputBuffer holds the text of an answer so far, which another engine needs to
// continue it. If the text exceeds the limit or the budget, it is discarded: the
// stream goes on in constant memory but can't be continued if its engine fails.
// An OutputBuffer isn't safe for concurrent use.
type OutputBuffer struct {
	budget    *MemoryBudget
	limit     int
	text      []byte
	tokens    int
	discarded bool
}

// NewOutputBuffer returns an empty buffer of up to limit bytes.
func NewOutputBuffer(budget *MemoryBudget, limit int) *OutputBuffer {
	return &OutputBuffer{budget: budget, limit: limit}
}

// Add counts one token and buffers its text if there is room.
func (o *OutputBuffer) Add(text string) {
	o.tokens++
	if o.discarded {
		return
	}
	if len(o.text)+len(text) > o.limit || !o.budget.reserve(len(text)) {
		o.Discard()
		return
	}
	o.text = append(o.text, text...)
}

// Skip counts tokens whose text isn't known here, such as those of an answer that
// another instance started.
func (o *OutputBuffer) Skip(tokens int) {
	o.tokens += tokens
	if tokens > 0 {
		o.Discard()
	}
}

// Tokens returns the number of tokens so far, buffered or not.
func (o *OutputBuffer) Tokens() int { return o.tokens }

// Text returns the complete text so far, or false if it was discarded.
func (o *OutputBuffer) Text() (string, bool) { return string(o.text), !o.discarded }

// Discard drops the text and returns its bytes to the budget. It must be called when
// the answer ends and may be called repeatedly.
func (o *OutputBuffer) Discard() {
	o.budget.used.Add(-int64(len(o.text)))
	o.text = nil
	o.discarded = true
}
