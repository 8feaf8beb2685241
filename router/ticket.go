package router

import (
	"sync"
	"time"
)

// Ticket follows one attempt in the books. Its methods may be called from any
// goroutine, and after End do nothing.
type Ticket struct {
	t       *Tracker
	plan    Plan
	engine  *book
	prefill *book // nil unless prefill runs on an engine of its own
	began   time.Time

	mu       sync.Mutex
	prompt   int // prompt tokens still booked
	output   int // output tokens still booked
	produced int
	firstAt  time.Time
	ended    bool
}

func (k *Ticket) begin(now time.Time, blocks []uint64) {
	if k.engine == nil {
		k.ended = true
		return
	}
	at := k.engine
	if k.prefill != nil {
		k.engine.add(now, 1, 0, k.output)
		k.prefill.add(now, 1, k.prompt, 0)
		at = k.prefill
	} else {
		k.engine.add(now, 1, k.prompt, k.output)
	}
	k.t.cache.predict(at.node.id, blocks, now)
}

// Prefilled says that the engine for prefill is done and has handed over. It
// is for plans with a Prefill only. Bytes and tokens are the KV handle's.
func (k *Ticket) Prefilled() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || k.prefill == nil {
		return
	}
	k.prefill.add(k.t.now(), -1, -k.prompt, 0)
	k.prompt = 0
	k.prefill = nil
}

// FirstToken says that the first token has come.
func (k *Ticket) FirstToken() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || !k.firstAt.IsZero() {
		return
	}
	k.firstAt = k.t.now()
	if k.prompt > 0 {
		k.engine.add(k.firstAt, 0, -k.prompt, 0)
		k.prompt = 0
	}
}

// Tokens says that n more tokens have come.
func (k *Ticket) Tokens(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	k.produced += n
}

// End closes the ticket with the attempt's outcome.
func (k *Ticket) End(o Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	now := k.t.now()
	if k.prefill != nil {
		k.prefill.add(now, -1, -k.prompt, 0)
		k.prompt = 0
	}
	k.engine.add(now, -1, -k.prompt, -k.output)
	k.engine.learn(k, o, now)
}
