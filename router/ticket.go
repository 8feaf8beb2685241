package router

import (
	"sync"
	"time"
)

// Ticket tracks one attempt. Its methods may be called from any goroutine, and do
// nothing after End.
type Ticket struct {
	t       *Tracker
	plan    Plan
	engine  *upstreamTracker
	prefill *upstreamTracker // nil unless a separate engine runs prefill
	// transferredFrom is the prefill engine once prefill is done.
	transferredFrom *upstreamTracker
	promptTokens    int
	began           time.Time
	probe           bool
	noQueue         bool // a fresh report showed no prompts ahead at the start
	// localAhead is this process's prompt tokens ahead at the start,
	// secondsPerPromptToken the engine's estimated prefill time of one.
	localAhead, secondsPerPromptToken float64

	mu              sync.Mutex
	pendingPrompt   int // prompt tokens still recorded as pending
	pendingOutput   int // output tokens still recorded as pending
	recordedKV      int // KV tokens recorded
	requestedOutput int
	produced        int
	firstAt         time.Time
	transferStart   time.Time // when the separate prefill was done
	predictedGap    float64   // seconds between tokens, as predicted at firstAt
	ended           bool
}

func (k *Ticket) begin(now time.Time, blocks []uint64) {
	if k.engine == nil {
		k.ended = true
		return
	}
	l := &k.engine.node.live
	l.localOutput.Add(int64(k.pendingOutput))
	k.observeEngine(now)
	if k.engine.node.healthAt(now) == probing {
		k.probe = true
		l.probes.Add(1)
	}
	if k.prefill == nil {
		k.engine.record(now, 1, k.pendingPrompt, k.recordedKV)
		k.t.cache.addPredicted(k.engine.node.id, blocks, now)
		return
	}
	k.engine.record(now, 1, 0, k.recordedKV)
	k.prefill.record(now, 1, k.pendingPrompt, k.pendingPrompt)
	k.t.cache.addPredicted(k.prefill.node.id, blocks, now)
}

// observeEngine records the engine's state as the attempt begins.
func (k *Ticket) observeEngine(now time.Time) {
	ut := k.engine
	u := ut.node.state.Load()
	work := ut.node.currentWork(&ut.t.cfg, u, now.Sub(u.ReportAt))
	m := modelOf(&ut.t.cfg, u, &ut.node.live)
	k.secondsPerPromptToken = m.prefillSeconds(1, min(work.Requests, m.batch))
	k.localAhead = float64(ut.node.live.localPrompt.Load())
	k.noQueue = !u.ReportAt.IsZero() && now.Sub(u.ReportAt) < ut.t.cfg.StaleAfter && work.PromptTokens == 0
}

// PrefillDone records that the prefill engine has finished and transferred its KV
// cache. It applies only to plans with a Prefill.
func (k *Ticket) PrefillDone() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || k.prefill == nil {
		return
	}
	now := k.t.now()
	k.prefill.record(now, -1, -k.pendingPrompt, -k.pendingPrompt)
	k.prefill.recordPrefillSuccess(now)
	k.pendingPrompt = 0
	k.transferredFrom = k.prefill
	k.transferStart = now
	k.prefill = nil
}

// EngineTerminating reports whether the platform is removing the engine that is to
// decode.
func (k *Ticket) EngineTerminating() bool {
	return k.engine != nil && k.engine.node.state.Load().Terminating
}

// FirstToken records that the first token has arrived.
func (k *Ticket) FirstToken() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || !k.firstAt.IsZero() {
		return
	}
	k.firstAt = k.t.now()
	k.predictedGap = k.engine.reportedGap()
	if k.pendingPrompt > 0 && k.prefill == nil {
		k.engine.record(k.firstAt, 0, -k.pendingPrompt, 0)
		k.pendingPrompt = 0
	}
	switch {
	case k.transferredFrom != nil:
		k.learnKVTransfer()
	case k.plan.Prefill == "":
		k.engine.learnFirstToken(k)
	}
}

// Tokens records that n more tokens have arrived, the first included.
func (k *Ticket) Tokens(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	k.produced += n
	n = min(n, k.pendingOutput)
	k.pendingOutput -= n
	k.engine.node.live.localOutput.Add(int64(-n))
}

// End closes the ticket with the attempt's outcome. If a separate prefill hasn't
// finished, the outcome counts for the prefill engine.
func (k *Ticket) End(o Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	now := k.t.now()
	l := &k.engine.node.live
	l.localOutput.Add(int64(-k.pendingOutput))
	if k.probe {
		l.probes.Add(-1)
	}
	blamed := k.engine
	if k.prefill != nil {
		k.prefill.record(now, -1, -k.pendingPrompt, -k.pendingPrompt)
		k.engine.record(now, -1, 0, -k.recordedKV)
		blamed = k.prefill
	} else {
		k.engine.record(now, -1, -k.pendingPrompt, -k.recordedKV)
	}
	blamed.recordOutcome(o, k.began, now)
	if o == OutcomeOK {
		k.engine.learnCompletion(k, now)
	}
}
