package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// predictionErrors holds the relative errors of the predictions for a rule's requests:
// the absolute error divided by the predicted value.
type predictionErrors struct {
	firstEvent, gap []float64
}

// collectPredictionErrors compares, by rule, the predicted with the measured times of
// answered streams.
func collectPredictionErrors(lines []logLine, attempts map[string]attemptLine) map[string]*predictionErrors {
	byRule := make(map[string]*predictionErrors)
	for _, l := range lines {
		var e endLine
		if l.Message != "answered" || json.Unmarshal(l.raw, &e) != nil {
			continue
		}
		a, ok := attempts[e.Request]
		if !ok || e.Rule == "" || a.Expected <= 0 || a.First <= 0 {
			continue
		}
		predictions := byRule[e.Rule]
		if predictions == nil {
			predictions = &predictionErrors{}
			byRule[e.Rule] = predictions
		}
		predictions.firstEvent = append(predictions.firstEvent, math.Abs(a.First-a.Expected)/a.Expected)
		if a.ExpectedGap > 0 && e.Gap > 0 {
			predictions.gap = append(predictions.gap, math.Abs(e.Gap-a.ExpectedGap)/a.ExpectedGap)
		}
	}
	return byRule
}

// finalAttempts returns, by request ID, the attempt that completed the request.
func finalAttempts(lines []logLine) map[string]attemptLine {
	attempts := make(map[string]attemptLine)
	for _, l := range lines {
		var a attemptLine
		if l.Message == "attempt" && json.Unmarshal(l.raw, &a) == nil && a.Done {
			attempts[a.Request] = a
		}
	}
	return attempts
}

func printPredictionErrors(out io.Writer, byRule map[string]*predictionErrors) error {
	if len(byRule) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nRULE\tANSWERS\tFIRST EVENT OFF BY (P50, P90)\tPAUSE OFF BY (P50, P90)")
	for _, rule := range slices.Sorted(maps.Keys(byRule)) {
		predictions := byRule[rule]
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", rule, len(predictions.firstEvent), quantiles(predictions.firstEvent), quantiles(predictions.gap))
	}
	return w.Flush()
}

// quantiles formats the median and the 90th percentile.
func quantiles(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	at := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, values, nil) }
	return fmt.Sprintf("%.2f, %.2f", at(0.5), at(0.9))
}
