package rules

import (
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
)

// atomKind says what an atom compares.
type atomKind uint8

const (
	// atomHolds is any boolean expression, told by its text.
	atomHolds atomKind = iota
	// atomOneOf and atomNoneOf compare a string with constants.
	atomOneOf
	atomNoneOf
	// atomAbove and atomBelow compare a number with a constant.
	atomAbove
	atomBelow
)

// atom is a part of a condition that has no "and" or "or" in it.
type atom struct {
	kind atomKind
	// subject is the text of what is compared, or of the whole expression.
	subject string
	// negated is for atomHolds.
	negated bool
	// values is for atomOneOf and atomNoneOf.
	values []string
	// bound and strict are for atomAbove and atomBelow; strict excludes bound.
	bound  float64
	strict bool
}

func newAtom(node ast.Node, negated bool) atom {
	if n, ok := node.(*ast.BinaryNode); ok {
		if a, ok := membership(n, negated); ok {
			return a
		}
		if a, ok := comparison(n, negated); ok {
			return a
		}
		if n.Operator == "!=" {
			return atom{subject: equality(n), negated: !negated}
		}
		if n.Operator == "==" {
			return atom{subject: equality(n), negated: negated}
		}
	}
	return atom{subject: node.String(), negated: negated}
}

// equality gives "a == b" and "b == a" the same text.
func equality(n *ast.BinaryNode) string {
	operands := []string{n.Left.String(), n.Right.String()}
	slices.Sort(operands)
	return operands[0] + " == " + operands[1]
}

// membership reads a comparison of a string with constants.
func membership(n *ast.BinaryNode, negated bool) (atom, bool) {
	subject, values := n.Left, []string(nil)
	switch n.Operator {
	case "in":
		values = stringList(n.Right)
	case "==", "!=":
		negated = negated != (n.Operator == "!=")
		values = stringList(n.Right)
		if values == nil {
			subject, values = n.Right, stringList(n.Left)
		}
	}
	if values == nil {
		return atom{}, false
	}
	kind := atomOneOf
	if negated {
		kind = atomNoneOf
	}
	return atom{kind: kind, subject: subject.String(), values: values}, true
}

func stringList(node ast.Node) []string {
	switch n := node.(type) {
	case *ast.StringNode:
		return []string{n.Value}
	case *ast.ArrayNode:
		values := make([]string, 0, len(n.Nodes))
		for _, element := range n.Nodes {
			s, ok := element.(*ast.StringNode)
			if !ok {
				return nil
			}
			values = append(values, s.Value)
		}
		return values
	}
	return nil
}

// maxExactBound is the largest whole number below which all are exact as
// float64, so that comparing as float64 is comparing as int.
const maxExactBound = 1 << 53

// comparison reads a comparison of a number with a constant. Its negation is
// turned into the opposite only for whole numbers: no comparison holds for a
// load that isn't a number.
func comparison(n *ast.BinaryNode, negated bool) (atom, bool) {
	operator, subject := n.Operator, n.Left
	bound, ok := number(n.Right)
	if !ok {
		bound, ok = number(n.Left)
		subject, operator = n.Right, mirrored[n.Operator]
	}
	if _, compares := mirrored[n.Operator]; !ok || !compares {
		return atom{}, false
	}
	text := subject.String()
	if negated {
		if text != "prompt_tokens" && text != "output_tokens" {
			return atom{}, false
		}
		operator = opposite[operator]
	}
	kind := atomAbove
	if operator == "<" || operator == "<=" {
		kind = atomBelow
	}
	return atom{kind: kind, subject: text, bound: bound, strict: operator == "<" || operator == ">"}, true
}

var (
	mirrored = map[string]string{"<": ">", ">": "<", "<=": ">=", ">=": "<="}
	opposite = map[string]string{"<": ">=", ">": "<=", "<=": ">", ">=": "<"}
)

func number(node ast.Node) (float64, bool) {
	switch n := node.(type) {
	case *ast.IntegerNode:
		return float64(n.Value), n.Value < maxExactBound && n.Value > -maxExactBound
	case *ast.FloatNode:
		return n.Value, true
	case *ast.UnaryNode:
		value, ok := number(n.Node)
		return -value, ok && n.Operator == "-"
	}
	return 0, false
}

// implies reports whether b holds whenever a does.
func (a atom) implies(b atom) bool {
	if a.subject != b.subject {
		return false
	}
	switch {
	case a.kind == atomOneOf && b.kind == atomOneOf:
		return subset(a.values, b.values)
	case a.kind == atomOneOf && b.kind == atomNoneOf:
		return disjoint(a.values, b.values)
	case a.kind == atomNoneOf && b.kind == atomNoneOf:
		return subset(b.values, a.values)
	case a.kind != b.kind:
		return false
	case a.kind == atomAbove:
		return a.bound > b.bound || (a.bound == b.bound && (a.strict || !b.strict))
	case a.kind == atomBelow:
		return a.bound < b.bound || (a.bound == b.bound && (a.strict || !b.strict))
	default:
		return a.negated == b.negated
	}
}

// excludes reports whether a and b never hold together.
func (a atom) excludes(b atom) bool {
	if a.subject != b.subject {
		return false
	}
	switch {
	case a.kind == atomOneOf && b.kind == atomOneOf:
		return disjoint(a.values, b.values)
	case a.kind == atomOneOf && b.kind == atomNoneOf:
		return subset(a.values, b.values)
	case a.kind == atomNoneOf && b.kind == atomOneOf:
		return subset(b.values, a.values)
	case a.kind == atomAbove && b.kind == atomBelow:
		return a.bound > b.bound || (a.bound == b.bound && (a.strict || b.strict))
	case a.kind == atomBelow && b.kind == atomAbove:
		return b.excludes(a)
	default:
		return a.kind == atomHolds && b.kind == atomHolds && a.negated != b.negated
	}
}

func subset(a, b []string) bool {
	return !slices.ContainsFunc(a, func(v string) bool { return !slices.Contains(b, v) })
}

func disjoint(a, b []string) bool {
	return !slices.ContainsFunc(a, func(v string) bool { return slices.Contains(b, v) })
}

// constantValue evaluates an expression that doesn't depend on the request.
func constantValue(node ast.Node) (value, ok bool) {
	v := &identifierVisitor{}
	ast.Walk(&node, v)
	if v.found {
		return false, false
	}
	result, err := expr.Eval(node.String(), nil)
	if err != nil {
		return false, false
	}
	value, ok = result.(bool)
	return value, ok
}

// identifierVisitor looks for a name in an expression.
type identifierVisitor struct{ found bool }

// Visit implements ast.Visitor.
func (v *identifierVisitor) Visit(node *ast.Node) {
	if _, ok := (*node).(*ast.IdentifierNode); ok {
		v.found = true
	}
}
