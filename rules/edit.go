package rules

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// MoveTarget is the new position of a moved rule. Exactly one field is set.
type MoveTarget struct {
	Before string
	First  bool
	Last   bool
}

// Move returns the document with one rule at another position. Comments before
// the rule, or after it on its last line, move with it.
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
		return nil, eris.Errorf("rules: rule %q can't be moved before itself", name)
	}
	value, err := parseDocument(document)
	if err != nil {
		return nil, eris.Wrap(err, "rules: document can't be parsed")
	}
	array := value.Find("/rules").Value.(*hujson.Array)
	rules := splitRules(array)
	moved := rules[from]
	rules = slices.Delete(rules, from, from+1)
	names = slices.Delete(names, from, from+1)
	at := len(rules)
	if to.First {
		at = 0
	} else if !to.Last {
		at = slices.Index(names, to.Before)
	}
	if at < 0 {
		return nil, eris.Errorf("rules: no rule %q", to.Before)
	}
	joinRules(array, slices.Insert(rules, at, moved))
	return bytes.TrimSuffix(value.Pack(), []byte("\n")), nil
}

func ruleNames(document []byte) ([]string, error) {
	list, err := parseRules(document)
	names := make([]string, len(list))
	for i, r := range list {
		names[i] = r.Name
	}
	return names, err
}

// movableRule is a rule with its comments.
type movableRule struct {
	value hujson.Value
	// tail is the rest of the line after the rule and its comma.
	tail hujson.Extra
}

// splitRules splits the text between two rules at the first line break. The
// parser attributes all of it to the second rule.
func splitRules(array *hujson.Array) []movableRule {
	last := len(array.Elements) - 1
	rules := make([]movableRule, len(array.Elements))
	for i, element := range array.Elements {
		rules[i].value = element
		next := &array.AfterExtra
		if i < last {
			next = &array.Elements[i+1].BeforeExtra
		}
		if end := bytes.IndexByte(*next, '\n'); end >= 0 {
			rules[i].tail = append(hujson.Extra{}, (*next)[:end]...)
			*next = (*next)[end:]
		}
	}
	return rules
}

// joinRules writes the rules back into the list. It keeps a trailing comma if
// there was one, which the parser represents by a non-nil AfterExtra.
func joinRules(array *hujson.Array, rules []movableRule) {
	last := len(array.Elements) - 1
	comma := array.Elements[last].AfterExtra != nil
	tail := hujson.Extra(nil)
	for i, p := range rules {
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
