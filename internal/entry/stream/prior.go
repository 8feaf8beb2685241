package stream

import "sync/atomic"

// Budget bounds the text that all open streams of a process keep together.
type MemoryBudget struct {
	max  int64
	used atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget { return &MemoryBudget{max: bytes} }

// Used returns the number of bytes kept now.
func (b *MemoryBudget) Used() int64 { return b.used.Load() }

func (b *MemoryBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.max {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

// Prior keeps the text that an answer has sent so far, which another engine
// needs to go on from there. A stream longer than its limit, or one for which
// the budget has no room, gives its text up: it streams on in constant memory,
// and can't be continued if its engine dies. It isn't safe for concurrent use.
type OutputBuffer struct {
	budget    *MemoryBudget
	limit     int
	text      []byte
	tokens    int
	discarded bool
}

// NewPrior returns an empty one that keeps up to limit bytes.
func NewOutputBuffer(budget *MemoryBudget, limit int) *OutputBuffer {
	return &OutputBuffer{budget: budget, limit: limit}
}

// Add counts one token and keeps its text, if there is room.
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

// Skip counts tokens whose text is not known here, as of an answer taken up
// from another instance.
func (o *OutputBuffer) Skip(tokens int) {
	o.tokens += tokens
	if tokens > 0 {
		o.Discard()
	}
}

// Tokens returns the number of tokens so far, kept or not.
func (o *OutputBuffer) Tokens() int { return o.tokens }

// Text returns the whole text so far, and false if it was given up.
func (o *OutputBuffer) Text() (string, bool) { return string(o.text), !o.discarded }

// GiveUp drops the text and returns its room to the budget. Call it when the
// answer ends; it may be called twice.
func (o *OutputBuffer) Discard() {
	o.budget.used.Add(-int64(len(o.text)))
	o.text = nil
	o.discarded = true
}
