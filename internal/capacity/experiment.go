package capacity

import (
	"fmt"
	"math"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Unit is what an experiment's values are counted in.
type Unit string

// The units. Times are of the processor, never of the wall clock: the machine
// may be busy with other work.
const (
	Bytes    Unit = "bytes"
	Nanos    Unit = "ns"
	PerSec   Unit = "per_s"
	NanosSec Unit = "ns_per_s"
	BytesSec Unit = "bytes_per_s"
)

// Method says how the values of an experiment were had.
type Method string

// The methods.
const (
	// MethodHeap is live heap and goroutine stacks, after a collection.
	MethodHeap Method = "heap"
	// MethodCPU is the processor time of the whole process, its collector's
	// share included.
	MethodCPU Method = "cpu"
	// MethodEncoded is the length of what the real codec yields.
	MethodEncoded Method = "encoded"
	// MethodCounted is bytes counted on real TCP connections, HTTP headers
	// and frames included, TCP/IP headers not.
	MethodCounted Method = "counted"
	// MethodProcess is read from /proc of real processes.
	MethodProcess Method = "process"
	// MethodLog is counted by the log's stand-in.
	MethodLog Method = "log"
)

// Experiment measures one cost at several sizes.
type Experiment struct {
	// ID names what is measured, as role.thing.
	ID   string
	Unit Unit
	// Per names what a size counts, in the singular.
	Per    string
	Method Method
	Sizes  []int
	// Measure returns the cost at a size.
	Measure func(size int) (float64, error)
}

// SlopeID is the id of the cost of one more.
func (e Experiment) SlopeID() string { return fmt.Sprintf("%s.%s_per_%s", e.ID, e.Unit, e.Per) }

// BaseID is the id of the cost at size 0.
func (e Experiment) BaseID() string { return fmt.Sprintf("%s.%s_base", e.ID, e.Unit) }

// PointID is the id of the mean cost at a size that was measured.
func (e Experiment) PointID(size int) string {
	return pointID(fmt.Sprintf("%s.%s", e.ID, e.Unit), size)
}

func pointID(id string, size int) string { return fmt.Sprintf("%s@%d", id, size) }

// Run measures every size so many times. One round goes over all sizes before
// the next begins, so that a busy spell of the machine doesn't fall on one size.
func (e Experiment) Run(rounds int) (Samples, error) {
	s := Samples{Sizes: e.Sizes}
	for range rounds {
		values := make([]float64, len(e.Sizes))
		for i, size := range e.Sizes {
			v, err := e.Measure(size)
			if err != nil {
				return s, eris.Wrapf(err, "%s at %d", e.ID, size)
			}
			values[i] = v
		}
		s.Rounds = append(s.Rounds, values)
	}
	return s, nil
}

// Samples are the values of an experiment: one row a round, one column a size.
type Samples struct {
	Sizes  []int
	Rounds [][]float64
}

// Figure is a value with the interval in which another run should find it.
type Figure struct{ Value, Low, High float64 }

// Fit is the straight line through an experiment's values.
type Fit struct {
	Slope, Base Figure
	// R2 is the share of the variance that the line explains.
	R2 float64
	// Points holds the mean at each size, with the least and the most.
	Points []Figure
}

// Fit fits the line through all values by least squares. Values count by the
// inverse of their square, so that it is the relative errors that are small:
// the sizes span three orders of magnitude, and today's matter too. The spread
// of slope and base comes from the lines of the single rounds.
func (s Samples) Fit() Fit {
	var f Fit
	for i := range s.Sizes {
		f.Points = append(f.Points, s.point(i))
	}
	sizes, weights := floats(s.Sizes), f.weights()
	var x, y, w []float64
	slopes := make([]float64, len(s.Rounds))
	bases := make([]float64, len(s.Rounds))
	for i, values := range s.Rounds {
		x = append(x, sizes...)
		y = append(y, values...)
		w = append(w, weights...)
		bases[i], slopes[i] = stat.LinearRegression(sizes, values, weights, false)
	}
	base, slope := stat.LinearRegression(x, y, w, false)
	f.Slope, f.Base = spread(slope, slopes), spread(base, bases)
	f.R2 = stat.RSquared(x, y, w, base, slope)
	return f
}

// weights are alike for all rounds. A mean near 0 gets no more than a
// thousandth of the largest one's.
func (f Fit) weights() []float64 {
	largest := 0.0
	for _, p := range f.Points {
		largest = max(largest, math.Abs(p.Value))
	}
	w := make([]float64, len(f.Points))
	for i, p := range f.Points {
		v := max(math.Abs(p.Value), largest/1000, 1e-9)
		w[i] = 1 / (v * v)
	}
	return w
}

func (s Samples) point(i int) Figure {
	values := make([]float64, len(s.Rounds))
	for r, row := range s.Rounds {
		values[r] = row[i]
	}
	return Figure{Value: stat.Mean(values, nil), Low: slices.Min(values), High: slices.Max(values)}
}

// mean is the mean at the only size, with its interval.
func (s Samples) mean() Figure {
	values := make([]float64, len(s.Rounds))
	for r, row := range s.Rounds {
		values[r] = row[0]
	}
	return spread(stat.Mean(values, nil), values)
}

func floats(sizes []int) []float64 {
	out := make([]float64, len(sizes))
	for i, n := range sizes {
		out[i] = float64(n)
	}
	return out
}

// confidence is the chance that another run of as many rounds falls into the
// interval, as far as rounds vary like runs.
const confidence = 0.95

// spread is the interval for the mean of another run of as many rounds: both
// means vary, so it is wider than the interval for the true value.
func spread(value float64, rounds []float64) Figure {
	n := float64(len(rounds))
	if n < 2 {
		return Figure{Value: value, Low: value, High: value}
	}
	half := quantile(n) * stat.StdDev(rounds, nil) * math.Sqrt(2/n)
	return Figure{Value: value, Low: value - half, High: value + half}
}

// nextRun is the interval for the value of one more run.
func nextRun(runs []float64) Figure {
	n := float64(len(runs))
	mean := stat.Mean(runs, nil)
	half := quantile(n) * stat.StdDev(runs, nil) * math.Sqrt(1+1/n)
	return Figure{Value: mean, Low: mean - half, High: mean + half}
}

// quantile is how many standard deviations of n values make up half of an
// interval.
func quantile(n float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile((1 + confidence) / 2)
}
