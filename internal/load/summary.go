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

// Summary is the figures of one run. Times are in milliseconds.
type Summary struct {
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// WrongAnswer counts answers that were another's, short or doubled.
	WrongAnswer int `json:"wrong_answer"`
	// CutByPlannedStop counts connections that broke in flight at an instance
	// that nobody killed.
	CutByPlannedStop int `json:"cut_by_planned_stop"`
	Late             int `json:"late"`
	Resumed          int `json:"resumed"`
	Resent           int `json:"resent"`
	// What the stand-ins counted.
	RanTwice    int64 `json:"ran_twice"`
	CutByOrder  int64 `json:"cut_by_order"`
	RoleChanges int64 `json:"role_changes"`
	// NotRunButRan counts keys that ran although every answer to them said
	// that they had not.
	NotRunButRan  int64   `json:"not_run_but_ran"`
	P50           float64 `json:"p50"`
	P99           float64 `json:"p99"`
	FirstTokenP50 float64 `json:"first_token_p50"`
	FirstTokenP95 float64 `json:"first_token_p95"`
	TokenGapP50   float64 `json:"token_gap_p50"`
	TokenGapP95   float64 `json:"token_gap_p95"`
	// Goodput is model answers whole and in time a second, GoodputTokens the
	// prompt and output tokens of these.
	Goodput       float64 `json:"goodput"`
	GoodputTokens float64 `json:"goodput_tokens"`
	// ShortInTime is the share of short requests answered whole and in time.
	ShortInTime float64 `json:"short_in_time"`
	// Phases are the figures of each phase of the mix, by when requests were
	// due; none if it has only one.
	Phases []PhaseStats `json:"phases,omitempty"`
	// SentLateP99 is how late the load tool itself was.
	SentLateP99 float64 `json:"sent_late_p99"`
}

// PhaseFigures are the figures of one phase of a mix.
type PhaseStats struct {
	Name        string  `json:"name"`
	RequestRate float64 `json:"asked"` // model requests a second
	Goodput     float64 `json:"goodput"`
	ShortInTime float64 `json:"short_in_time"`
}

// phases works out the figures by phase.
func phases(m Mix, results []Result) []PhaseStats {
	var out []PhaseStats
	start := time.Duration(0)
	for _, p := range m.Phases {
		f := PhaseStats{Name: p.Name}
		var shorts float64
		for _, res := range results {
			class, _ := m.Class(res.Class)
			if class.Path != "" || res.At < start || res.At >= start+p.Length {
				continue
			}
			f.RequestRate++
			short := class.Name == ClassShort
			if short {
				shorts++
			}
			if !res.inTime() {
				continue
			}
			f.Goodput++
			if short {
				f.ShortInTime++
			}
		}
		f.RequestRate /= p.Length.Seconds()
		f.Goodput /= p.Length.Seconds()
		f.ShortInTime /= max(1, shorts)
		out = append(out, f)
		start += p.Length
	}
	return out
}

// Summarise works out the figures of a run. killed holds the callers'
// addresses of instances that were killed on purpose.
func (r *Recorder) Summarise(m Mix, length time.Duration, killed []string, counted Counters) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{
		Requests: len(r.results), RanTwice: counted.RanTwice,
		CutByOrder: counted.CutByOrder, RoleChanges: counted.RoleChanges,
	}
	all, first, sent := newHistogram(), newHistogram(), newHistogram()
	var shorts, shortInTime int
	var keysMayHaveRun int64
	for _, res := range r.results {
		s.count(res, killed)
		record(sent, res.SendDelay)
		class, _ := m.Class(res.Class)
		if class.Kind == KindProtected && (res.Outcome != NotRun || res.unsure) {
			keysMayHaveRun++
		}
		if res.Outcome == Complete {
			record(all, res.Latency)
		}
		if class.Kind == KindProtected || class.Kind == KindLookup {
			continue
		}
		if res.Tokens > 0 {
			record(first, res.FirstToken)
		}
		if class.Name == ClassShort {
			shorts++
		}
		if res.inTime() {
			s.Goodput++
			s.GoodputTokens += float64(res.Prompt + res.Tokens)
			if class.Name == ClassShort {
				shortInTime++
			}
		}
	}
	s.Goodput /= length.Seconds()
	s.GoodputTokens /= length.Seconds()
	s.NotRunButRan = max(0, counted.Keys-keysMayHaveRun)
	if shorts > 0 {
		s.ShortInTime = float64(shortInTime) / float64(shorts)
	}
	if len(m.Phases) > 1 {
		s.Phases = phases(m, r.results)
	}
	s.quantiles(all, first, sent, r.gaps)
	return s
}

func (s *Summary) quantiles(all, first, sent, gaps *hdrhistogram.Histogram) {
	s.P50, s.P99 = quantile(all, 50), quantile(all, 99)
	s.FirstTokenP50, s.FirstTokenP95 = quantile(first, 50), quantile(first, 95)
	s.TokenGapP50, s.TokenGapP95 = quantile(gaps, 50), quantile(gaps, 95)
	s.SentLateP99 = quantile(sent, 99)
}

func (s *Summary) count(res Result, killed []string) {
	switch res.Outcome {
	case Complete:
		s.Complete++
	case NotRun:
		s.NotRun++
	case Unknown:
		s.Unknown++
	case Wrong:
		s.WrongAnswer++
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
			s.CutByPlannedStop++
		}
	}
}

// WriteResults writes all results to a CSV file, in order of time.
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
