package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// timeoutBucketRatio is the ratio between the bounds of a histogram bucket.
	timeoutBucketRatio = 1.02
	// commonShare is the share of a rule's requests from which a timeout counts as
	// common. First attempts are at least half of the requests, while the timeouts of
	// retries are what is left of the first one's, and so differ.
	commonShare = 0.3
	// timeoutSamples is the number of requests after which a count has decayed to 1/e.
	timeoutSamples = 500
)

// timeoutStats keeps the distribution of caller timeouts by rule, to tell first attempts
// from retries. Callers of one rule may use different timeouts: a request whose timeout
// many others share is a first attempt.
type timeoutStats struct {
	mu    sync.Mutex
	rules map[string]*timeoutHistogram
}

// timeoutHistogram holds exponentially decaying counts of a rule's timeouts, by
// logarithmic bucket.
type timeoutHistogram struct {
	counts map[int]float64
	sum    float64
}

// isRetry records a timeout, and reports whether it is what is left of a longer one.
func (s *timeoutStats) isRetry(rule string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rules == nil {
		s.rules = make(map[string]*timeoutHistogram)
	}
	h := s.rules[rule]
	if h == nil {
		h = &timeoutHistogram{counts: make(map[int]float64)}
		s.rules[rule] = h
	}
	bucket := bucketOf(timeout)
	h.add(bucket)
	return !h.common(bucket) && h.hasLongerCommon(bucket)
}

// retain drops the rules that aren't in force.
func (s *timeoutStats) retain(inForce map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for rule := range s.rules {
		if !inForce[rule] {
			delete(s.rules, rule)
		}
	}
}

func bucketOf(timeout time.Duration) int {
	return int(math.Floor(math.Log(float64(timeout)) / math.Log(timeoutBucketRatio)))
}

// minBucketCount is the count below which a bucket is dropped.
const minBucketCount = 0.05

// add counts a timeout after decaying all counts.
func (h *timeoutHistogram) add(bucket int) {
	const decay = 1 - 1.0/timeoutSamples
	for other, n := range h.counts {
		if n *= decay; n < minBucketCount {
			h.sum -= h.counts[other] * decay
			delete(h.counts, other)
			continue
		}
		h.counts[other] = n
	}
	h.sum = h.sum*decay + 1
	h.counts[bucket]++
}

// common reports whether many requests have this timeout. The neighbouring buckets
// count too, since a timeout near a bucket's bound is spread over both.
func (h *timeoutHistogram) common(bucket int) bool {
	n := h.counts[bucket-1] + h.counts[bucket] + h.counts[bucket+1]
	return n >= commonShare*h.sum
}

// hasLongerCommon reports whether a common timeout is so much longer that this one can
// be what is left of it.
func (h *timeoutHistogram) hasLongerCommon(bucket int) bool {
	from := bucket + int(math.Ceil(math.Log(1/retriedShare)/math.Log(timeoutBucketRatio)))
	for other := range h.counts {
		if other >= from && h.common(other) {
			return true
		}
	}
	return false
}
