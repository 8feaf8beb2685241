package load

import (
	"encoding/csv"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// Summary holds the results of one run. Times are in milliseconds.
type Summary struct {
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// WrongResponse counts responses with the outcome Wrong.
	WrongResponse int `json:"wrong_answer"`
	// InterruptedByPlannedStop counts connections that broke in flight at instances that were not
	// killed.
	InterruptedByPlannedStop int `json:"cut_by_planned_stop"`
	Late                     int `json:"late"`
	Resumed                  int `json:"resumed"`
	Resent                   int `json:"resent"`
	// RanTwice, InterruptedByOrder and RoleChanges are stand-in counters.
	RanTwice           int64 `json:"ran_twice"`
	InterruptedByOrder int64 `json:"cut_by_order"`
	RoleChanges        int64 `json:"role_changes"`
	// NotRunButRan counts keys that ran although every answer said that they had not.
	NotRunButRan  int64   `json:"not_run_but_ran"`
	P50           float64 `json:"p50"`
	P99           float64 `json:"p99"`
	FirstTokenP50 float64 `json:"first_token_p50"`
	FirstTokenP95 float64 `json:"first_token_p95"`
	TokenGapP50   float64 `json:"token_gap_p50"`
	TokenGapP95   float64 `json:"token_gap_p95"`
	// Goodput is complete model responses within the deadline per second, GoodputTokens their
	// prompt and output tokens per second.
	Goodput       float64 `json:"goodput"`
	GoodputTokens float64 `json:"goodput_tokens"`
	// ShortWithinDeadline is the share of short requests with a complete response within the deadline.
	ShortWithinDeadline float64 `json:"short_in_time"`
	// Phases summarises each phase of the mix by the times at which requests were due; empty for
	// a single phase.
	Phases []PhaseStats `json:"phases,omitempty"`
	// SentLateP99 is the delay of the load generator itself.
	SentLateP99 float64 `json:"sent_late_p99"`
}

// PhaseStats holds the results of one phase of a mix.
type PhaseStats struct {
	Name                string  `json:"name"`
	RequestRate         float64 `json:"asked"` // model requests per second
	Goodput             float64 `json:"goodput"`
	ShortWithinDeadline float64 `json:"short_in_time"`
}

// phaseStats computes the results by phase.
func phaseStats(m Mix, results []Result) []PhaseStats {
	var out []PhaseStats
	start := time.Duration(0)
	for _, p := range m.Phases {
		stats := PhaseStats{Name: p.Name}
		var shortRequests float64
		for _, res := range results {
			class, _ := m.Class(res.Class)
			if class.Path != "" || res.At < start || res.At >= start+p.Length {
				continue
			}
			stats.RequestRate++
			short := class.Name == ClassShort
			if short {
				shortRequests++
			}
			if !res.withinDeadline() {
				continue
			}
			stats.Goodput++
			if short {
				stats.ShortWithinDeadline++
			}
		}
		stats.RequestRate /= p.Length.Seconds()
		stats.Goodput /= p.Length.Seconds()
		stats.ShortWithinDeadline /= max(1, shortRequests)
		out = append(out, stats)
		start += p.Length
	}
	return out
}

// Summarise computes the results of a run. killed holds the callers' addresses of the instances
// that were killed on purpose.
func (r *Recorder) Summarise(m Mix, length time.Duration, killed []string, counters Counters) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{
		Requests: len(r.results), RanTwice: counters.RanTwice,
		InterruptedByOrder: counters.InterruptedByOrder, RoleChanges: counters.RoleChanges,
	}
	latency, firstToken, sendDelay := newHistogram(), newHistogram(), newHistogram()
	var shortRequests, shortWithinDeadline int
	var keysMayHaveRun int64
	for _, res := range r.results {
		s.addOutcome(res, killed)
		record(sendDelay, res.SendDelay)
		class, _ := m.Class(res.Class)
		if class.Kind == KindProtected && (res.Outcome != NotRun || res.mayHaveRun) {
			keysMayHaveRun++
		}
		if res.Outcome == Complete {
			record(latency, res.Latency)
		}
		if class.Kind == KindProtected || class.Kind == KindLookup {
			continue
		}
		if res.Tokens > 0 {
			record(firstToken, res.FirstToken)
		}
		if class.Name == ClassShort {
			shortRequests++
		}
		if res.withinDeadline() {
			s.Goodput++
			s.GoodputTokens += float64(res.Prompt + res.Tokens)
			if class.Name == ClassShort {
				shortWithinDeadline++
			}
		}
	}
	s.Goodput /= length.Seconds()
	s.GoodputTokens /= length.Seconds()
	s.NotRunButRan = max(0, counters.Keys-keysMayHaveRun)
	if shortRequests > 0 {
		s.ShortWithinDeadline = float64(shortWithinDeadline) / float64(shortRequests)
	}
	if len(m.Phases) > 1 {
		s.Phases = phaseStats(m, r.results)
	}
	s.quantiles(latency, firstToken, sendDelay, r.gaps)
	return s
}

func (s *Summary) quantiles(latency, firstToken, sendDelay, gaps *hdrhistogram.Histogram) {
	s.P50, s.P99 = quantile(latency, 50), quantile(latency, 99)
	s.FirstTokenP50, s.FirstTokenP95 = quantile(firstToken, 50), quantile(firstToken, 95)
	s.TokenGapP50, s.TokenGapP95 = quantile(gaps, 50), quantile(gaps, 95)
	s.SentLateP99 = quantile(sendDelay, 99)
}

func (s *Summary) addOutcome(res Result, killed []string) {
	switch res.Outcome {
	case Complete:
		s.Complete++
	case NotRun:
		s.NotRun++
	case Unknown:
		s.Unknown++
	case Wrong:
		s.WrongResponse++
	}
	if res.Late && res.Outcome == Complete {
		s.Late++
	}
	if res.Attempts > 1 {
		s.Resent++
	}
	s.Resumed += res.Resumed
	for _, addr := range res.BrokenAt {
		if !slices.Contains(killed, addr) {
			s.InterruptedByPlannedStop++
		}
	}
}

// WriteResults writes all results to a CSV file in chronological order.
func (r *Recorder) WriteResults(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortFunc(r.results, func(a, b Result) int { return int(a.At - b.At) })
	return writeCSV(path, []string{"at_ms", "class", "caller", "prompt", "output", "streamed", "outcome",
		"late", "latency_ms", "first_token_ms", "sent_late_ms", "tokens", "attempts", "resumed", "broken",
		"status", "code", "detail"},
		len(r.results), func(i int) []string { return r.results[i].row() })
}

func (r Result) row() []string {
	return []string{millis(r.At), r.Class, strconv.Itoa(r.Caller), strconv.Itoa(r.Prompt),
		strconv.Itoa(r.Output), strconv.FormatBool(r.Streamed), string(r.Outcome),
		strconv.FormatBool(r.Late), millis(r.Latency), millis(r.FirstToken), millis(r.SendDelay),
		strconv.Itoa(r.Tokens), strconv.Itoa(r.Attempts), strconv.Itoa(r.Resumed),
		strings.Join(r.BrokenAt, " "), strconv.Itoa(r.Status), r.Code, r.Detail}
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond))
}

func writeCSV(path string, header []string, rows int, row func(int) []string) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "results")
	}
	defer func() { _ = f.Close() }()
	w := csv.NewWriter(f)
	_ = w.Write(header)
	for i := range rows {
		_ = w.Write(row(i))
	}
	w.Flush()
	return eris.Wrap(w.Error(), "results")
}
