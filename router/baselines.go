package router

import (
	"math/rand/v2"
	"sync/atomic"
)

// LeastCost always takes the candidate with the lowest cost. It is a baseline for
// measurements: with delayed reports several processes pick the same one.
type LeastCost struct{}

// Pick implements Picker.
func (LeastCost) Pick(cands []Candidate, _ *Request, _ *rand.Rand) (int, PlanReason) {
	return lowestCost(cands), ReasonLeastCost
}

// LeastOutstanding takes the candidate with the fewest requests of this process
// in flight, at random among equals.
type LeastOutstanding struct{}

// Pick implements Picker.
func (LeastOutstanding) Pick(cands []Candidate, _ *Request, rnd *rand.Rand) (int, PlanReason) {
	best, equals := 0, 1
	for i := 1; i < len(cands); i++ {
		switch {
		case cands[i].InFlight < cands[best].InFlight:
			best, equals = i, 1
		case cands[i].InFlight == cands[best].InFlight:
			if equals++; rnd.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return best, ReasonLeastCost
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (p *RoundRobin) Pick(cands []Candidate, _ *Request, _ *rand.Rand) (int, PlanReason) {
	return int((p.next.Add(1) - 1) % uint64(len(cands))), ReasonLeastCost
}

// Baseline returns a constructor of pipelines with the default filters and
// scorers, the given picker, and no split of prefill and decode.
func Baseline(p Picker) func(Config) *Scheduler {
	return func(cfg Config) *Scheduler {
		s := NewScheduler(cfg)
		s.Picker = p
		s.cfg.MinSplitTokens = neverSplitTokens
		return s
	}
}

// neverSplitTokens is a prompt length that no request reaches.
const neverSplitTokens = 1 << 40
