package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what a caller got.
type Outcome string

// The outcomes of a request.
const (
	// Complete is a whole, right answer; it may be late.
	Complete Outcome = "complete"
	// NotRun is a refusal that says that the request did not run, or a
	// request that no instance took.
	NotRun Outcome = "not_run"
	// Unknown is an answer, or none, that leaves open whether it ran.
	Unknown Outcome = "unknown"
	// Wrong is an answer given as good that is another, short or doubled.
	Wrong Outcome = "wrong_answer"
)

// Result is one request's end.
type Result struct {
	Arrival
	Outcome Outcome
	// Sent is how late the request went out; Latency and FirstToken count from
	// the time at which it should have.
	SendDelay  time.Duration
	Latency    time.Duration
	FirstToken time.Duration
	Late       bool
	Tokens     int
	// Attempts is how often the caller sent it, Resumed how often it took a
	// broken stream up again.
	Attempts int
	Resumed  int
	// Broken are the instances at which its connection broke in flight.
	BrokenAt []string
	Status   int
	Code     string
	Detail   string
	// key is a protected call's Idempotency-Key; unsure is set if any attempt
	// left open whether it ran.
	unsure bool
}

// inTime is whether the answer was whole and came before the deadline.
func (r Result) inTime() bool { return r.Outcome == Complete && !r.Late }

// Recorder gathers results from many goroutines.
type Recorder struct {
	mu      sync.Mutex
	results []Result
	gaps    *hdrhistogram.Histogram
}

// The range of the histograms, in microseconds, with three digits.
const (
	histogramLeast  = 1
	histogramMost   = 10 * 60 * 1e6
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLeast, histogramMost, histogramDigits)
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{gaps: newHistogram()} }

// Add records a result with the gaps between its tokens.
func (r *Recorder) Add(res Result, gaps []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
	for _, g := range gaps {
		record(r.gaps, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramLeast), int64(histogramMost)))
}

// Results returns all results so far, in no order.
func (r *Recorder) Results() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results
}

// quantile returns a histogram's value in milliseconds.
func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}
