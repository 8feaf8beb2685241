package placement

import (
	"time"

	"tamarackchute/enginemodel"
)

// Work is what an attempt asks of an upstream.
type Work struct {
	// Read is what it has to read of the prompt, nothing if another engine does.
	Prefill enginemodel.Prompt
	// Fetched are the tokens whose KV cache it fetches from another engine.
	TransferredTokens int
	// Parts are the prompt's.
	Parts []Part
	// Held is the KV memory that the request takes there, in tokens.
	ReservedKVTokens int
	// Output is the expected number of tokens generated there, 0 if none.
	OutputTokens int
	// Long says that it generates for long.
	LongStream bool
	// Left is the time within which the whole answer must be there; 0 is none.
	TimeLeft time.Duration
	// Behind says that its answer will be late.
	Late bool
}

// Ticket is one attempt at one upstream.
type Ticket struct {
	books *Tracker
	entry *entry
	work  Work
	began time.Time
	// reading is the time that the prompt is expected to take, ahead that of those
	// before it, both in milliseconds.
	reading, ahead float64
	// alone says that no prompt waited there before it.
	alone bool
	// handedAt is when the request went to this engine with another one's KV cache,
	// before the reading that waited there then, in milliseconds.
	handedAt time.Time
	before   float64
	// informed says that what the engine keeps was known when the prompt was sent, kept
	// that the prompt's shared parts were among it.
	informed, kept bool
	trial          bool
	read           bool
	ended          bool
}

// Begin books an attempt at an upstream.
func (b *Tracker) Begin(id string, w Work) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.upstreams[id]
	if e == nil {
		e = b.newEntry(Member{ID: id}) // it left just now; its books go nowhere
	}
	t := &Ticket{books: b, entry: e, work: w, began: b.now(), informed: e.listed}
	b.touch(e)
	e.own.Running++
	e.own.ReservedKVTokens += w.ReservedKVTokens
	if w.LongStream {
		e.own.LongStreams++
		t.learnAnswer()
	}
	if e.model != nil {
		t.bookReading()
	}
	if e.health.trial {
		t.trial = true
		e.trials++
	}
	return t
}

// learnAnswer notes what a long answer asks of the engines. Those of callers that come back
// with what is left of their time say nothing of the next ones.
func (t *Ticket) learnAnswer() {
	if t.entry.model != nil && t.work.TimeLeft > 0 && !t.work.Late {
		t.entry.model.LearnLongResponse(t.work.OutputTokens, t.work.TimeLeft)
	}
}

func (t *Ticket) bookReading() {
	e := t.entry
	t.reading = e.model.Parameters().PrefillMillis(e.Role, t.work.Prefill)
	e.own.TransferredTokens += uint32(t.work.TransferredTokens)
	e.addMove(t.began, float64(t.work.TransferredTokens)*e.TransferMillisPerToken)
	if t.work.Prefill.Tokens == 0 {
		return
	}
	t.ahead = e.queue.left(t.began)
	t.alone = e.unread() == 0
	if t.work.TransferredTokens > 0 {
		t.ahead = max(t.ahead, e.link.left(t.began))
	}
	e.own.PrefillSent += t.micros()
	if t.work.Late {
		e.own.LatePrefills++
	}
	e.addReading(t.began, t.reading)
	t.tell(PrefillStarted)
}

func (t *Ticket) micros() uint32 { return uint32(t.reading * microsPerMilli) }

// tell notes what became of the prompt, here and for the peers. That parts are being
// read which the engine keeps already is no news: most prompts are like that.
func (t *Ticket) tell(s PrefillState) {
	shared := sharedParts(t.work.Parts)
	if len(shared) == 0 {
		return
	}
	last := shared[len(shared)-1]
	if s == PrefillStarted {
		t.kept = t.entry.cache.parts.Contains(last.ID)
	}
	if t.kept && s != PrefillFinished {
		return
	}
	last.Tokens = sumTokens(shared)
	r := PrefillEvent{Engine: t.entry.key(), State: s, LastShared: last, UnsharedTokens: t.work.Parts[len(shared)].Tokens}
	t.books.reads = append(t.books.reads, r)
	switch s {
	case PrefillStarted:
		t.entry.cache.begin(last.ID, t.books.now())
	default:
		t.entry.cache.end(last.ID)
	}
}

// PromptRead notes that the engine has the prompt in its memory: it has read it,
// or fetched it.
func (t *Ticket) PrefillDone() {
	t.books.mu.Lock()
	defer t.books.mu.Unlock()
	e := t.entry
	if t.read || e.cache == nil {
		return
	}
	t.read = true
	t.readingOver()
	e.cache.read(t.work.Parts)
	t.tell(PrefillFinished)
	if t.work.Prefill.Tokens > 0 && t.informed {
		t.learnReading()
	}
}

