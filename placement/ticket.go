package placement

import (
	"time"

	"tamarackchute/enginemodel"
)

// Work is what an attempt asks of an upstream.
type Work struct {
	// Prefill is what the upstream has to prefill; empty if another engine does.
	Prefill enginemodel.Prompt
	// TransferredTokens is the number of tokens whose KV cache is transferred from another
	// engine.
	TransferredTokens int
	// Parts are the parts of the prompt.
	Parts []Part
	// ReservedKVTokens is the KV memory that the request takes, in tokens.
	ReservedKVTokens int
	// OutputTokens is the expected number of tokens decoded; 0 if none.
	OutputTokens int
	// LongStream is set if the response counts as a long stream.
	LongStream bool
	// TimeLeft is the time within which the response must be complete; 0 means no deadline.
	TimeLeft time.Duration
	// Late is set if the response will miss its objective.
	Late bool
}

// Ticket tracks one attempt at one upstream. A nil Ticket tracks nothing.
type Ticket struct {
	tracker *Tracker
	tracked *trackedUpstream
	work    Work
	began   time.Time
	// prefillMillis is the expected duration of the prefill, queueMillis that of the work
	// queued before it.
	prefillMillis, queueMillis float64
	// queueEmpty is set if no prefill was pending when this one was sent.
	queueEmpty bool
	// handoffAt is when the request went to this engine with another engine's KV cache,
	// handoffQueue the prefill work queued there at that time, in milliseconds.
	handoffAt    time.Time
	handoffQueue float64
	// cacheKnown is set if the engine's cache contents were known when the prompt was sent,
	// wasCached if they included the prompt's shared parts.
	cacheKnown, wasCached bool
	probe, lastResort     bool
	prefilled             bool
	ended                 bool
}

// Begin records an attempt at an upstream.
func (tr *Tracker) Begin(id string, w Work) *Ticket {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.byID[id]
	if e == nil {
		e = tr.newTracked(Member{ID: id}) // the upstream has just gone; its state is not kept
	}
	t := &Ticket{tracker: tr, tracked: e, work: w, began: tr.now(), cacheKnown: e.cacheKnown}
	tr.markDirty(e)
	e.local.Running++
	e.local.ReservedKVTokens += w.ReservedKVTokens
	if w.LongStream {
		e.local.LongStreams++
		t.learnLongResponse()
	}
	if e.model != nil {
		t.reservePrefill()
	}
	t.lastResort = e.lastResort(t.began)
	if e.health.probing {
		t.probe = true
		e.probes++
	}
	return t
}

// LastResort reports whether the upstream was ejected when the attempt began, or was being probed.
func (t *Ticket) LastResort() bool { return t != nil && t.lastResort }

// learnLongResponse records the expected length and time limit of a long response. Those of
// late requests are skipped: the time left after a caller retry says nothing about future
// requests.
func (t *Ticket) learnLongResponse() {
	if t.tracked.model != nil && t.work.TimeLeft > 0 && !t.work.Late {
		t.tracked.model.LearnLongResponse(t.work.OutputTokens, t.work.TimeLeft)
	}
}

func (t *Ticket) reservePrefill() {
	e := t.tracked
	t.prefillMillis = e.model.Parameters().PrefillMillis(e.Role, t.work.Prefill)
	e.local.TransferredTokens += uint32(t.work.TransferredTokens)
	e.addTransfer(t.began, float64(t.work.TransferredTokens)*e.TransferMillisPerToken)
	if t.work.Prefill.Tokens == 0 {
		return
	}
	t.queueMillis = e.prefillQueue.remaining(t.began)
	t.queueEmpty = e.pendingPrefill() == 0
	if t.work.TransferredTokens > 0 {
		t.queueMillis = max(t.queueMillis, e.linkQueue.remaining(t.began))
	}
	e.local.PrefillSent += t.micros()
	if t.work.Late {
		e.local.LatePrefills++
	}
	e.addPrefill(t.began, t.prefillMillis)
	t.reportPrefill(PrefillStarted)
}

func (t *Ticket) micros() uint32 { return uint32(t.prefillMillis * microsPerMilli) }

// reportPrefill applies a prefill event to the cache estimate and queues it for the peers.
// For parts that were cached already only the end is reported, to limit the traffic: most
// prompts are like that.
func (t *Ticket) reportPrefill(state PrefillState) {
	shared := sharedParts(t.work.Parts)
	if len(shared) == 0 {
		return
	}
	last := shared[len(shared)-1]
	if state == PrefillStarted {
		t.wasCached = t.tracked.cache.parts.Contains(last.ID)
	}
	if t.wasCached && state != PrefillFinished {
		return
	}
	last.Tokens = sumTokens(shared)
	event := PrefillEvent{Engine: t.tracked.key(), State: state, LastShared: last, UnsharedTokens: t.work.Parts[len(shared)].Tokens}
	t.tracker.prefillEvents = append(t.tracker.prefillEvents, event)
	switch state {
	case PrefillStarted:
		t.tracked.cache.startPrefill(last.ID, t.tracker.now())
	default:
		t.tracked.cache.endPrefill(last.ID)
	}
}

// PrefillDone records that the engine has the prompt in its memory, by prefill or by KV
// transfer. It reports whether that has ended an ejection of the engine for its silence.
func (t *Ticket) PrefillDone() (readmitted bool) {
	if t == nil {
		return false
	}
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	e := t.tracked
	readmitted = t.tracker.recordHeard(e)
	if t.prefilled || e.cache == nil {
		return readmitted
	}
	t.prefilled = true
	e.health.answered(t.began)
	t.releasePrefill()
	e.cache.recordPrefill(t.work.Parts)
	t.reportPrefill(PrefillFinished)
	if t.work.Prefill.Tokens > 0 && t.cacheKnown {
		t.learnPrefill()
	}
	return readmitted
}

