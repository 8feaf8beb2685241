package enginemodel

import (
	"math"
	"time"
)

// Answers sums up the long answers that callers asked for. Those of several processes add
// up.
type ResponseStats struct {
	// Count is their number, Tokens and Squares the sums of the tokens expected and of
	// their squares, Left that of the milliseconds that callers gave them.
	Count, Tokens, Squares, Left float64
}

func (a ResponseStats) plus(o ResponseStats) ResponseStats {
	return ResponseStats{Count: a.Count + o.Count, Tokens: a.Tokens + o.Tokens, Squares: a.Squares + o.Squares, Left: a.Left + o.Left}
}

func (a ResponseStats) times(n float64) ResponseStats {
	return ResponseStats{Count: n * a.Count, Tokens: n * a.Tokens, Squares: n * a.Squares, Left: n * a.Left}
}

const (
	// answersMemory is the number of answers over which a process forgets.
	answersMemory = 100
	// longestDeviations is how many standard deviations over the mean the longest
	// answers are: about one in twelve is longer if lengths fall off exponentially.
	longestDeviations = 1.6
)

// LearnAnswer takes a long answer that a caller asks for: its expected length, and the time
// within which it has to be whole.
func (m *Model) LearnLongResponse(tokens int, left time.Duration) {
	n := float64(tokens)
	m.answers = m.answers.times(1 - 1.0/answersMemory).plus(ResponseStats{Count: 1, Tokens: n, Squares: n * n, Left: Millis(left)})
	m.current = nil
}

// longest returns the length that only the longest answers exceed, in tokens; 0 if none was
// asked for.
func (a ResponseStats) longest() float64 {
	if a.Count <= 0 {
		return 0
	}
	mean := a.Tokens / a.Count
	variance := max(0, a.Squares/a.Count-mean*mean)
	return mean + longestDeviations*math.Sqrt(variance)
}

// left returns the mean time that callers give their long answers, in milliseconds.
func (a ResponseStats) left() float64 {
	if a.Count <= 0 {
		return 0
	}
	return a.Left / a.Count
}
