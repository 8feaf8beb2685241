package gateway

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"tamarackchute/internal/entry/outcome"
)

// metrics are the gateway's metrics.
type metrics struct {
	scope      tally.Scope
	answered   tally.Counter
	streams    tally.Counter
	resumed    tally.Counter
	continued  tally.Counter
	tokens     tally.Counter
	firstToken tally.Histogram
	complete   tally.Histogram

	mu       sync.Mutex
	failures map[failureKey]tally.Counter
}

type failureKey struct {
	code      outcome.Code
	execution outcome.Execution
}

func newMetrics(s tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)
	return &metrics{
		scope:      s,
		answered:   s.Counter("requests_answered"),
		streams:    s.Counter("streams_begun"),
		resumed:    s.Counter("streams_resumed"),
		continued:  s.Counter("answers_continued_elsewhere"),
		tokens:     s.Counter("output_tokens"),
		firstToken: s.Histogram("first_token", buckets),
		complete:   s.Histogram("whole_answer", buckets),
		failures:   map[failureKey]tally.Counter{},
	}
}

// failed counts a failure by its code and execution.
func (m *metrics) failed(f *outcome.Failure) {
	m.failureCounter(failureKey{f.Code, f.Execution}).Inc(1)
}

func (m *metrics) failureCounter(key failureKey) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter := m.failures[key]
	if counter == nil {
		tags := map[string]string{"reason": string(key.code), "outcome": string(key.execution)}
		counter = m.scope.Tagged(tags).Counter("requests_failed")
		m.failures[key] = counter
	}
	return counter
}
