package capacity

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
)

// Merge puts the lines of several runs together: of each id the middle value.
// From leastRuns on, its interval is where one more run should be, by how far
// the runs are apart, and never less than what they span; the machine is busier
// at one time than at another, which the rounds of one run don't show. With
// fewer runs it reaches as far as any of their intervals.
func Merge(runs [][]Line) []Line {
	byID := map[string][]Line{}
	var ids []string
	for _, run := range runs {
		for _, l := range run {
			if len(byID[l.ID]) == 0 {
				ids = append(ids, l.ID)
			}
			byID[l.ID] = append(byID[l.ID], l)
		}
	}
	var merged []Line
	for _, id := range ids {
		merged = append(merged, mergeLine(byID[id]))
	}
	return merged
}

// leastRuns is the number of runs from which their differences tell something.
const leastRuns = 3

func mergeLine(same []Line) Line {
	slices.SortFunc(same, func(a, b Line) int { return cmp.Compare(a.Value, b.Value) })
	out := same[len(same)/2]
	out.Rounds = 0
	values := make([]float64, len(same))
	for i, l := range same {
		values[i] = l.Value
		out.Rounds += l.Rounds
		out.Low, out.High = min(out.Low, l.Low), max(out.High, l.High)
	}
	if len(same) >= leastRuns {
		next := nextRun(values)
		out.Low, out.High = min(values[0], next.Low), max(values[len(values)-1], next.High)
	}
	return out
}

// Compare prints the slopes and means of a run that lie outside the intervals
// kept, and returns their number and that of all compared.
func Compare(w io.Writer, kept, run []Line) (outside, compared int) {
	known := NewMeasured(kept)
	for _, l := range run {
		k, ok := known[l.ID]
		if !ok || (l.Kind != KindSlope && l.Kind != KindMean) {
			continue
		}
		compared++
		// The file keeps so many digits.
		slack := math.Abs(k.Value) * math.Pow10(1-significant)
		if l.Value >= k.Low-slack && l.Value <= k.High+slack {
			continue
		}
		outside++
		_, _ = fmt.Fprintf(w, "outside: %s is %s, kept is %s [%s, %s]\n", l.ID, short(l.Value), short(k.Value), short(k.Low), short(k.High))
	}
	return outside, compared
}
