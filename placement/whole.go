package placement

import (
	"time"

	"tamarackchute/enginemodel"
)

// mostReading bounds the share of an engine's time that reading is taken to have: its streams
// get on a little however much it reads.
const mostReading = 0.75

// pace returns the time between two events of one more stream at an engine that goes on
// reading as much as it lately did, and some more within the same time, in milliseconds.
func pace(e *Engine, read float64) float64 {
	share := min(mostReading, (e.readInWindow+read)/enginemodel.Millis(rememberedFor))
	return e.Model.Interval(e.Running) / (1 - share)
}

// whole returns the expected time to the last event of an answer whose first comes after
// some milliseconds.
func whole(e *Engine, first, read float64, r Request) time.Duration {
	return millis(first + e.Model.Events(r.OutputTokens)*pace(e, read))
}
