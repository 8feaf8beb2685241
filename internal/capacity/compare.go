package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"
)

// Merge puts the lines of several runs together: of each id the middle value,
// with the least and the most that any run's interval reaches. From three runs
// on it also reaches as far as one more run should be from their mean, by how
// far they are apart: the machine is busier at one time than at another.
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

func mergeLine(same []Line) Line {
	slices.SortFunc(same, func(a, b Line) int {
		if a.Value < b.Value {
			return -1
		}
		return 1
	})
	out := same[len(same)/2]
	out.Rounds = 0
	var values []float64
	for _, l := range same {
		out.Low, out.High = min(out.Low, l.Low), max(out.High, l.High)
		out.Rounds += l.Rounds
		values = append(values, l.Value)
	}
	if len(values) >= leastRuns {
		next := nextRun(values)
		out.Low, out.High = min(out.Low, next.Low), max(out.High, next.High)
	}
	return out
}

// leastRuns is the number of runs from which their differences tell something.
const leastRuns = 3

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
