package placement

import (
	"time"

	"tamarackchute/enginemodel"
)

const (
	// mostReading bounds the share of an engine's time that reading is taken to have: its
	// streams get on a little however much it reads.
	mostReading = 0.75
	// wholeShare is the share of the caller's time up to which the longest answers count
	// as certainly whole: engines fill up, and read more, after a stream has begun there.
	wholeShare = 0.7
	// overrunShare is what reading counts beside streams whose longest it makes late, in
	// shares of itself: what these have taken of the engine is then lost with them.
	overrunShare = 1.0
)

// pace returns the time between two events of one more stream at an engine that goes on
// reading as much as it lately did, and some more within the same time, in milliseconds.
func pace(e *Engine, read float64) float64 {
	share := min(mostReading, (e.readInWindow+read)/enginemodel.Millis(rememberedFor))
	return e.DecodeSlowdown * e.Model.IntervalMillis(e.Running) / (1 - share)
}

// whole returns the expected time to the last event of an answer whose first comes after
// some milliseconds.
func whole(e *Engine, first float64, r Request) time.Duration {
	return millis(first + e.Model.Events(r.OutputTokens)*pace(e, 0))
}

// overrun returns how far an answer of some events goes beyond what counts as certainly whole
// in the time left at a pace: 0 if it doesn't, 1 where it ends just then, more beyond.
func overrun(events, pace, left float64) float64 {
	if left <= 0 {
		return 0
	}
	return max(0, events*pace/left-wholeShare) / (1 - wholeShare)
}

// longest returns the tokens that the answer to a request may turn out to have: callers'
// guesses are often half of that, and nothing takes a stream that has begun elsewhere.
func (r Request) longest(e *Engine) int {
	longest := max(r.OutputTokens, int(e.Model.LongResponseTokens()))
	if r.MaxOutputTokens > 0 {
		longest = min(longest, r.MaxOutputTokens)
	}
	return longest
}

// wholeCost is the cost of an answer's not being whole in time: a stream that is cut has had
// its share of the engine's time for nothing. It grows on beyond the deadline, so that of
// engines that are all too slow the fastest is taken.
func wholeCost(e *Engine, first float64, r Request) float64 {
	if r.TimeLeft <= 0 || !r.long(e) {
		return 0
	}
	left := enginemodel.Millis(r.TimeLeft)
	events := e.Model.Events(r.longest(e))
	return overrun(events, pace(e, 0), left-first) * left / float64(e.Running+1)
}

// overrunCost is the cost of reading at an engine whose longest streams it makes late.
func overrunCost(e *Engine, read float64) float64 {
	if e.LongStreams == 0 {
		return 0
	}
	events := e.Model.Events(int(e.Model.LongResponseTokens()))
	return overrunShare * read * min(1, overrun(events, pace(e, read), e.Model.LongResponseMillis()))
}

// leastSlowing is how many times as long as alone events may come beside others in any case.
const leastSlowing = 1.25

// longStreams returns how many long streams an engine bears: as many as leave some of its
// slots, and with which the longest answers are still whole in time. Where other streams
// hardly slow an answer down, fewer of them would make none whole: an engine that is too slow
// even for one would otherwise count as taken up by it, and all engines be set apart for
// generating.
func longStreams(e *Engine) float64 {
	slots := float64(LongSlots(e.Slots))
	events := e.Model.Events(int(e.Model.LongResponseTokens()))
	if events <= 0 || e.Model.LongResponseMillis() <= 0 {
		return slots
	}
	interval := max(wholeShare*e.Model.LongResponseMillis()/(events*e.DecodeSlowdown), leastSlowing*e.Model.IntervalMillis(0))
	return min(slots, 1+e.Model.MaxConcurrent(interval))
}

// leastOutput is the share of its expected length that an answer has at least: callers' guesses
// are seldom off by more.
const leastOutput = 0.5

// Shortest returns the least time in which the answer to a request can be whole: on an idle
// engine, should it turn out as short as answers do. It is 0 if too little is known.
func (b *Tracker) MinCompletionTime(pool string, r Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.model(pool).Parameters()
	return millis(leastOutput * f.Events(r.OutputTokens) * f.IntervalMillis(0))
}
