// Package pathset holds an ordered rule set whose conditions are a host and the
// beginning of a path. Rules are ordered by the length of their prefix, longest
// first, and the first that holds decides, as in package rules; a match costs
// one map lookup a host and one a level of the path instead of a walk over the
// whole list, so that sets of thousands of rules stay cheap.
package pathset

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Repeat says how often a request may be run by upstreams.
type Repeat uint8

// The kinds of repetition.
const (
	// Once runs a request at most once: a second run would act a second time.
	Once Repeat = iota
	// Idempotent lets a request run again after any failure.
	Idempotent
	// Resumable lets a stream go on at another upstream after the last event
	// that the caller has.
	Resumable
)

// Target is one pool that a rule sends requests to, by weight.
type Target struct {
	Pool   string
	Weight float64
}

// Rule is one entry of the ordered set.
type Rule struct {
	Name string
	// Host and Prefix are the condition. Prefix begins and ends with a slash.
	Host, Prefix string
	// Targets are the pools that share the rule's requests; one at least.
	Targets []Target
	Repeat  Repeat
	// Stream says that the answer is a series of events.
	Stream bool
	// Timeout bounds the time to the whole answer; 0 leaves it to the caller.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most; for a stream,
	// the time to its first event.
	Objective time.Duration
	// PauseObjective is the longest pause between the events of a stream.
	PauseObjective time.Duration
	// MaxAttempts is the most upstreams that one request may be sent to.
	MaxAttempts int
	// Priority ranks rules; 0 is the most urgent.
	Priority int
	// SharedPrompts says that requests share the beginnings of their prompts.
	SharedPrompts bool
}

// Pool draws the pool for one request by the targets' weights.
func (r *Rule) Pool() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	draw := rand.Float64() * total
	for _, t := range r.Targets {
		if draw -= t.Weight; draw < 0 {
			return t.Pool
		}
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Set is a rule set, ready to match. It never changes.
type Set struct {
	rules []Rule
	hosts map[string]map[string]*Rule
}

// New returns the set of some rules. Of two rules with the same host and prefix
// the first decides.
func New(rules []Rule) *Set {
	s := &Set{rules: rules, hosts: make(map[string]map[string]*Rule)}
	for i := range rules {
		r := &rules[i]
		byPrefix := s.hosts[r.Host]
		if byPrefix == nil {
			byPrefix = make(map[string]*Rule)
			s.hosts[r.Host] = byPrefix
		}
		if _, taken := byPrefix[r.Prefix]; !taken {
			byPrefix[r.Prefix] = r
		}
	}
	return s
}

// Match returns the first rule that holds: of the host's rules, the one whose
// prefix is the longest beginning of the path.
func (s *Set) Match(host, path string) (*Rule, bool) {
	byPrefix := s.hosts[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := byPrefix[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Rules returns the rules of the set. The caller must not change them.
func (s *Set) Rules() []Rule { return s.rules }
