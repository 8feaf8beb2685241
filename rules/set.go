package rules

import (
	"sync"
	"sync/atomic"

	"github.com/expr-lang/expr/conf"
	"github.com/expr-lang/expr/vm"

	"tamarackchute/apikey"
)

// Set is a compiled rule set. It is immutable and safe for concurrent use.
type Set struct {
	document []byte
	rules    []Rule
	// keys is nil if the document has no organisations.
	keys     *apikey.Set
	compiled []compiledRule
	machines sync.Pool
	failures atomic.Uint64
}

type compiledRule struct {
	guards []guard
	// program is nil if the guards decide the condition.
	program *vm.Program
}

// Parse checks a document and compiles it. An error is an *InvalidError that
// lists all problems.
func Parse(src []byte, known KnownNames) (*Set, error) {
	c := &collector{src: src}
	s := &Set{document: src}
	sources := decode(c, s)
	s.machines.New = func() any { return new(vm.VM) }
	forms := make([]normalForm, len(sources))
	config := conditionConfig()
	for i := range sources {
		var compiled compiledRule
		compiled, forms[i] = compileRule(c, config, &sources[i], known)
		s.rules = append(s.rules, sources[i].rule)
		s.compiled = append(s.compiled, compiled)
	}
	checkNames(c, sources)
	checkReachable(c, sources, forms)
	if err := c.err(); err != nil {
		return nil, err
	}
	return s, nil
}

func compileRule(c *collector, config *conf.Config, s *ruleSource, known KnownNames) (compiledRule, normalForm) {
	if s.complete {
		checkThen(c, s, known)
	}
	if s.raw == nil || s.raw[0] != '"' {
		return compiledRule{}, normalForm{}
	}
	if len(s.rule.When) > MaxConditionBytes {
		c.add(s.when, s.rule.Name, "when has %d bytes, more than %d", len(s.rule.When), MaxConditionBytes)
		return compiledRule{}, normalForm{}
	}
	program, f, fault := compileCondition(config, s.rule.When)
	if fault != nil {
		c.add(s.when+literalOffset(s.raw, fault.at), s.rule.Name, "when: %s", fault.message)
		return compiledRule{}, normalForm{}
	}
	checkConstants(c, s, known)
	guards, complete := newGuards(f)
	if complete {
		program = nil
	}
	return compiledRule{guards: guards, program: program}, f
}

// Document returns the source of the set. The caller must not change it.
func (s *Set) Document() []byte { return s.document }

// Rules returns the rules in their order. The caller must not change them.
func (s *Set) Rules() []Rule { return s.rules }

// Failures returns how often the evaluation of a condition failed, for example by
// a division by zero. Each failure counts as no match.
func (s *Set) Failures() uint64 { return s.failures.Load() }

// Match returns the decision of the first rule that holds. The decision doesn't
// refer to the request's strings.
func (s *Set) Match(r Request) Decision {
	if s.keys == nil {
		return s.match(r)
	}
	holder := s.holder(&r)
	r.Organisation = ""
	if holder != nil {
		r.Organisation = holder.Name
	}
	return s.identify(s.match(r), holder)
}

func (s *Set) match(r Request) Decision {
	var e evaluation
	defer e.release(s)
	for i := range s.compiled {
		rule := &s.compiled[i]
		if !rule.guardsHold(&r) {
			continue
		}
		if rule.program != nil && !e.holds(s, rule.program, &r) {
			continue
		}
		return Decision{Rule: s.rules[i].Name, Index: i, Then: s.rules[i].Then, Matched: true}
	}
	return noMatch
}

func (c *compiledRule) guardsHold(r *Request) bool {
	for i := range c.guards {
		if !c.guards[i].holds(r) {
			return false
		}
	}
	return true
}

// evaluation runs programs for one request. It is initialised when the first
// program runs, as most requests need none.
type evaluation struct {
	machine     *vm.VM
	environment any
}

func (e *evaluation) holds(s *Set, program *vm.Program, r *Request) bool {
	if e.machine == nil {
		e.machine = s.machines.Get().(*vm.VM)
		e.environment = newEnvironment(r)
	}
	result, err := e.machine.Run(program, e.environment)
	if err != nil {
		s.failures.Add(1)
		return false
	}
	holds, _ := result.(bool)
	return holds
}

// release returns the machine to the pool. Its stack is cleared first, as it may refer
// to the request's strings, whose memory the HTTP library reuses.
func (e *evaluation) release(s *Set) {
	if e.machine == nil {
		return
	}
	clear(e.machine.Stack[:cap(e.machine.Stack)])
	s.machines.Put(e.machine)
}
