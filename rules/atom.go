package rules

import (
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
)

// atomKind says what an atom compares.
type atomKind uint8

const (
	// atomBool is any other boolean expression, identified by its text.
	atomBool atomKind = iota
	// atomOneOf and atomNoneOf compare a string with constants.
	atomOneOf
	atomNoneOf
	// atomAbove and atomBelow compare a number with a constant.
	atomAbove
	atomBelow
)

// atom is an operand of a condition that contains no "and" or "or".
type atom struct {
	kind atomKind
	// subject is the text of the compared operand, or of the expression.
	subject string
	// negated is for atomBool.
	negated bool
	// values is for atomOneOf and atomNoneOf.
	values []string
	// bound and strict are for atomAbove and atomBelow; strict excludes bound.
	bound  float64
	strict bool
}

func newAtom(node ast.Node, negated bool) atom {
	if n, ok := node.(*ast.BinaryNode); ok {
		if a, ok := parseMembership(n, negated); ok {
			return a
		}
		if a, ok := parseComparison(n, negated); ok {
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

// equality returns the same text for "a == b" and "b == a".
func equality(n *ast.BinaryNode) string {
	operands := []string{n.Left.String(), n.Right.String()}
	slices.Sort(operands)
	return operands[0] + " == " + operands[1]
}

// parseMembership returns the atom of a comparison of a string with constants.
func parseMembership(n *ast.BinaryNode, negated bool) (atom, bool) {
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

// maxExactBound is 2^53: integers below it are exact as float64, so that they
// compare as float64 as they do as int.
const maxExactBound = 1 << 53

// parseComparison returns the atom of a comparison of a number with a constant. A
// negation is rewritten as the opposite comparison only for integers: a load of
// NaN satisfies neither of the two.
func parseComparison(n *ast.BinaryNode, negated bool) (atom, bool) {
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
		return a.kind == atomBool && b.kind == atomBool && a.negated != b.negated
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

// identifierVisitor reports whether an expression contains an identifier.
type identifierVisitor struct{ found bool }

// Visit implements ast.Visitor.
func (v *identifierVisitor) Visit(node *ast.Node) {
	if _, ok := (*node).(*ast.IdentifierNode); ok {
		v.found = true
	}
}
