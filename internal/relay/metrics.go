package relay

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the relay's figures, by rule. Scopes and counters are kept by the
// library, so that asking for one again is a lookup.
type metrics struct {
	scope   tally.Scope
	buckets tally.DurationBuckets
}

func newMetrics(s tally.Scope) *metrics {
	if s == nil {
		s = tally.NoopScope
	}
	return &metrics{scope: s, buckets: tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)}
}

func (m *metrics) ofRule(rule string) tally.Scope {
	return m.scope.Tagged(map[string]string{"rule": rule})
}

// ended counts a request by its outcome.
func (m *metrics) ended(c *call, f *failure) {
	rule := ""
	if c.rule != nil {
		rule = c.rule.Name
	}
	s := m.ofRule(rule)
	if f != nil {
		s.Tagged(map[string]string{"reason": string(f.reason), "ran": strconv.FormatBool(c.tries.MayHaveRun())}).Counter("requests_failed").Inc(1)
		return
	}
	s.Counter("requests_answered").Inc(1)
	s.Histogram("whole_answer", m.buckets).RecordDuration(time.Since(c.arrived))
	if c.stream != nil {
		s.Histogram("first_event", m.buckets).RecordDuration(c.stream.started.Sub(c.arrived))
		s.Histogram("longest_pause", m.buckets).RecordDuration(c.stream.gap)
	}
}

// attempt counts an attempt by how it ended.
func (m *metrics) attempt(c *call, p *place, res result) {
	s := m.ofRule(c.rule.Name)
	fate := "answered"
	if !res.done {
		fate = res.fate.String()
	}
	s.Tagged(map[string]string{"fate": fate}).Counter("attempts").Inc(1)
	s.Histogram("waited_for_place", m.buckets).RecordDuration(p.waited)
}
