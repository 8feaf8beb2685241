package rules

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Problem is one error in a document.
type Problem struct {
	// Line and Column count from 1; a column is one character.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Rule is the name of the rule that contains the error, if it has one.
	Rule    string `json:"rule,omitempty"`
	Message string `json:"message"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Rule == "" {
		return fmt.Sprintf("line %d, column %d: %s", p.Line, p.Column, p.Message)
	}
	return fmt.Sprintf("line %d, column %d: rule %q: %s", p.Line, p.Column, p.Rule, p.Message)
}

// InvalidError lists every problem of a document that can't be published, in the
// order of the document.
type InvalidError struct {
	Problems []Problem
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "invalid rules: " + strings.Join(lines, "; ")
}

// collector collects the problems of one document.
type collector struct {
	src      []byte
	problems []Problem
}

// add reports a problem at a byte offset of the document.
func (c *collector) add(offset int, rule, format string, args ...any) {
	line, column := lineColumn(c.src, offset)
	c.problems = append(c.problems, Problem{
		Line: line, Column: column, Rule: rule, Message: fmt.Sprintf(format, args...),
	})
}

// err returns the problems as an error, or nil if there are none.
func (c *collector) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &InvalidError{Problems: c.problems}
}

func lineColumn(src []byte, offset int) (line, column int) {
	before := src[:min(offset, len(src))]
	line = 1 + bytes.Count(before, []byte("\n"))
	start := bytes.LastIndexByte(before, '\n') + 1
	return line, 1 + utf8.RuneCount(before[start:])
}