// readingOver takes the reading off what waits at the engine.
func (t *Ticket) readingOver() {
	t.books.touch(t.entry)
	t.entry.own.PrefillDone += t.micros()
	if t.work.Late && t.work.Prefill.Tokens > 0 {
		t.entry.own.LatePrefills--
	}
}

// slownessStep is the weight of one reading in an engine's slowness, mostSlowness
// bounds what a single one may say.
const (
	slownessStep = 0.1
	mostSlowness = 8.0
)

// learnReading compares a reading with what was expected of it.
func (t *Ticket) learnReading() {
	e, now := t.entry, t.books.now()
	took := enginemodel.Millis(now.Sub(t.began))
	start := e.model.Parameters().StartMillis(e.Role)
	late := took - start - t.ahead - t.reading*e.slowness
	if alone := took - start - t.ahead; t.reading > t.ahead && alone > 0 {
		sample := min(mostSlowness, max(1/mostSlowness, alone/t.reading))
		e.slowness += slownessStep * (sample - e.slowness)
	}
	e.model.LearnPrefill(enginemodel.PrefillSample{
		Role: e.Role, Prompt: t.work.Prefill, Took: now.Sub(t.began), QueueTime: millis(t.ahead), QueueEmpty: t.alone,
	})
	// A reading that ended later than expected has kept those behind it too.
	e.queue.add(now, latenessStep*late)
}

// HandedOver notes that the request goes to this engine with the KV cache that
// another one has made.
func (t *Ticket) HandoffStarted() {
	t.books.mu.Lock()
	defer t.books.mu.Unlock()
	t.handedAt = t.books.now()
	t.before = t.entry.queue.left(t.handedAt)
}

// TakenOver notes the first event of a request that was handed over.
func (t *Ticket) HandoffDone() {
	t.books.mu.Lock()
	defer t.books.mu.Unlock()
	if t.entry.model != nil && !t.handedAt.IsZero() {
		t.entry.model.LearnHandoff(sumTokens(t.work.Parts), t.before, t.books.now().Sub(t.handedAt))
	}
}

// Paused notes the time between two events of a stream.
func (t *Ticket) RecordGap(d time.Duration) {
	t.books.mu.Lock()
	defer t.books.mu.Unlock()
	e := t.entry
	if e.model == nil {
		return
	}
	// What prompts have added to it says nothing about the streams.
	if e.lately.within(t.books.now(), d) == 0 && e.unread() == 0 {
		others := e.total().Running - 1
		// It is told with the next change of the work there: events are too many.
		e.own.noteEventTime(enginemodel.Millis(d), e.model.Parameters().IntervalMillis(others))
		e.model.LearnInterval(others, d)
	}
}

// Generated notes the time from the first event to the last of a whole stream, and how many
// events it had.
func (t *Ticket) RecordStream(events int, d time.Duration) {
	t.books.mu.Lock()
	defer t.books.mu.Unlock()
	if t.entry.model != nil && t.work.OutputTokens > 0 {
		t.entry.model.LearnStream(t.work.OutputTokens, events, d)
	}
}

// End closes the attempt. Only the first call counts.
func (t *Ticket) End(o Outcome) {
	t.books.mu.Lock()
	defer t.books.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	e := t.entry
	t.books.touch(e)
	if !t.read && t.work.Prefill.Tokens > 0 && e.model != nil {
		t.readingOver()
		t.tell(PrefillAbandoned)
	}
	e.own.Running--
	e.own.ReservedKVTokens -= t.work.ReservedKVTokens
	if t.work.LongStream {
		e.own.LongStreams--
	}
	if t.trial {
		e.trials--
	}
	now := t.books.now()
	if o == Done && e.Role == "" {
		e.latency += latencyStep * (enginemodel.Millis(now.Sub(t.began)) - e.latency)
	}
	e.health.note(o, t.began, now)
	e.noteRefusal(o, now)
}

// latencyStep is the weight of one call in the smoothed time of calls.
const latencyStep = 0.05

// noteRefusal leaves an upstream alone that refuses, or that isn't there any more.
func (e *entry) noteRefusal(o Outcome, now time.Time) {
	switch o {
	case Replaced:
		// This incarnation has ended, or works in another role. Its entry takes
		// seconds to say so.
		e.away = now.Add(replacedFor)
	case Refused:
		// Whatever made it refuse lasts longer than the next request takes.
		e.refusals = min(e.refusals+1, maxRefusals)
		if until := now.Add(refusedFor * time.Duration(e.refusals)); until.After(e.away) {
			e.away = until
		}
	case Done:
		e.refusals = 0
	}
}
