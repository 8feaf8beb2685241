package enginemodel

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

const (
	// memory is the number of observations over which a fit forgets: engines of a
	// pool are alike, and a changed one has a factor of its own.
	memory = 300.0
	// priorWeight is the weight of what is assumed at first, in observations: the
	// first observation outweighs it by far.
	priorWeight = 0.02
	// trusting is the number of observations from which on one that is far off is cut
	// to outlier times the prediction, or that part of it.
	trusting = 8
	outlier  = 3.0
	// An observation counts less the farther it is off, half at a logarithm of the
	// ratio of oddScale, and aboveWeight of that if it took longer than predicted. A
	// prompt that was kept already takes less; a lost packet, a stalled engine or a
	// queue that nobody knew of make times longer, and are more frequent. Without it a
	// model that was learnt in a crowd, as after a restart of all daemons, stayed
	// several times too slow for ten seconds.
	aboveWeight = 0.5
	oddScale    = 0.5
	// leastTime is what a prediction counts as at least, in milliseconds, where
	// errors are taken in proportion to it.
	leastTime = 1.0
)

// Stats are the weighted normal equations of a linear fit, in the units of its
// coefficients. Those of several processes add up, so that each has the
// observations of all.
type Stats struct {
	Normal, Right []float64
	// Count is the number of observations.
	Count int
}

func newStats(n int) Stats {
	return Stats{Normal: make([]float64, n*n), Right: make([]float64, n)}
}

// fit is a linear model of a time in milliseconds: the sum of the features times
// coefficients that are not negative. It minimises the squared error in proportion
// to the time, the older observations counting less.
type fit struct {
	prior  []coefficient
	coef   []float64
	own    Stats
	others map[string]Stats
	// all is the sum of those of the others.
	all Stats
	// stale says that coef is of before the last observation.
	stale bool
}

// coefficient is what is assumed of one of a fit's coefficients.
type coefficient struct {
	// assumed is its value as long as nothing says otherwise, unit the size in which its
	// changes are measured: of two coefficients that could explain an observation alike,
	// that with the larger unit does for the most part.
	assumed, unit float64
}

func (c coefficient) times(n float64) coefficient {
	return coefficient{assumed: n * c.assumed, unit: n * c.unit}
}

func newFit(prior ...coefficient) *fit {
	f := &fit{
		prior: prior, coef: make([]float64, len(prior)),
		own: newStats(len(prior)), others: make(map[string]Stats), all: newStats(len(prior)),
	}
	for i, c := range prior {
		f.coef[i] = c.assumed
	}
	return f
}

// settle finds the coefficients again if there is something new.
func (f *fit) settle() {
	if f.stale {
		f.stale = false
		f.solve()
	}
}

// predict returns the time for some features.
func (f *fit) predict(features ...float64) float64 {
	f.settle()
	sum := 0.0
	for i, c := range f.coef {
		sum += c * features[i]
	}
	return sum
}

// count returns the number of observations of all processes.
func (f *fit) count() int { return f.own.Count + f.all.Count }

// learn takes a time that was seen. weight is what it counts, 1 for an observation
// without doubt.
func (f *fit) learn(took, weight float64, features ...float64) {
	expected := max(leastTime, f.predict(features...))
	if f.count() >= trusting {
		took = min(max(took, expected/outlier), outlier*expected)
	}
	if f.count() > 0 {
		weight *= trust(took / expected)
	}
	f.own.Count++
	// By the prediction alone the first observations, predicted far too short, would
	// outweigh all later ones.
	unit := max(expected, took)
	n := len(f.prior)
	row := make([]float64, n)
	for i := range row {
		row[i] = f.prior[i].unit * features[i] / unit
	}
	const keep = 1 - 1/memory
	for i := range n {
		for j := range n {
			f.own.Normal[i*n+j] = keep*f.own.Normal[i*n+j] + weight*row[i]*row[j]
		}
		f.own.Right[i] = keep*f.own.Right[i] + weight*row[i]*took/unit
	}
	f.stale = true
}

// trust is the weight of an observation by its ratio to the prediction.
func trust(ratio float64) float64 {
	odd := math.Log(ratio) / oddScale
	weight := 1 / (1 + odd*odd)
	if ratio > 1 {
		weight *= aboveWeight
	}
	return weight
}

// newcomer is the number of observations below which another process's statistics
// don't replace better ones of its former start.
const newcomer = 50

// merge takes over the statistics of another process.
func (f *fit) merge(from string, s Stats) {
	if len(s.Right) != len(f.prior) || len(s.Normal) != len(f.prior)*len(f.prior) {
		return // of a process that models engines in another way
	}
	before, known := f.others[from]
	if s.Count < min(before.Count, newcomer) {
		return
	}
	if known {
		f.all.add(before, -1)
	}
	f.all.add(s, 1)
	f.others[from] = s
	f.stale = true
}

// sum adds up the statistics of all processes.
func (f *fit) sum() Stats {
	total := f.own.clone()
	total.add(f.all, 1)
	return total
}

// add adds the statistics of a process, or with a sign of -1 takes them away.
func (s *Stats) add(o Stats, sign int) {
	for i := range s.Normal {
		s.Normal[i] += float64(sign) * o.Normal[i]
	}
	for i := range s.Right {
		s.Right[i] += float64(sign) * o.Right[i]
	}
	s.Count += sign * o.Count
}

// solve finds the coefficients. Those that would be negative are left out, the most
// negative first: no work makes an engine faster.
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
			return // the last coefficients hold
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

// solveFor solves the equations of some of the coefficients. The prior pulls each
// towards what is assumed.
func (f *fit) solveFor(s Stats, active []int) ([]float64, bool) {
	n, all := len(active), len(s.Right)
	a := mat.NewSymDense(n, nil)
	b := mat.NewVecDense(n, nil)
	pull := priorWeight * s.scale()
	for i, p := range active {
		for j := i; j < n; j++ {
			a.SetSym(i, j, s.Normal[p*all+active[j]])
		}
		a.SetSym(i, i, a.At(i, i)+pull)
		b.SetVec(i, s.Right[p]+pull*f.prior[p].assumed/f.prior[p].unit)
	}
	var chol mat.Cholesky
	if !chol.Factorize(a) {
		return nil, false
	}
	var x mat.VecDense
	if err := chol.SolveVecTo(&x, b); err != nil {
		return nil, false // too close to singular to say anything
	}
	return x.RawVector().Data, true
}

// scale is the size of one observation's terms, so that the prior's weight is in
// observations whatever the engines' speed.
func (s Stats) scale() float64 {
	trace := 0.0
	n := len(s.Right)
	for i := range n {
		trace += s.Normal[i*n+i]
	}
	return math.Max(trace/float64(max(1, min(s.Count, memory))), math.SmallestNonzeroFloat32)
}
