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
func (b *timeoutStats) isRetry(rule string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rules == nil {
		b.rules = make(map[string]*timeoutHistogram)
	}
	s := b.rules[rule]
	if s == nil {
		s = &timeoutHistogram{counts: make(map[int]float64)}
		b.rules[rule] = s
	}
	bucket := bucketOf(timeout)
	s.add(bucket)
	return !s.common(bucket) && s.hasLongerCommon(bucket)
}

// retain drops the rules that aren't in force.
func (b *timeoutStats) retain(inForce map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for rule := range b.rules {
		if !inForce[rule] {
			delete(b.rules, rule)
		}
	}
}

func bucketOf(timeout time.Duration) int {
	return int(math.Floor(math.Log(float64(timeout)) / math.Log(timeoutBucketRatio)))
}

// minBucketCount is the count below which a bucket is dropped.
const minBucketCount = 0.05

func (s *timeoutHistogram) add(bucket int) {
	const decay = 1 - 1.0/timeoutSamples
	for other, n := range s.counts {
		if n *= decay; n < minBucketCount {
			s.sum -= s.counts[other] * decay
			delete(s.counts, other)
			continue
		}
		s.counts[other] = n
	}
	s.sum = s.sum*decay + 1
	s.counts[bucket]++
}

// common reports whether many requests have this timeout. The neighbouring buckets
// count too, since a timeout near a bucket's bound is spread over both.
func (s *timeoutHistogram) common(bucket int) bool {
	n := s.counts[bucket-1] + s.counts[bucket] + s.counts[bucket+1]
	return n >= commonShare*s.sum
}

// hasLongerCommon reports whether a common timeout is so much longer that this one can
// be what is left of it.
func (s *timeoutHistogram) hasLongerCommon(bucket int) bool {
	from := bucket + int(math.Ceil(math.Log(1/retriedShare)/math.Log(timeoutBucketRatio)))
	for other := range s.counts {
		if other >= from && s.common(other) {
			return true
		}
	}
	return false
}