// releasePrefill removes the prefill from the engine's pending work.
func (t *Ticket) releasePrefill() {
	t.tracker.markDirty(t.tracked)
	t.tracked.local.PrefillDone += t.micros()
	if t.work.Late && t.work.Prefill.Tokens > 0 {
		t.tracked.local.LatePrefills--
	}
}

// slowdownStep is the weight of one prefill in the engine's slowdown; maxSlowdownSample
// bounds a single observation.
const (
	slowdownStep      = 0.1
	maxSlowdownSample = 8.0
)

// learnPrefill compares the duration of a prefill with the prediction.
func (t *Ticket) learnPrefill() {
	e, now := t.tracked, t.tracker.now()
	took := enginemodel.Millis(now.Sub(t.began))
	start := e.model.Parameters().StartMillis(e.Role)
	delay := took - start - t.queueMillis - t.prefillMillis*e.prefillSlowdown
	if net := took - start - t.queueMillis; t.prefillMillis > t.queueMillis && net > 0 {
		sample := min(maxSlowdownSample, max(1/maxSlowdownSample, net/t.prefillMillis))
		e.prefillSlowdown += slowdownStep * (sample - e.prefillSlowdown)
	}
	e.model.LearnPrefill(enginemodel.PrefillSample{
		Role: e.Role, Prompt: t.work.Prefill, Took: now.Sub(t.began), QueueTime: fromMillis(t.queueMillis), QueueEmpty: t.queueEmpty,
	})
	// A prefill that ended later than expected delays those queued after it too.
	e.prefillQueue.add(now, queueCorrection*delay)
}

// HandoffStarted records that the request goes to this engine with the KV cache computed by
// another.
func (t *Ticket) HandoffStarted() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.handoffAt = t.tracker.now()
	t.handoffQueue = t.tracked.prefillQueue.remaining(t.handoffAt)
}

// HandoffDone records the first event of a request that was handed over.
func (t *Ticket) HandoffDone() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if t.tracked.model != nil && !t.handoffAt.IsZero() {
		t.tracked.model.LearnHandoff(sumTokens(t.work.Parts), t.handoffQueue, t.tracker.now().Sub(t.handoffAt))
	}
}

// RecordGap records the time between two events of a stream. It reports whether the event has ended an
// ejection of the upstream for its silence.
func (t *Ticket) RecordGap(d time.Duration) (readmitted bool) {
	if t == nil {
		return false
	}
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	e := t.tracked
	readmitted = t.tracker.recordHeard(e)
	if e.model == nil {
		return readmitted
	}
	// Gaps during prefills say nothing about decode speed.
	if e.recentPrefill.within(t.tracker.now(), d) == 0 && e.pendingPrefill() == 0 {
		others := e.total().Running - 1
		// Reported with the next change of the load: there are too many events to report
		// each.
		e.local.recordEventTime(enginemodel.Millis(d), e.model.Parameters().IntervalMillis(others))
		e.model.LearnInterval(others, d)
	}
	return readmitted
}

// RecordStream records the time from the first event to the last of a complete stream, and
// its number of events.
func (t *Ticket) RecordStream(events int, d time.Duration) {
	if t == nil {
		return
	}
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if t.tracked.model != nil && t.work.OutputTokens > 0 {
		t.tracked.model.LearnStream(t.work.OutputTokens, events, d)
	}
}

// End closes the attempt, and returns what that changed in the upstream's health. Only the first
// call counts.
func (t *Ticket) End(o Outcome) HealthChange {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if t.ended {
		return HealthUnchanged
	}
	t.ended = true
	e := t.tracked
	t.tracker.markDirty(e)
	if !t.prefilled && t.work.Prefill.Tokens > 0 && e.model != nil {
		t.releasePrefill()
		t.reportPrefill(PrefillAbandoned)
	}
	e.local.Running--
	e.local.ReservedKVTokens -= t.work.ReservedKVTokens
	if t.work.LongStream {
		e.local.LongStreams--
	}
	if t.probe {
		e.probes--
	}
	now := t.tracker.now()
	if o == Done && e.Role == "" {
		e.latency += latencyStep * (enginemodel.Millis(now.Sub(t.began)) - e.latency)
	}
	readmitted := o.answered() && t.tracker.recordHeard(e)
	change := e.health.record(o, t.began, now)
	if readmitted && change == HealthUnchanged {
		change = HealthReadmitted
	}
	e.recordRefusal(o, now)
	return change
}

// latencyStep is the weight of one call in the smoothed latency.
const latencyStep = 0.05

// recordRefusal excludes an upstream for a while that refuses, or whose address another one
// has taken over.
func (e *trackedUpstream) recordRefusal(o Outcome, now time.Time) {
	switch o {
	case Replaced:
		// This incarnation has ended, or has another role. It takes seconds until the
		// upstream's entry shows it.
		e.unavailableUntil = now.Add(replacedCooldown)
	case Refused:
		// The reason for a refusal usually outlasts the next request.
		e.refusals = min(e.refusals+1, maxRefusals)
		if until := now.Add(refusalCooldown * time.Duration(e.refusals)); until.After(e.unavailableUntil) {
			e.unavailableUntil = until
		}
	case Done:
		e.refusals = 0
	}
}
