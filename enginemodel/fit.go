package enginemodel

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

const (
	// fitMemory is the number of observations over which a fit decays. It can be long, as
	// engines of a pool are alike and a changed engine has a slowdown factor of its own.
	fitMemory = 300.0
	// priorWeight is the weight of the prior in observations. The first observation
	// outweighs it by far.
	priorWeight = 0.02
	// minOutlierCount is the number of observations from which on an outlier is clamped to
	// outlierRatio times the prediction, or to the prediction divided by it.
	minOutlierCount = 8
	outlierRatio    = 3.0
	// An observation counts less the farther it is from the prediction: half at a log ratio
	// of trustScale, times aboveWeight if it took longer, as lost packets, stalls and
	// unknown queues are more frequent than cache hits. Otherwise a model trained under
	// load, as after a full restart, stays several times too slow for ten seconds.
	aboveWeight = 0.5
	trustScale  = 0.5
	// minTime is the least prediction, in milliseconds, by which errors are divided.
	minTime = 1.0
)

// Stats are the weighted normal equations of a linear fit: Normal is their matrix by rows,
// Right their right side, for coefficients in units of their priors. The statistics of
// several processes add up, so that each process uses the observations of all.
type Stats struct {
	Normal, Right []float64
	// Count is the number of observations.
	Count int
}

func newStats(n int) Stats {
	return Stats{Normal: make([]float64, n*n), Right: make([]float64, n)}
}

// fit is a linear model of a time in milliseconds: a sum of features times coefficients
// that are not negative. It minimises the squared relative error, with older observations
// decayed.
type fit struct {
	prior  []coefficient
	coef   []float64
	local  Stats
	others map[string]Stats
	// othersSum is the sum of others.
	othersSum Stats
	// stale is set if coef doesn't include the last observation.
	stale bool
}

// coefficient is the prior of one of a fit's coefficients.
type coefficient struct {
	// assumed is the value without observations, unit the scale of its changes: of two
	// coefficients that explain an observation equally well, the one with the larger unit
	// changes more.
	assumed, unit float64
}

func (c coefficient) times(n float64) coefficient {
	return coefficient{assumed: n * c.assumed, unit: n * c.unit}
}

func newFit(prior ...coefficient) *fit {
	f := &fit{
		prior: prior, coef: make([]float64, len(prior)),
		local: newStats(len(prior)), others: make(map[string]Stats), othersSum: newStats(len(prior)),
	}
	for i, c := range prior {
		f.coef[i] = c.assumed
	}
	return f
}

// refresh recomputes the coefficients if there are new observations.
func (f *fit) refresh() {
	if f.stale {
		f.stale = false
		f.solve()
	}
}

// predict returns the predicted time for the given features.
func (f *fit) predict(features ...float64) float64 {
	f.refresh()
	sum := 0.0
	for i, c := range f.coef {
		sum += c * features[i]
	}
	return sum
}

// count returns the number of observations of all processes.
func (f *fit) count() int { return f.local.Count + f.othersSum.Count }

// learn adds an observed time. weight is its relative weight, 1 for a reliable observation.
func (f *fit) learn(took, weight float64, features ...float64) {
	expected := max(minTime, f.predict(features...))
	if f.count() >= minOutlierCount {
		took = min(max(took, expected/outlierRatio), outlierRatio*expected)
	}
	if f.count() > 0 {
		weight *= trust(took / expected)
	}
	f.local.Count++
	// Divided by the prediction alone, the first observations, whose predictions are far
	// too short, would outweigh all later ones.
	unit := max(expected, took)
	n := len(f.prior)
	row := make([]float64, n)
	for i := range row {
		row[i] = f.prior[i].unit * features[i] / unit
	}
	const keep = 1 - 1/fitMemory
	for i := range n {
		for j := range n {
			f.local.Normal[i*n+j] = keep*f.local.Normal[i*n+j] + weight*row[i]*row[j]
		}
		f.local.Right[i] = keep*f.local.Right[i] + weight*row[i]*took/unit
	}
	f.stale = true
}

// trust is the weight of an observation by its ratio to the prediction.
func trust(ratio float64) float64 {
	deviation := math.Log(ratio) / trustScale
	weight := 1 / (1 + deviation*deviation)
	if ratio > 1 {
		weight *= aboveWeight
	}
	return weight
}

// minReplacementCount is the number of observations below which a restarted process's
// statistics don't replace larger ones from before its restart.
const minReplacementCount = 50

// merge replaces the statistics of another process.
func (f *fit) merge(from string, s Stats) {
	if len(s.Right) != len(f.prior) || len(s.Normal) != len(f.prior)*len(f.prior) {
		return // the process uses another model
	}
	before, known := f.others[from]
	if s.Count < min(before.Count, minReplacementCount) {
		return
	}
	if known {
		f.othersSum.add(before, -1)
	}
	f.othersSum.add(s, 1)
	f.others[from] = s
	f.stale = true
}

// sum adds up the statistics of all processes.
func (f *fit) sum() Stats {
	total := f.local.clone()
	total.add(f.othersSum, 1)
	return total
}

// add adds the statistics of a process, or subtracts them if sign is -1.
func (s *Stats) add(o Stats, sign int) {
	for i := range s.Normal {
		s.Normal[i] += float64(sign) * o.Normal[i]
	}
	for i := range s.Right {
		s.Right[i] += float64(sign) * o.Right[i]
	}
	s.Count += sign * o.Count
}

// solve computes the coefficients. Negative ones are eliminated, the most negative first:
// work never takes negative time.
func (f *fit) solve() {
	total := f.sum()
	if total.Count == 0 {
		return
	}
	active := make([]int, len(f.prior))
	for i := range active {
		active[i] = i
	}
	for len(active) > 0 {
		solution, ok := f.solveFor(total, active)
		if !ok {
			return // keep the previous coefficients
		}
		least := 0
		for i := range solution {
			if solution[i] < solution[least] {
				least = i
			}
		}
		if solution[least] >= 0 {
			clear(f.coef)
			for i, at := range active {
				f.coef[at] = solution[i] * f.prior[at].unit
			}
			return
		}
		active = slices.Delete(active, least, least+1)
	}
}

// solveFor solves the equations of the active coefficients. The prior pulls each towards
// its assumed value.
func (f *fit) solveFor(s Stats, active []int) ([]float64, bool) {
	n, all := len(active), len(s.Right)
	a := mat.NewSymDense(n, nil)
	b := mat.NewVecDense(n, nil)
	priorScale := priorWeight * s.scale()
	for i, p := range active {
		for j := i; j < n; j++ {
			a.SetSym(i, j, s.Normal[p*all+active[j]])
		}
		a.SetSym(i, i, a.At(i, i)+priorScale)
		b.SetVec(i, s.Right[p]+priorScale*f.prior[p].assumed/f.prior[p].unit)
	}
	var chol mat.Cholesky
	if !chol.Factorize(a) {
		return nil, false
	}
	var x mat.VecDense
	if err := chol.SolveVecTo(&x, b); err != nil {
		return nil, false // nearly singular
	}
	return x.RawVector().Data, true
}

// scale is the mean size of an observation's terms. It makes the prior's weight independent
// of the engines' speed.
func (s Stats) scale() float64 {
	trace := 0.0
	n := len(s.Right)
	for i := range n {
		trace += s.Normal[i*n+i]
	}
	return math.Max(trace/float64(max(1, min(s.Count, fitMemory))), math.SmallestNonzeroFloat32)
}
