package rules

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind says how a rule differs between two sets.
type ChangeKind string

// The kinds of change. A rule that is both changed and moved has one of each.
const (
	RuleAdded   ChangeKind = "added"
	RuleRemoved ChangeKind = "removed"
	RuleChanged ChangeKind = "changed"
	RuleMoved   ChangeKind = "moved"
)

// Change is one difference between two sets. Rules are matched by name.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Rule string     `json:"rule"`
	// From and To are positions in the two lists, counted from 1; 0 if the rule
	// isn't in that list.
	From   int   `json:"from,omitempty"`
	To     int   `json:"to,omitempty"`
	Before *Rule `json:"before,omitempty"`
	After  *Rule `json:"after,omitempty"`
}

// Diff lists the changes that lead from one rule set to another.
type Diff []Change

// DiffDocuments compares the rules of two documents and ignores comments. An
// empty document has no rules. An error is an *InvalidError.
func DiffDocuments(from, to []byte) (Diff, error) {
	before, err := parseRules(from)
	if err != nil {
		return nil, err
	}
	after, err := parseRules(to)
	if err != nil {
		return nil, err
	}
	return DiffRules(before, after), nil
}

func parseRules(document []byte) ([]Rule, error) {
	if len(document) == 0 {
		return nil, nil
	}
	c := &collector{src: document}
	sources := decode(c, &Set{})
	list := make([]Rule, len(sources))
	for i := range sources {
		list[i] = sources[i].rule
	}
	return list, c.err()
}

// DiffRules compares two lists of rules with unique names.
func DiffRules(before, after []Rule) Diff {
	var diff Diff
	indexes := make(map[string]int, len(after))
	for i, r := range after {
		indexes[r.Name] = i
	}
	common := make([]int, 0, len(before)) // indexes in after, in the order of before
	from := make(map[string]int, len(before))
	for i := range before {
		from[before[i].Name] = i
		if to, kept := indexes[before[i].Name]; kept {
			common = append(common, to)
			continue
		}
		diff = append(diff, Change{Kind: RuleRemoved, Rule: before[i].Name, From: i + 1, Before: &before[i]})
	}
	unmoved := longestIncreasing(common)
	for to := range after {
		name := after[to].Name
		i, existed := from[name]
		if !existed {
			diff = append(diff, Change{Kind: RuleAdded, Rule: name, To: to + 1, After: &after[to]})
			continue
		}
		if !reflect.DeepEqual(before[i], after[to]) {
			diff = append(diff, Change{Kind: RuleChanged, Rule: name, From: i + 1, To: to + 1,
				Before: &before[i], After: &after[to]})
		}
		if !unmoved[to] {
			diff = append(diff, Change{Kind: RuleMoved, Rule: name, From: i + 1, To: to + 1})
		}
	}
	return diff
}

// longestIncreasing returns the members of a longest increasing subsequence: the
// rules that kept their relative order, so that as few as possible count as moved.
func longestIncreasing(list []int) map[int]bool {
	length := make([]int, len(list))
	previous := make([]int, len(list))
	best := -1
	for i := range list {
		length[i], previous[i] = 1, -1
		for j := range i {
			if list[j] < list[i] && length[j]+1 > length[i] {
				length[i], previous[i] = length[j]+1, j
			}
		}
		if best < 0 || length[i] > length[best] {
			best = i
		}
	}
	members := make(map[int]bool, len(list))
	for ; best >= 0; best = previous[best] {
		members[list[best]] = true
	}
	return members
}

// String returns the difference as text, one line for each change or changed part.
func (d Diff) String() string {
	var out strings.Builder
	for _, c := range d {
		switch c.Kind {
		case RuleAdded:
			fmt.Fprintf(&out, "+ %d %s: when %s then %s\n", c.To, c.Rule, c.After.When, thenText(c.After))
		case RuleRemoved:
			fmt.Fprintf(&out, "- %d %s: when %s then %s\n", c.From, c.Rule, c.Before.When, thenText(c.Before))
		case RuleMoved:
			fmt.Fprintf(&out, "> %s: moved from %d to %d\n", c.Rule, c.From, c.To)
		case RuleChanged:
			writeChanged(&out, c)
		}
	}
	return out.String()
}

func writeChanged(out *strings.Builder, c Change) {
	if c.Before.When != c.After.When {
		fmt.Fprintf(out, "~ %s: when %s -> %s\n", c.Rule, c.Before.When, c.After.When)
	}
	if before, after := thenText(c.Before), thenText(c.After); before != after {
		fmt.Fprintf(out, "~ %s: then %s -> %s\n", c.Rule, before, after)
	}
}

func thenText(r *Rule) string {
	text, err := json.Marshal(r.Then)
	if err != nil {
		panic(err) // can't fail: the values came from JSON
	}
	return string(text)
}
