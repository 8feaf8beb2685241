package rules

import "slices"

// guard decides one atom directly from the request. A condition is evaluated
// only if its guards hold, and not at all if it has no other atoms: of hundreds
// of rules nearly all are then rejected by one or two comparisons.
type guard struct {
	kind   atomKind
	text   textField
	number numberField
	values []string
	bound  float64
	strict bool
	// stream is the required value of the request's Stream, for atomBool.
	stream bool
}

type textField uint8

const (
	fieldModel textField = iota
	fieldPath
	fieldMethod
	fieldOrganisation
	fieldDataCentre
)

type numberField uint8

const (
	fieldPromptTokens numberField = iota
	fieldOutputTokens
	fieldLoad
)

var textFields = map[string]textField{
	"model": fieldModel, "path": fieldPath, "method": fieldMethod,
	"organisation": fieldOrganisation, "data_centre": fieldDataCentre,
}

var numberFields = map[string]numberField{
	"prompt_tokens": fieldPromptTokens, "output_tokens": fieldOutputTokens, "load": fieldLoad,
}

// newGuards returns the guards of a condition, and whether they decide it
// completely.
func newGuards(f normalForm) (guards []guard, complete bool) {
	if !f.known || len(f.conjunctions) != 1 {
		return nil, false
	}
	complete = true
	for _, a := range f.conjunctions[0] {
		g, ok := newGuard(a)
		if !ok {
			complete = false
			continue
		}
		guards = append(guards, g)
	}
	return guards, complete
}

func newGuard(a atom) (guard, bool) {
	switch a.kind {
	case atomOneOf, atomNoneOf:
		field, ok := textFields[a.subject]
		return guard{kind: a.kind, text: field, values: a.values}, ok
	case atomAbove, atomBelow:
		field, ok := numberFields[a.subject]
		return guard{kind: a.kind, number: field, bound: a.bound, strict: a.strict}, ok
	default:
		return guard{kind: atomBool, stream: !a.negated}, a.subject == "stream"
	}
}

func (g *guard) holds(r *Request) bool {
	switch g.kind {
	case atomOneOf:
		return slices.Contains(g.values, g.text.of(r))
	case atomNoneOf:
		return !slices.Contains(g.values, g.text.of(r))
	case atomAbove:
		value := g.number.of(r)
		return value > g.bound || (value == g.bound && !g.strict)
	case atomBelow:
		value := g.number.of(r)
		return value < g.bound || (value == g.bound && !g.strict)
	default:
		return r.Stream == g.stream
	}
}

func (f textField) of(r *Request) string {
	switch f {
	case fieldModel:
		return r.Model
	case fieldPath:
		return r.Path
	case fieldMethod:
		return r.Method
	case fieldOrganisation:
		return r.Organisation
	default:
		return r.DataCentre
	}
}

func (f numberField) of(r *Request) float64 {
	switch f {
	case fieldPromptTokens:
		return float64(r.PromptTokens)
	case fieldOutputTokens:
		return float64(r.OutputTokens)
	default:
		return r.Load
	}
}
