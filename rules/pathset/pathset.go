// Package pathset implements rule sets whose conditions are a host and a path
// prefix. The rule with the longest matching prefix decides. A match costs one map
// lookup for the host and one for each level of the path instead of a scan of the
// list, so that sets of thousands of rules stay cheap.
package pathset

import (
	"math/rand/v2"
	"strings"
	"time"
)

// RetryMode says whether upstreams may run a request more than once.
type RetryMode uint8

// The values of RetryMode.
const (
	// NonIdempotent runs a request at most once: a second run would repeat its effects.
	NonIdempotent RetryMode = iota
	// Idempotent lets a request run again after any failure.
	Idempotent
	// Resumable lets a stream continue at another upstream after the last event
	// that the caller received.
	Resumable
)

// Target is one pool that a rule sends requests to, by weight.
type Target struct {
	Pool   string
	Weight float64
}

// Rule is one entry of a set.
type Rule struct {
	Name string
	// Host and Prefix are the condition. Prefix begins and ends with a slash.
	Host, Prefix string
	// Targets are the pools that share the rule's requests; at least one.
	Targets   []Target
	RetryMode RetryMode
	// Stream says that the response is a series of events.
	Stream bool
	// Timeout bounds the time to the complete response; 0 leaves it to the caller.
	Timeout time.Duration
	// Objective is the target latency of a response; for a stream, of its first
	// event.
	Objective time.Duration
	// GapObjective is the target for the longest gap between the events of a stream.
	GapObjective time.Duration
	// MaxAttempts bounds the number of upstreams that one request is sent to.
	MaxAttempts int
	// Priority ranks requests of different rules; 0 is the most urgent.
	Priority int
	// SharedPrompts says that requests have common prompt prefixes.
	SharedPrompts bool
	// Public says that requests need no API key.
	Public bool
}

// Pool returns a pool for one request, chosen at random by the targets' weights.
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

// Set is an immutable rule set.
type Set struct {
	rules []Rule
	hosts map[string]map[string]*Rule
}

// New returns a set of rules. Of two rules with the same host and prefix, the first
// is used.
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

// Match returns the rule of the host with the longest prefix of the path.
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
