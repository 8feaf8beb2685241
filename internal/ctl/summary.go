package ctl

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
)

// lateCause is the reason why a request missed its objectives.
type lateCause string

// The causes. Refused and failed requests have causes made of their failure reasons.
const (
	causeNone            lateCause = "in time"
	causeAdmittedLate    lateCause = "late: let in as late, nothing could be in time"
	causeEarlierAttempts lateCause = "late: waited or was tried elsewhere first"
	causeSlowPrefill     lateCause = "late: the prompt took longer than expected"
	causeSlowHandoff     lateCause = "late: the engine that took it over was slow to begin"
	causeLongGap         lateCause = "late: a pause between events was too long"
)

// Fractions of the first-event objective, beyond which a delay counts as the cause.
const (
	// longWaitFraction applies to the time that passed before the final attempt.
	longWaitFraction = 0.3
	// longPrefillFraction applies to the time by which the prefill exceeded the
	// expected time to the first event.
	longPrefillFraction = 0.1
)

// Decoded log lines. All times are in milliseconds.
type (
	// endLine is the line "answered" or "failed" that is logged when a request ends.
	endLine struct {
		Request, Rule, Reason string
		Retried               bool    `json:"comeback"`
		First                 float64 `json:"first_ms"`
		Objective             float64 `json:"objective_ms"`
		Gap                   float64 `json:"gap_ms"`
		GapObjective          float64 `json:"gap_objective_ms"`
	}
	// attemptLine is the line "attempt" that is logged for each attempt of a request.
	attemptLine struct {
		Request      string
		Done         bool
		AdmittedLate bool    `json:"behind"`
		Expected     float64 `json:"expected_ms"`
		PrefillTime  float64 `json:"read_ms"`
		First        float64 `json:"first_ms"`
		// ExpectedGap is the longest expected gap between two events.
		ExpectedGap float64 `json:"expected_gap_ms"`
	}
)

func prepareSummary(flags *flag.FlagSet) runner {
	file := flags.String("log", "-", "`file` with the daemons' log lines, several separated by commas; - is standard input")
	return func(s *session, _ []string) error { return s.summary(*file) }
}

// summary prints, by rule, how many requests met their objectives, the causes for the
// others, and the prediction errors.
func (s *session) summary(files string) error {
	lines, err := s.filterLines(files, func(text []byte) (logLine, bool) {
		l, ok := parseLine(text)
		return l, ok && (l.Message == "attempt" || l.Message == "answered" || l.Message == "failed")
	})
	if err != nil {
		return err
	}
	attempts := finalAttempts(lines)
	counts := countCauses(lines, attempts)
	if len(counts) == 0 {
		return &exitError{code: ExitFailed, message: "no line records the end of a request"}
	}
	w := tabwriter.NewWriter(s.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RULE\tREQUESTS\tSHARE\tWHY")
	for _, rule := range slices.Sorted(maps.Keys(counts)) {
		printCauses(w, rule, counts[rule])
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return printPredictionErrors(s.Stdout, collectPredictionErrors(lines, attempts))
}

func printCauses(w *tabwriter.Writer, rule string, counts map[lateCause]int) {
	total := 0
	for _, n := range counts {
		total += n
	}
	causes := slices.SortedFunc(maps.Keys(counts), func(a, b lateCause) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for _, c := range causes {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%s\n", rule, counts[c], float64(counts[c])/float64(total), c)
	}
}

// countCauses counts the ended requests by rule and cause.
func countCauses(lines []logLine, attempts map[string]attemptLine) map[string]map[lateCause]int {
	counts := make(map[string]map[lateCause]int)
	for _, l := range lines {
		var e endLine
		if l.Message == "attempt" || json.Unmarshal(l.raw, &e) != nil || e.Rule == "" {
			continue
		}
		if counts[e.Rule] == nil {
			counts[e.Rule] = make(map[lateCause]int)
		}
		counts[e.Rule][e.cause(attempts[e.Request])]++
	}
	return counts
}

// cause determines why a request missed its objectives; last is its final attempt.
func (e endLine) cause(last attemptLine) lateCause {
	firstEventLate := e.Objective > 0 && e.First > e.Objective
	switch {
	case e.Reason != "" && e.Retried:
		return lateCause("refused again: " + e.Reason)
	case e.Reason != "":
		return lateCause("refused or failed: " + e.Reason)
	case !firstEventLate && (e.GapObjective == 0 || e.Gap <= e.GapObjective):
		return causeNone
	case !firstEventLate:
		return causeLongGap
	case last.AdmittedLate:
		return causeAdmittedLate
	case e.First-last.First > longWaitFraction*e.Objective:
		return causeEarlierAttempts
	case last.PrefillTime > last.Expected+longPrefillFraction*e.Objective:
		return causeSlowPrefill
	default:
		return causeSlowHandoff
	}
}
