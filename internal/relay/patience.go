package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// patienceStep is the ratio of two patiences that count as different.
	patienceStep = 1.02
	// usualShare is the share of a rule's requests from which a patience counts as
	// usual: those that ask for the first time are half of them at least, and those
	// that come back have what is left of their time, which differs.
	usualShare = 0.3
	// patienceMemory is the number of requests over which shares are taken.
	patienceMemory = 500
)

// patienceBook knows how long the callers of each rule usually wait, to tell
// those that ask for the first time from those that come back. Callers of one rule
// may differ: whoever waits as long as many others do is asking for the first time.
type patienceBook struct {
	mu    sync.Mutex
	rules map[string]*patienceShares
}

// patienceShares holds the decaying counts of a rule's patiences, by step.
type patienceShares struct {
	counts map[int]float64
	sum    float64
}

// comeback reports whether a patience is what is left of a longer one.
func (b *patienceBook) comeback(rule string, p time.Duration) bool {
	if p <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rules == nil {
		b.rules = make(map[string]*patienceShares)
	}
	s := b.rules[rule]
	if s == nil {
		s = &patienceShares{counts: make(map[int]float64)}
		b.rules[rule] = s
	}
	step := stepOf(p)
	s.add(step)
	return !s.usual(step) && s.longerUsual(step)
}

// keep drops the rules that aren't in force any more.
func (b *patienceBook) keep(inForce map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for rule := range b.rules {
		if !inForce[rule] {
			delete(b.rules, rule)
		}
	}
}

func stepOf(p time.Duration) int {
	return int(math.Floor(math.Log(float64(p)) / math.Log(patienceStep)))
}

// forgotten is the count below which a step is dropped.
const forgotten = 0.05

func (s *patienceShares) add(step int) {
	const left = 1 - 1.0/patienceMemory
	for other, n := range s.counts {
		if n *= left; n < forgotten {
			s.sum -= s.counts[other] * left
			delete(s.counts, other)
			continue
		}
		s.counts[other] = n
	}
	s.sum = s.sum*left + 1
	s.counts[step]++
}

// usual reports whether many callers have this patience. It may lie at the edge of
// its step, so that half of them count for the next one.
func (s *patienceShares) usual(step int) bool {
	n := s.counts[step-1] + s.counts[step] + s.counts[step+1]
	return n >= usualShare*s.sum
}

// longerUsual reports whether many callers have a patience of which this one can
// be what is left.
func (s *patienceShares) longerUsual(step int) bool {
	from := step + int(math.Ceil(math.Log(1/comebackShare)/math.Log(patienceStep)))
	for other := range s.counts {
		if other >= from && s.usual(other) {
			return true
		}
	}
	return false
}
