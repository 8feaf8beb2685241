package rules

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// MoveTarget says where a rule is moved to. Exactly one of its fields is set.
type MoveTarget struct {
	Before string
	First  bool
	Last   bool
}

// Move returns the document with one rule at another place. Comments that stand
// before a rule, or behind it on its last line, go with it.
func Move(document []byte, name string, to MoveTarget) ([]byte, error) {
	names, err := ruleNames(document)
	if err != nil {
		return nil, err
	}
	from := slices.Index(names, name)
	if from < 0 {
		return nil, eris.Errorf("rules: no rule %q", name)
	}
	if to.Before == name {
		return nil, eris.Errorf("rules: rule %q can't stand before itself", name)
	}
	value, err := parseDocument(document)
	if err != nil {
		return nil, eris.Wrap(err, "rules: document can't be read")
	}
	array := value.Find("/rules").Value.(*hujson.Array)
	pieces := takeApart(array)
	moved := pieces[from]
	pieces = slices.Delete(pieces, from, from+1)
	names = slices.Delete(names, from, from+1)
	at := len(pieces)
	if to.First {
		at = 0
	} else if !to.Last {
		at = slices.Index(names, to.Before)
	}
	if at < 0 {
		return nil, eris.Errorf("rules: no rule %q", to.Before)
	}
	putTogether(array, slices.Insert(pieces, at, moved))
	return bytes.TrimSuffix(value.Pack(), []byte("\n")), nil
}

func ruleNames(document []byte) ([]string, error) {
	list, err := readRules(document)
	names := make([]string, len(list))
	for i, r := range list {
		names[i] = r.Name
	}
	return names, err
}

// piece is a rule with the comments that belong to it.
type piece struct {
	value hujson.Value
	// tail is the rest of the line behind the rule and its comma.
	tail hujson.Extra
}

// takeApart splits the text between two rules at the first line's end: the
// parser counts all of it to the rule that follows.
func takeApart(array *hujson.Array) []piece {
	last := len(array.Elements) - 1
	pieces := make([]piece, len(array.Elements))
	for i, element := range array.Elements {
		pieces[i].value = element
		next := &array.AfterExtra
		if i < last {
			next = &array.Elements[i+1].BeforeExtra
		}
		if end := bytes.IndexByte(*next, '\n'); end >= 0 {
			pieces[i].tail = append(hujson.Extra{}, (*next)[:end]...)
			*next = (*next)[end:]
		}
	}
	return pieces
}

// putTogether keeps the list's habit of a comma behind its last rule, which the
// parser's form tells by an AfterExtra that isn't nil.
func putTogether(array *hujson.Array, pieces []piece) {
	last := len(array.Elements) - 1
	comma := array.Elements[last].AfterExtra != nil
	tail := hujson.Extra(nil)
	for i, p := range pieces {
		p.value.BeforeExtra = slices.Concat(tail, p.value.BeforeExtra)
		array.Elements[i] = p.value
		tail = p.tail
	}
	array.AfterExtra = slices.Concat(tail, array.AfterExtra)
	end := &array.Elements[last].AfterExtra
	if comma && *end == nil {
		*end = hujson.Extra{}
	} else if !comma && len(*end) == 0 {
		*end = nil
	}
}
