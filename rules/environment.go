package rules

import (
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/conf"
)

// environment defines the names that a condition may use and their types. It is
// passed to the evaluator by value: reflection then reads its fields without
// copying each to the heap.
type environment struct {
	Model        string              `expr:"model"`
	Path         string              `expr:"path"`
	Method       string              `expr:"method"`
	Organisation string              `expr:"organisation"`
	Header       func(string) string `expr:"header"`
	PromptTokens int                 `expr:"prompt_tokens"`
	OutputTokens int                 `expr:"output_tokens"`
	DataCentre   string              `expr:"data_centre"`
	Load         float64             `expr:"load"`
	Stream       bool                `expr:"stream"`
}

func newEnvironment(r *Request) environment {
	header := r.Header
	if header == nil {
		header = noHeader
	}
	return environment{
		Model: r.Model, Path: r.Path, Method: r.Method, Organisation: r.Organisation,
		Header: header, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		DataCentre: r.DataCentre, Load: r.Load, Stream: r.Stream,
	}
}

func noHeader(string) string { return "" }

// allowedBuiltins are the functions a condition may call. Those that loop over
// collections, read the clock or build large values are excluded, so that the
// cost of a condition is bounded by its length and its result depends only on
// the request.
var allowedBuiltins = []string{
	"len", "lower", "upper", "trim", "trimPrefix", "trimSuffix", "hasPrefix", "hasSuffix",
	"indexOf", "lastIndexOf", "abs", "ceil", "floor", "round", "min", "max", "int", "float",
}

// maxConditionNodes bounds the size of a condition's syntax tree.
const maxConditionNodes = 500

// conditionConfig returns the compiler settings for conditions.
func conditionConfig() *conf.Config {
	c := conf.CreateNew()
	options := []expr.Option{
		expr.Env(environment{}), expr.AsBool(), expr.WarnOnAny(), expr.MaxNodes(maxConditionNodes),
		expr.DisableAllBuiltins(), expr.Patch(lowerHeaderNames{}),
	}
	for _, name := range allowedBuiltins {
		options = append(options, expr.EnableBuiltin(name))
	}
	for _, option := range options {
		option(c)
	}
	for name := range c.Disabled {
		delete(c.Builtins, name)
	}
	return c
}

// lowerHeaderNames converts the names in header("X-Name") to lower case at
// compile time, so that requests don't have to.
type lowerHeaderNames struct{}

// Visit implements ast.Visitor.
func (lowerHeaderNames) Visit(node *ast.Node) {
	if name := headerName(*node); name != nil {
		name.Value = strings.ToLower(name.Value)
	}
}

// headerName returns the literal name in a call of header, or nil.
func headerName(node ast.Node) *ast.StringNode {
	call, ok := node.(*ast.CallNode)
	if !ok || len(call.Arguments) != 1 {
		return nil
	}
	callee, ok := call.Callee.(*ast.IdentifierNode)
	if !ok || callee.Value != "header" {
		return nil
	}
	name, _ := call.Arguments[0].(*ast.StringNode)
	return name
}
