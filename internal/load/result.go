package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the outcome of a request for its caller.
type Outcome string

// The outcomes of a request.
const (
	// Complete is a complete and correct response, which may be late.
	Complete Outcome = "complete"
	// NotRun is a refusal that states that the request did not run, or a request that no
	// instance accepted.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Wrong is a response with a success status that is incomplete, altered or meant for another
	// request.
	Wrong Outcome = "wrong_answer"
)

// Result is the result of one request.
type Result struct {
	Arrival
	Outcome Outcome
	// SendDelay is how late the request was sent; Latency and FirstToken count from the
	// scheduled time.
	SendDelay  time.Duration
	Latency    time.Duration
	FirstToken time.Duration
	Late       bool
	Tokens     int
	// Attempts is how often the caller sent the request, Resumed how often it resumed a broken
	// stream.
	Attempts int
	Resumed  int
	// BrokenAt lists the instances at which its connection broke in flight.
	BrokenAt []string
	Status   int
	Code     string
	Detail   string
	// mayHaveRun is set if the outcome of any attempt was unknown.
	mayHaveRun bool
}

// withinDeadline reports whether the response was complete and before the deadline.
func (r Result) withinDeadline() bool { return r.Outcome == Complete && !r.Late }

// Recorder collects results. Its methods are safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	results []Result
	gaps    *hdrhistogram.Histogram
}

// The range of the histograms in microseconds, and their significant digits.
const (
	histogramMin    = 1
	histogramMax    = 10 * 60 * 1e6
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{gaps: newHistogram()} }

// Add records a result and the gaps between its tokens.
func (r *Recorder) Add(res Result, gaps []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
	for _, g := range gaps {
		record(r.gaps, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), int64(histogramMax)))
}

// Results returns all results so far, in no particular order.
func (r *Recorder) Results() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results
}

// quantile returns a percentile of a histogram in milliseconds.
func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}
