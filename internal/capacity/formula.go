package capacity

import (
	"strings"

	"github.com/expr-lang/expr"
	"github.com/rotisserie/eris"
)

// Measured is a set of lines by their ids.
type Measured map[string]Line

// NewMeasured indexes lines. A later line replaces an earlier one of its id.
func NewMeasured(lines []Line) Measured {
	m := Measured{}
	for _, l := range lines {
		m[l.ID] = l
	}
	return m
}

// at returns the cost of something, as role.thing.unit, at a size: what was
// measured at this very size, or else what the fitted line says.
func (m Measured) at(id string, size float64) (value float64, measured bool, err error) {
	if p, ok := m[pointID(id, int(size))]; ok && size == float64(int(size)) {
		return p.Value, true, nil
	}
	base, ok := m[id+"_base"]
	if !ok {
		return 0, false, eris.Errorf("nothing was measured under %s", id)
	}
	slope, ok := m.slopeOf(id)
	if !ok {
		return 0, false, eris.Errorf("%s has no slope", id)
	}
	return max(0, base.Value+slope.Value*size), false, nil
}

// slopeOf finds the slope that goes with role.thing.unit.
func (m Measured) slopeOf(id string) (Line, bool) {
	for name, l := range m {
		if l.Kind == KindSlope && strings.HasPrefix(name, id+"_per_") {
			return l, true
		}
	}
	return Line{}, false
}

// Result is what a formula gives for a scenario.
type Result struct {
	Value float64
	// Measured says that the value was measured at this very size; otherwise
	// it was derived by the formula.
	Measured bool
}

// Evaluate computes a formula: arithmetic over the scenario's values, the ids
// of slopes and bases, and at("role.thing.unit", size).
func Evaluate(formula string, m Measured, s Scenario) (Result, error) {
	points, lookups := 0, 0
	var lookupErr error
	env := nest(m)
	for k, v := range s.Values {
		env[k] = v
	}
	env["at"] = func(id string, size float64) float64 {
		v, measured, err := m.at(id, size)
		if err != nil {
			lookupErr = err
		}
		lookups++
		if measured {
			points++
		}
		return v
	}
	program, err := expr.Compile(formula, expr.Env(env), expr.AsFloat64())
	if err != nil {
		return Result{}, eris.Wrap(err, formula)
	}
	out, err := expr.Run(program, env)
	if err == nil {
		err = lookupErr
	}
	if err != nil {
		return Result{}, eris.Wrap(err, formula)
	}
	bare := strings.HasPrefix(formula, "at(") && strings.Index(formula, ")") == len(formula)-1
	return Result{Value: out.(float64), Measured: bare && lookups == points}, nil
}

// nest turns ids with dots into maps of maps, as the formulas' language reads
// them. Points have no place there.
func nest(m Measured) map[string]any {
	root := map[string]any{}
	for id, l := range m {
		if l.Kind == KindPoint {
			continue
		}
		parts := strings.Split(id, ".")
		node := root
		for _, part := range parts[:len(parts)-1] {
			next, ok := node[part].(map[string]any)
			if !ok {
				next = map[string]any{}
				node[part] = next
			}
			node = next
		}
		node[parts[len(parts)-1]] = l.Value
	}
	return root
}
