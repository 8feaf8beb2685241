package placement

import (
	"time"

	"tamarackchute/enginemodel"
)

const (
	// maxPrefillShare bounds the assumed share of an engine's time spent on prefill:
	// streams make some progress however much prefill there is.
	maxPrefillShare = 0.75
	// deadlineMargin is the share of the time left up to which the longest responses count
	// as certain to complete: engines get more streams and prefills after a stream has
	// started.
	deadlineMargin = 0.7
	// overrunShare is the cost of prefill concurrent with streams that miss their deadline
	// because of it, as a share of the prefill: the engine time already spent on the
	// streams is lost.
	overrunShare = 1.0
)

// eventInterval returns the expected time between two events of one more stream on an
// engine, in milliseconds, if its recent prefill work plus the given one continues.
func eventInterval(e *Engine, prefill float64) float64 {
	share := min(maxPrefillShare, (e.windowPrefill+prefill)/enginemodel.Millis(recentWindow))
	return e.DecodeSlowdown * e.Model.IntervalMillis(e.Running) / (1 - share)
}

// completionTime returns the expected time to the last event of a response whose first
// event comes after firstToken milliseconds.
func completionTime(e *Engine, firstToken float64, r Request) time.Duration {
	return fromMillis(firstToken + e.Model.Events(r.OutputTokens)*eventInterval(e, 0))
}

// overrun returns how far a response exceeds the safe share of the time left: 0 if it
// doesn't, 1 if it ends at the deadline, more beyond.
func overrun(events, interval, left float64) float64 {
	if left <= 0 {
		return 0
	}
	return max(0, events*interval/left-deadlineMargin) / (1 - deadlineMargin)
}

// longestOutput returns the length that the response may reach: estimates of callers are
// often half of it, and a running stream can't be migrated.
func (r Request) longestOutput(e *Engine) int {
	longest := max(r.OutputTokens, int(e.Model.LongResponseTokens()))
	if r.MaxOutputTokens > 0 {
		longest = min(longest, r.MaxOutputTokens)
	}
	return longest
}

// deadlineCost is the cost of a long response that isn't complete by its deadline: the
// engine time spent on it is wasted. It keeps rising beyond the deadline, so that the
// fastest of several engines that are too slow is chosen.
func deadlineCost(e *Engine, firstToken float64, r Request) float64 {
	if r.TimeLeft <= 0 || !r.longStream(e) {
		return 0
	}
	left := enginemodel.Millis(r.TimeLeft)
	events := e.Model.Events(r.longestOutput(e))
	return overrun(events, eventInterval(e, 0), left-firstToken) * left / float64(e.Running+1)
}

// overrunCost is the cost of a prefill that makes the engine's longest streams miss their
// deadlines.
func overrunCost(e *Engine, prefill float64) float64 {
	if e.LongStreams == 0 {
		return 0
	}
	events := e.Model.Events(int(e.Model.LongResponseTokens()))
	return overrunShare * prefill * min(1, overrun(events, eventInterval(e, prefill), e.Model.LongResponseMillis()))
}

// minSlowdown is the slowdown of events by concurrent streams that is always accepted.
const minSlowdown = 1.25

// longStreamCapacity returns how many long streams an engine can run: they leave some slots
// free, and the longest responses still complete in time. minSlowdown bounds it from below:
// where streams hardly slow each other, an engine too slow even for one stream would count
// as full with it, and all engines would be dedicated to decoding.
func longStreamCapacity(e *Engine) float64 {
	slots := float64(LongSlots(e.Slots))
	events := e.Model.Events(int(e.Model.LongResponseTokens()))
	if events <= 0 || e.Model.LongResponseMillis() <= 0 {
		return slots
	}
	interval := max(deadlineMargin*e.Model.LongResponseMillis()/(events*e.DecodeSlowdown), minSlowdown*e.Model.IntervalMillis(0))
	return min(slots, 1+e.Model.MaxConcurrent(interval))
}

// minOutputShare is the assumed minimum of a response's length relative to its expected
// length; callers' estimates are seldom off by more.
const minOutputShare = 0.5

// MinCompletionTime returns the least time in which the response can complete: on an idle
// engine, with the shortest likely output. It is 0 if too little is known.
func (tr *Tracker) MinCompletionTime(pool string, r Request) time.Duration {
	return time.Duration(minOutputShare * float64(tr.IdleCompletionTime(pool, r)))
}

// IdleCompletionTime returns the time from the first to the last event of a response with the expected
// output on an idle engine. It is 0 if too little is known.
func (tr *Tracker) IdleCompletionTime(pool string, r Request) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	model := tr.model(pool).Parameters()
	return fromMillis(model.Events(r.OutputTokens) * model.IntervalMillis(0))
}
