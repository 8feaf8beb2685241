package standin

import (
	"container/heap"
	"time"
)

// batch is the scheduler of an engine: a priority queue and the running batch. It has no
// clock and no goroutine.
type batch struct {
	speed    Speed
	kv       *kvCache
	queue    sequenceQueue
	running  []*sequence
	arrivals uint64
	// queuedPrompt is the number of prompt tokens still to be prefilled, in the queue and
	// in the batch.
	queuedPrompt int
}

// chunk is the part of a prompt that one step prefills.
type chunk struct {
	seq    *sequence
	tokens int
}

// step is one iteration of the engine: prompt chunks to prefill and sequences to decode.
type step struct {
	chunks  []chunk
	decodes []*sequence
	prefill time.Duration
	decode  time.Duration
	// poisoned says that the step contains a sequence that crashes the engine.
	poisoned bool
}

func (s step) empty() bool { return len(s.chunks) == 0 && len(s.decodes) == 0 }

func (b *batch) enqueue(s *sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	b.queuedPrompt += s.remaining
	heap.Push(&b.queue, s)
}

// admit moves sequences from the queue to the batch while they fit. The first one that
// doesn't fit blocks those behind it.
func (b *batch) admit() {
	for len(b.running) < b.speed.MaxBatch && b.queue.Len() > 0 {
		s := b.queue[0]
		cachedBlocks, ok := b.kv.reserve(s.model, s.blocks, s.privateTokens)
		if !ok {
			return
		}
		heap.Pop(&b.queue)
		b.start(s, cachedBlocks)
	}
}

// start puts a sequence into the batch. At least one token of its prompt must be prefilled
// to produce the first output token, even if the whole prompt is cached.
func (b *batch) start(s *sequence, cachedBlocks int) {
	s.admitted = true
	s.cachedTokens = min(cachedBlocks*blockTokens, s.promptTokens)
	skipped := min(max(s.cachedTokens, s.importedTokens), s.remaining-1)
	s.remaining -= skipped
	b.queuedPrompt -= skipped
	b.running = append(b.running, s)
}

// plan returns the next step; speedOf returns the prefill and decode time of a step.
func (b *batch) plan(speedOf func(prompt, batch int) (prefill, decode time.Duration)) step {
	b.admit()
	var st step
	for _, s := range b.running {
		if s.remaining == 0 {
			st.decodes = append(st.decodes, s)
		}
	}
	budget := b.speed.ChunkTokens
	if len(st.decodes) == 0 {
		budget = b.speed.PrefillOnlyTokens
	}
	prompt := 0
	for _, s := range b.running {
		n := min(s.remaining, budget-prompt)
		if n <= 0 {
			continue
		}
		prompt += n
		st.chunks = append(st.chunks, chunk{seq: s, tokens: n})
		st.poisoned = st.poisoned || s.poisoned
	}
	st.prefill, st.decode = speedOf(prompt, len(st.decodes))
	return st
}

// complete applies a step and returns the sequences it finished and the number of tokens it
// decoded.
func (b *batch) complete(st step) (done []*sequence, tokens int) {
	for _, c := range st.chunks {
		if !c.seq.admitted {
			continue
		}
		c.seq.remaining -= c.tokens
		b.queuedPrompt -= c.tokens
		if c.seq.remaining > 0 {
			continue
		}
		if c.seq.exportKV {
			b.removeRunning(c.seq)
			done = append(done, c.seq)
			continue
		}
		st.decodes = append(st.decodes, c.seq)
	}
	for _, s := range st.decodes {
		if !s.admitted {
			continue
		}
		tokens++
		if s.produce() {
			b.removeRunning(s)
			b.free(s)
			done = append(done, s)
		}
	}
	return done, tokens
}

// drop removes a sequence from the queue or the batch.
func (b *batch) drop(s *sequence) {
	if s.admitted {
		b.queuedPrompt -= s.remaining
		b.removeRunning(s)
		b.free(s)
		return
	}
	for i, q := range b.queue {
		if q == s {
			b.queuedPrompt -= s.remaining
			heap.Remove(&b.queue, i)
			return
		}
	}
}

func (b *batch) removeRunning(s *sequence) {
	s.admitted = false
	for i, r := range b.running {
		if r == s {
			b.running = append(b.running[:i], b.running[i+1:]...)
			return
		}
	}
}

// free releases a sequence's KV memory. Blocks that were not prefilled stay out of the
// cache.
func (b *batch) free(s *sequence) {
	prefilledBlocks := len(s.blocks)
	if s.remaining > 0 {
		prefilled := max(0, s.promptTokens-s.remaining)
		prefilledBlocks = min(prefilledBlocks, prefilled/blockTokens)
	}
	b.kv.release(s.model, s.blocks, prefilledBlocks, s.privateTokens)
}

// reset removes all sequences.
func (b *batch) reset() {
	b.queue = nil
	b.running = nil
	b.queuedPrompt = 0
}

// sequenceQueue is a heap ordered by priority, highest first, then by arrival.
type sequenceQueue []*sequence

func (q sequenceQueue) Len() int { return len(q) }

func (q sequenceQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q sequenceQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *sequenceQueue) Push(x any) { *q = append(*q, x.(*sequence)) }

// Pop implements heap.Interface.
func (q *sequenceQueue) Pop() any {
	old := *q
	n := len(old) - 1
	s := old[n]
	old[n] = nil
	*q = old[:n]
	return s
}
