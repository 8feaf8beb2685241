package rules

import (
	"errors"

	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/checker"
	"github.com/expr-lang/expr/compiler"
	"github.com/expr-lang/expr/conf"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/optimizer"
	"github.com/expr-lang/expr/vm"
)

// conditionError is an error in an expression; at is the index of the character
// where it occurs.
type conditionError struct {
	at      int
	message string
}

// compileCondition checks an expression's types and compiles it. The normal form
// is derived before the optimiser rewrites the tree.
func compileCondition(config *conf.Config, source string) (*vm.Program, normalForm, *conditionError) {
	tree, err := checker.ParseCheck(source, config)
	if err != nil {
		return nil, normalForm{}, asConditionError(err)
	}
	if fault := findForbidden(tree.Node); fault != nil {
		return nil, normalForm{}, fault
	}
	f := newForm(tree.Node)
	if err := optimizer.Optimize(&tree.Node, config); err != nil {
		return nil, normalForm{}, asConditionError(err)
	}
	program, err := compiler.Compile(tree, config)
	if err != nil {
		return nil, normalForm{}, asConditionError(err)
	}
	return program, f, nil
}

func asConditionError(err error) *conditionError {
	var at *file.Error
	if errors.As(err, &at) {
		return &conditionError{at: at.From, message: at.Message}
	}
	return &conditionError{message: err.Error()}
}

// forbidden finds constructs whose cost isn't bounded by the expression's
// length, and header names that aren't literals.
type forbidden struct {
	fault *conditionError
}

func findForbidden(node ast.Node) *conditionError {
	f := &forbidden{}
	ast.Walk(&node, f)
	return f.fault
}

// Visit implements ast.Visitor.
func (f *forbidden) Visit(node *ast.Node) {
	message := ""
	switch n := (*node).(type) {
	case *ast.BinaryNode:
		if n.Operator == ".." {
			message = "ranges can't be used in a condition"
		}
		if _, literal := n.Right.(*ast.StringNode); n.Operator == "matches" && !literal {
			message = "matches takes its pattern as a string literal"
		}
	case *ast.PredicateNode:
		message = "predicates can't be used in a condition"
	case *ast.CallNode:
		if headerName(n) == nil {
			message = "header takes one name as a string literal"
		}
	}
	if message != "" && f.fault == nil {
		f.fault = &conditionError{at: (*node).Location().From, message: message}
	}
}
