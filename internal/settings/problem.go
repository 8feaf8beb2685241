package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error found in a settings file.
type Problem struct {
	File string
	// Line counts from 1; 0 means that the problem belongs to no line.
	Line int
	// Key is the path of the invalid value, such as "instances[2].callers".
	Key     string
	Message string
}

func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key == "" {
		return location + ": " + p.Message
	}
	return location + ": " + p.Key + ": " + p.Message
}

// Error lists every problem of one settings file, ordered by line.
type Error struct {
	Problems []Problem
}

func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// problems collects the problems of one file and resolves keys to lines.
type problems struct {
	file  string
	lines lineIndex
	list  []Problem
}

func (ps *problems) add(key, format string, args ...any) {
	ps.addAt(ps.lines.lineOf(key), key, format, args...)
}

func (ps *problems) addAt(line int, key, format string, args ...any) {
	ps.list = append(ps.list, Problem{
		File: ps.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...),
	})
}

// err returns the collected problems as an *Error, or nil if there are none.
func (ps *problems) err() error {
	if len(ps.list) == 0 {
		return nil
	}
	sort.SliceStable(ps.list, func(i, j int) bool { return ps.list[i].Line < ps.list[j].Line })
	return &Error{Problems: ps.list}
}
