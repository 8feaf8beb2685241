package rules

import (
	"slices"

	"github.com/expr-lang/expr/ast"
)

// normalForm is a condition in disjunctive normal form: it holds if all atoms of
// any conjunction hold. It is used to find unreachable rules and to decide most
// conditions without the evaluator.
type normalForm struct {
	// known is false if the normal form would be too large.
	known        bool
	conjunctions []conjunction
	// total reports whether evaluating the condition never fails.
	total bool
}

type conjunction []atom

// maxConjunctions bounds the size of a normal form.
const maxConjunctions = 16

func newForm(node ast.Node) normalForm {
	conjunctions, ok := expand(node, false)
	return normalForm{known: ok, conjunctions: conjunctions, total: isTotal(node)}
}

// alwaysHolds reports whether the condition is constantly true.
func (f normalForm) alwaysHolds() bool {
	return f.known && slices.ContainsFunc(f.conjunctions, func(c conjunction) bool { return len(c) == 0 })
}

// neverHolds reports whether the condition is constantly false.
func (f normalForm) neverHolds() bool { return f.known && len(f.conjunctions) == 0 }

// covers reports whether f holds whenever c does. With several conjunctions f
// must be total: if one operand of "a || b" fails, the condition counts as no
// match although the other operand holds.
func (f normalForm) covers(c conjunction) bool {
	if !f.known || (len(f.conjunctions) > 1 && !f.total) {
		return false
	}
	return slices.ContainsFunc(f.conjunctions, func(d conjunction) bool { return d.impliedBy(c) })
}

func (c conjunction) impliedBy(other conjunction) bool {
	for _, want := range c {
		if !slices.ContainsFunc(other, func(a atom) bool { return a.implies(want) }) {
			return false
		}
	}
	return true
}

// contradictory reports whether two atoms exclude each other.
func (c conjunction) contradictory() bool {
	for i, a := range c {
		if slices.ContainsFunc(c[i+1:], a.excludes) {
			return true
		}
	}
	return false
}

// expand converts a node, or its negation, to disjunctive normal form. It returns
// false if the result would be too large.
func expand(node ast.Node, negated bool) ([]conjunction, bool) {
	switch n := node.(type) {
	case *ast.BoolNode:
		return constant(n.Value != negated), true
	case *ast.UnaryNode:
		if n.Operator == "!" || n.Operator == "not" {
			return expand(n.Node, !negated)
		}
	case *ast.ConditionalNode:
		return expandConditional(n, negated)
	case *ast.BinaryNode:
		switch n.Operator {
		case "&&", "and":
			return expandPair(n.Left, negated, n.Right, negated, !negated)
		case "||", "or":
			return expandPair(n.Left, negated, n.Right, negated, negated)
		}
	}
	if value, ok := constantValue(node); ok {
		return constant(value != negated), true
	}
	return []conjunction{{newAtom(node, negated)}}, true
}

func constant(value bool) []conjunction {
	if value {
		return []conjunction{{}}
	}
	return nil
}

func expandPair(left ast.Node, leftNegated bool, right ast.Node, rightNegated, both bool) ([]conjunction, bool) {
	l, ok := expand(left, leftNegated)
	if !ok {
		return nil, false
	}
	r, ok := expand(right, rightNegated)
	if !ok {
		return nil, false
	}
	if both {
		return product(l, r)
	}
	return append(l, r...), len(l)+len(r) <= maxConjunctions
}

// expandConditional expands "a ? b : c" as "a && b || !a && c".
func expandConditional(n *ast.ConditionalNode, negated bool) ([]conjunction, bool) {
	yes, ok := expandPair(n.Cond, false, n.Exp1, negated, true)
	if !ok {
		return nil, false
	}
	no, ok := expandPair(n.Cond, true, n.Exp2, negated, true)
	return append(yes, no...), ok && len(yes)+len(no) <= maxConjunctions
}

func product(left, right []conjunction) ([]conjunction, bool) {
	if len(left)*len(right) > maxConjunctions {
		return nil, false
	}
	var all []conjunction
	for _, l := range left {
		for _, r := range right {
			c := slices.Concat(l, r)
			if !c.contradictory() {
				all = append(all, c)
			}
		}
	}
	return all, true
}

// totalOperators never fail on operands that passed the type check.
var totalOperators = []string{
	"&&", "and", "||", "or", "==", "!=", "<", ">", "<=", ">=", "in", "matches",
	"contains", "startsWith", "endsWith", "+", "-", "*", "!", "not",
}

// totalVisitor checks for nodes whose evaluation can fail.
type totalVisitor struct{ total bool }

func isTotal(node ast.Node) bool {
	v := &totalVisitor{total: true}
	ast.Walk(&node, v)
	return v.total
}

// Visit implements ast.Visitor.
func (v *totalVisitor) Visit(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.IdentifierNode, *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode,
		*ast.ArrayNode, *ast.ConditionalNode, *ast.CallNode:
	case *ast.BinaryNode:
		v.total = v.total && slices.Contains(totalOperators, n.Operator)
	case *ast.UnaryNode:
		v.total = v.total && slices.Contains(totalOperators, n.Operator)
	default:
		v.total = false
	}
}
