package enginemodel

import (
	"math"
	"time"
)

// ResponseStats summarises the long responses that callers requested. The statistics of
// several processes add up.
type ResponseStats struct {
	// Count is the decayed number of responses, Tokens and Squares the sums of their
	// expected tokens and of the squares of these, Left the sum of the milliseconds until
	// their deadlines.
	Count, Tokens, Squares, Left float64
}

func (s ResponseStats) plus(o ResponseStats) ResponseStats {
	return ResponseStats{Count: s.Count + o.Count, Tokens: s.Tokens + o.Tokens, Squares: s.Squares + o.Squares, Left: s.Left + o.Left}
}

func (s ResponseStats) times(n float64) ResponseStats {
	return ResponseStats{Count: n * s.Count, Tokens: n * s.Tokens, Squares: n * s.Squares, Left: n * s.Left}
}

const (
	// responseMemory is the number of responses over which a process's statistics decay.
	responseMemory = 100
	// longestDeviations is the number of standard deviations above the mean from which a
	// response counts among the longest: about one in twelve is longer if lengths are
	// distributed exponentially.
	longestDeviations = 1.6
)

// LearnLongResponse records a requested long response: its expected length and the time
// until its deadline.
func (m *Model) LearnLongResponse(tokens int, left time.Duration) {
	n := float64(tokens)
	m.responses = m.responses.times(1 - 1.0/responseMemory).plus(ResponseStats{Count: 1, Tokens: n, Squares: n * n, Left: Millis(left)})
	m.current = nil
}

// longTokens returns the length that only the longest responses exceed, in tokens; 0 if
// none was requested.
func (s ResponseStats) longTokens() float64 {
	if s.Count <= 0 {
		return 0
	}
	mean := s.Tokens / s.Count
	variance := max(0, s.Squares/s.Count-mean*mean)
	return mean + longestDeviations*math.Sqrt(variance)
}

// meanTimeLeft returns the mean time that callers allow for long responses, in
// milliseconds.
func (s ResponseStats) meanTimeLeft() float64 {
	if s.Count <= 0 {
		return 0
	}
	return s.Left / s.Count
}
