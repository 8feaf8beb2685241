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
	engine  *upstreamTracker
	prefill *upstreamTracker // nil unless prefill runs on an engine of its own
	// movedFrom is that engine once it is done.
	transferredFrom *upstreamTracker
	tokens          int // of the prompt
	began           time.Time
	trial           bool
	noQueue         bool // no prompts were ahead at the start
	// ownAhead is the own prompt tokens ahead at the start, pace the seconds
	// that the engine was taken to need for one.
	localAhead, secondsPerPromptToken float64

	mu              sync.Mutex
	prompt          int // prompt tokens still booked
	output          int // output tokens still booked
	kv              int // KV tokens booked
	requestedOutput int
	produced        int
	firstAt         time.Time
	transferStart   time.Time // prefill on an engine of its own was done
	predictedGap    float64   // seconds between tokens that were predicted at firstAt
	ended           bool
}

func (k *Ticket) begin(now time.Time, blocks []uint64) {
	if k.engine == nil {
		k.ended = true
		return
	}
	l := &k.engine.node.live
	l.localOutput.Add(int64(k.output))
	k.observeEngine(now)
	if k.engine.node.healthAt(now) == trial {
		k.trial = true
		l.trials.Add(1)
	}
	if k.prefill == nil {
		k.engine.record(now, 1, k.prompt, k.kv)
		k.t.cache.addPredicted(k.engine.node.id, blocks, now)
		return
	}
	k.engine.record(now, 1, 0, k.kv)
	k.prefill.record(now, 1, k.prompt, k.prompt)
	k.t.cache.addPredicted(k.prefill.node.id, blocks, now)
}

// look notes how things stand at the engine as the attempt begins.
func (k *Ticket) observeEngine(now time.Time) {
	b := k.engine
	u := b.node.state.Load()
	work := b.node.currentWork(&b.t.cfg, u, now.Sub(u.ReportAt))
	m := modelOf(&b.t.cfg, u, &b.node.live)
	k.secondsPerPromptToken = m.prefillSeconds(1, min(work.Requests, m.batch))
	k.localAhead = float64(b.node.live.localPrompt.Load())
	k.noQueue = !u.ReportAt.IsZero() && now.Sub(u.ReportAt) < b.t.cfg.StaleAfter && work.PromptTokens == 0
}

// Prefilled says that the engine for prefill is done and has handed over. It
// is for plans with a Prefill only.
func (k *Ticket) PrefillDone() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || k.prefill == nil {
		return
	}
	now := k.t.now()
	k.prefill.record(now, -1, -k.prompt, -k.prompt)
	k.prefill.recordPrefillSuccess(now)
	k.prompt = 0
	k.transferredFrom = k.prefill
	k.transferStart = now
	k.prefill = nil
}

// EngineLeaves reports whether the engine that should give the answer has
// begun to leave since the attempt began.
func (k *Ticket) EngineShuttingDown() bool {
	return k.engine != nil && k.engine.node.state.Load().ShuttingDown
}

// FirstToken says that the first token has come.
func (k *Ticket) FirstToken() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || !k.firstAt.IsZero() {
		return
	}
	k.firstAt = k.t.now()
	k.predictedGap = k.engine.reportedGap()
	if k.prompt > 0 && k.prefill == nil {
		k.engine.record(k.firstAt, 0, -k.prompt, 0)
		k.prompt = 0
	}
	switch {
	case k.transferredFrom != nil:
		k.learnKVTransfer()
	case k.plan.Prefill == "":
		k.engine.learnFirstToken(k)
	}
}

// Tokens says that n more tokens have come, the first included.
func (k *Ticket) Tokens(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	k.produced += n
	n = min(n, k.output)
	k.output -= n
	k.engine.node.live.localOutput.Add(int64(-n))
}

// End closes the ticket with the attempt's outcome. If prefill on an engine of
// its own hasn't ended, the outcome is that engine's.
func (k *Ticket) End(o Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	now := k.t.now()
	l := &k.engine.node.live
	l.localOutput.Add(int64(-k.output))
	if k.trial {
		l.trials.Add(-1)
	}
	blamed := k.engine
	if k.prefill != nil {
		k.prefill.record(now, -1, -k.prompt, -k.prompt)
		k.engine.record(now, -1, 0, -k.kv)
		blamed = k.prefill
	} else {
		k.engine.record(now, -1, -k.prompt, -k.kv)
	}
	blamed.recordOutcome(o, k.began, now)
	if o == OutcomeOK {
		k.engine.learnCompletion(k, now)
	}
}
