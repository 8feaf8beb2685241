package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault in a settings file.
type Problem struct {
	File string
	// Line counts from 1; 0 says that the fault has no place in the file.
	Line int
	// Key is the path of the faulty value, such as "instances[2].callers".
	Key     string
	Message string
}

func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key == "" {
		return place + ": " + p.Message
	}
	return place + ": " + p.Key + ": " + p.Message
}

// Error holds every problem of one settings file, in order of line.
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

// problems collects faults by key; lines are looked up in the syntax tree.
type problems struct {
	file  string
	lines lineIndex
	list  []Problem
}

func (ps *problems) add(key, format string, args ...any) {
	ps.addAt(ps.lines.of(key), key, format, args...)
}

func (ps *problems) addAt(line int, key, format string, args ...any) {
	ps.list = append(ps.list, Problem{
		File: ps.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...),
	})
}

// err returns nil if nothing was found.
func (ps *problems) err() error {
	if len(ps.list) == 0 {
		return nil
	}
	sort.SliceStable(ps.list, func(i, j int) bool { return ps.list[i].Line < ps.list[j].Line })
	return &Error{Problems: ps.list}
}
