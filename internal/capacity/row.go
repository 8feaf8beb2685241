package capacity

import "github.com/rotisserie/eris"

// Resource is what a row is about.
type Resource string

// The resources, with the unit that a row's formula yields.
const (
	Memory   Resource = "memory"   // bytes
	Traffic  Resource = "traffic"  // bytes a second, both directions
	CPU      Resource = "cpu"      // nanoseconds a second
	Messages Resource = "messages" // a second, both directions
	Seconds  Resource = "seconds"
	Rate     Resource = "rate" // a second
	Count    Resource = "count"
)

// budgets is what control may cost one daemon. An instance's two programs are
// held against one daemon's budget together.
var budgets = map[Resource]float64{
	CPU:     0.017 * 1e9,
	Memory:  64e6,
	Traffic: 6000,
}

// Row is one figure of docs/CAPACITY.md.
type Row struct {
	Role string
	What string
	// Resource says what the formula yields.
	Resource Resource
	Formula  string
	// Mechanism is what carries it today.
	Mechanism string
	// Serving marks work that requests cause; it isn't held against the budget
	// of control.
	Serving bool
	// Limit is a bound of its own, in the formula's unit; 0 means the budget
	// of control, if it has one.
	Limit float64
	// LimitName says what the own bound is.
	LimitName string
	// Today names the means that were measured of today's deployments as they
	// are, or sums of them, in the order of Scenarios; they stand beside what is
	// derived.
	Today []string
	// Proposed marks a mechanism that isn't built; only its target counts.
	Proposed bool
}

// limit returns the row's bound, and whether it has one.
func (r Row) limit() (float64, bool) {
	if r.Limit > 0 {
		return r.Limit, true
	}
	if r.Serving {
		return 0, false
	}
	b, ok := budgets[r.Resource]
	return b, ok
}

// Worked is a row with its results.
type Worked struct {
	Row
	// Results are in the order of Scenarios.
	Results []Result
	// Today holds the values of Row.Today.
	Today []float64
	// Share is the target's value as a share of the row's bound; 0 if it has
	// none.
	Share float64
	// Breaks is where the bound is reached on the straight way from today's
	// smaller deployment to the target; nil if it isn't.
	Breaks *Scenario
}

// Work evaluates a row.
func (r Row) Work(m Measured) (Worked, error) {
	w := Worked{Row: r}
	for _, s := range Scenarios {
		v, err := Evaluate(r.Formula, m, s)
		if err != nil {
			return w, eris.Wrapf(err, "%s: %s", r.Role, r.What)
		}
		w.Results = append(w.Results, v)
	}
	for i, formula := range r.Today {
		v, err := Evaluate(formula, m, Scenarios[i])
		if err != nil {
			return w, eris.Wrapf(err, "%s: %s", r.Role, r.What)
		}
		w.Today = append(w.Today, v.Value)
	}
	limit, ok := r.limit()
	if !ok {
		return w, nil
	}
	target := w.Results[len(w.Results)-1].Value
	w.Share = target / limit
	if target > limit {
		s, err := breaking(r.Formula, m, limit)
		if err != nil {
			return w, err
		}
		w.Breaks = &s
	}
	return w, nil
}

// halvings is how often the way to the target is halved in the search.
const halvings = 40

// breaking returns the size at which a formula reaches a bound. What grows with
// the deployment only grows on that way, so halving finds it.
func breaking(formula string, m Measured, limit float64) (Scenario, error) {
	low, high := 0.0, 1.0
	for range halvings {
		middle := (low + high) / 2
		v, err := Evaluate(formula, m, Between(KalkuRinda, Target, middle))
		if err != nil {
			return Scenario{}, err
		}
		if v.Value > limit {
			high = middle
		} else {
			low = middle
		}
	}
	return Between(KalkuRinda, Target, high), nil
}

// Rows returns all rows in the page's order.
func Rows() []Row {
	var all []Row
	for _, group := range [][]Row{processRows, entryRows, sharedRows, logRows, controllerRows, lossRows, proposedRows} {
		all = append(all, group...)
	}
	return all
}
