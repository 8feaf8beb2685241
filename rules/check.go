package rules

import (
	"slices"
	"strings"

	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"
)

// Limits of the values in a rule.
const (
	maxPriority       = 1000
	maxDeadlineMillis = 24 * 60 * 60 * 1000
	minRefusalStatus  = 400
	maxRefusalStatus  = 599
	maxNameBytes      = 100
)

func checkNames(c *collector, sources []ruleSource) {
	first := make(map[string]int, len(sources))
	for i, s := range sources {
		name := s.rule.Name
		if name == "" || len(name) > maxNameBytes {
			if s.complete {
				c.add(s.at, "", "a rule's name must have 1 to %d bytes", maxNameBytes)
			}
			continue
		}
		if earlier, taken := first[name]; taken {
			line, _ := lineColumn(c.src, sources[earlier].at)
			c.add(s.at, name, "the name is taken by the rule at line %d", line)
			continue
		}
		first[name] = i
	}
}

// checkThen reports values of a consequence that are out of range or contradict
// each other.
func checkThen(c *collector, s *ruleSource, known KnownNames) {
	t := &s.rule.Then
	fail := func(field, format string, args ...any) {
		at, given := s.then[field]
		if !given {
			at = s.thenAt
		}
		c.add(at, s.rule.Name, format, args...)
	}
	_, hasPool := s.then["pool"]
	switch {
	case t.Refuse == nil && !hasPool:
		fail("", "then has neither pool nor refuse")
	case t.Refuse != nil:
		checkRefusal(s, fail)
	case known.Pools != nil && !slices.Contains(known.Pools, t.Pool):
		fail("pool", "unknown pool %q; known: %s", t.Pool, strings.Join(known.Pools, ", "))
	case t.Pool == "":
		fail("pool", "pool is empty")
	}
	if _, given := s.then["deadline_ms"]; given && (t.DeadlineMillis <= 0 || t.DeadlineMillis > maxDeadlineMillis) {
		fail("deadline_ms", "deadline_ms must lie between 1 and %d", maxDeadlineMillis)
	}
	if t.Priority < -maxPriority || t.Priority > maxPriority {
		fail("priority", "priority must lie between %d and %d", -maxPriority, maxPriority)
	}
	if !slices.Contains([]RetryClass{"", RetryNever, RetryUnsent, RetryRepeatable}, t.Retry) {
		fail("retry", "unknown retry class %q; known: never, unsent, repeatable", t.Retry)
	}
	if !slices.Contains([]Class{"", ClassShort, ClassLong}, t.Class) {
		fail("class", "unknown class %q; known: short, long", t.Class)
	}
	if t.Protected && t.Retry == RetryRepeatable {
		fail("retry", "a protected call runs at most once, so it can't be repeatable")
	}
	if t.Limit != nil {
		checkLimit(t.Limit, fail)
	}
}

// failFunc reports a problem at a field of the consequence.
type failFunc func(field, format string, args ...any)

func checkRefusal(s *ruleSource, fail failFunc) {
	refusal := s.rule.Then.Refuse
	if refusal.Status < minRefusalStatus || refusal.Status > maxRefusalStatus {
		fail("status", "status must lie between %d and %d", minRefusalStatus, maxRefusalStatus)
	}
	if refusal.Reason == "" {
		fail("reason", "refuse has no reason")
	}
	for _, field := range []string{"pool", "priority", "deadline_ms", "protected", "public", "retry", "limit", "class"} {
		if _, given := s.then[field]; given {
			fail(field, "contradictory: a request that is refused can't have %s", field)
		}
	}
}

func checkLimit(l *Limit, fail failFunc) {
	if l.RequestsPerSecond < 0 || l.Concurrent < 0 {
		fail("limit", "a limit can't be negative")
	} else if l.RequestsPerSecond == 0 && l.Concurrent == 0 {
		fail("limit", "limit has neither requests_per_s nor concurrent above 0")
	}
	if !slices.Contains([]LimitScope{"", LimitAll, LimitOrganisation}, l.Per) {
		fail("per", "unknown scope %q; known: organisation, all", l.Per)
	}
}

// checkReachable reports conditions that never hold, and rules shadowed by
// earlier ones that hold whenever they do. It misses some unreachable rules, but
// never reports one that can match.
func checkReachable(c *collector, sources []ruleSource, forms []normalForm) {
	for i, f := range forms {
		if !f.known {
			continue
		}
		if f.neverHolds() {
			c.add(sources[i].when, sources[i].rule.Name, "never reached: when can't hold")
			continue
		}
		if earlier := coveredBy(f, forms[:i]); earlier >= 0 {
			line, _ := lineColumn(c.src, sources[earlier].at)
			c.add(sources[i].at, sources[i].rule.Name,
				"never reached: rule %q at line %d holds first", sources[earlier].rule.Name, line)
		}
	}
}

// coveredBy returns the last of the earlier forms needed to cover f, or -1.
func coveredBy(f normalForm, earlier []normalForm) int {
	last := -1
	for _, conjunction := range f.conjunctions {
		i := slices.IndexFunc(earlier, func(e normalForm) bool { return e.covers(conjunction) })
		if i < 0 {
			return -1
		}
		last = max(last, i)
	}
	return last
}

// checkConstants reports names of models and data centres that the deployment
// doesn't have. A rule that refuses may name a model that was removed.
func checkConstants(c *collector, s *ruleSource, known KnownNames) {
	tree, err := parser.Parse(s.rule.When)
	if err != nil {
		return
	}
	lists := map[string][]string{"data_centre": known.DataCentres}
	if s.rule.Then.Refuse == nil {
		lists["model"] = known.Models
	}
	ast.Walk(&tree.Node, &constantVisitor{c: c, source: s, known: lists})
}

// constantVisitor reports strings that a condition compares with a known subject,
// such as "model", and that aren't among the names listed for it.
type constantVisitor struct {
	c      *collector
	source *ruleSource
	// known holds the allowed names by subject.
	known map[string][]string
}

// Visit implements ast.Visitor.
func (v *constantVisitor) Visit(node *ast.Node) {
	n, ok := (*node).(*ast.BinaryNode)
	if !ok {
		return
	}
	a, ok := parseMembership(n, false)
	known := v.known[a.subject]
	if !ok || known == nil {
		return
	}
	for _, value := range a.values {
		if !slices.Contains(known, value) {
			at := v.source.when + literalOffset(v.source.raw, n.Location().From)
			v.c.add(at, v.source.rule.Name, "unknown %s %q; known: %s", a.subject, value, strings.Join(known, ", "))
		}
	}
}
