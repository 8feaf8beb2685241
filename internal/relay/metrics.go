package relay

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"tamarackchute/placement"
	"tamarackchute/reach"
)

// metrics records the relay's metrics by rule. The library caches scopes and counters,
// so getting one again is a lookup.
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

// forRule returns the scope of a rule's metrics; the rule is empty if none matched.
func (m *metrics) forRule(rule string) tally.Scope {
	return m.scope.Tagged(map[string]string{"rule": rule})
}

// recordMismatch counts a dropped response that belongs to another request.
func (m *metrics) recordMismatch() { m.scope.Counter("mismatched_responses").Inc(1) }

// recordRequest counts a request by its outcome; a nil failure means that it was answered.
func (m *metrics) recordRequest(c *call, f *failure) {
	rule := ""
	if c.rule != nil {
		rule = c.rule.Name
	}
	s := m.forRule(rule)
	if c.forwarded != nil {
		// The daemon that took it from its caller counts its end.
		s.Tagged(map[string]string{"answered": strconv.FormatBool(f == nil)}).Counter("requests_taken_over").Inc(1)
		return
	}
	if f != nil {
		s.Tagged(map[string]string{"reason": string(f.reason), "ran": strconv.FormatBool(c.attempts.MayHaveRun())}).Counter("requests_failed").Inc(1)
		return
	}
	s.Counter("requests_answered").Inc(1)
	s.Histogram("whole_answer", m.buckets).RecordDuration(time.Since(c.arrived))
	if c.stream != nil {
		s.Histogram("first_event", m.buckets).RecordDuration(c.stream.started.Sub(c.arrived))
		s.Histogram("longest_pause", m.buckets).RecordDuration(c.stream.longestGap)
	}
}

// recordHealth counts an ejection of an upstream, or its end.
func (m *metrics) recordHealth(pool string, change placement.HealthChange) {
	name := "upstreams_ejected"
	if change == placement.HealthReadmitted {
		name = "upstreams_readmitted"
	}
	m.scope.Tagged(map[string]string{"pool": pool}).Counter(name).Inc(1)
}

// recordLastResort counts an attempt at an upstream that only gets what no other one takes.
func (m *metrics) recordLastResort(pool string) {
	m.scope.Tagged(map[string]string{"pool": pool}).Counter("last_resort_attempts").Inc(1)
}

// recordPath counts a path to a pool's upstreams that was lost, or works again.
func (m *metrics) recordPath(pool string, change reach.Change) {
	name := "paths_lost"
	if change == reach.Regained {
		name = "paths_regained"
	}
	m.scope.Tagged(map[string]string{"pool": pool}).Counter(name).Inc(1)
}

// recordContradicted counts an upstream that refuses connections of this daemon, but not of another.
func (m *metrics) recordContradicted() { m.scope.Counter("crashes_contradicted").Inc(1) }

// recordForward counts a request that was sent to another daemon, by its result.
func (m *metrics) recordForward(pool string, res result) {
	fate := "answered"
	if !res.done {
		fate = res.execution.String()
	}
	m.scope.Tagged(map[string]string{"pool": pool, "fate": fate}).Counter("requests_forwarded").Inc(1)
}

// recordReturn counts a request that another daemon hasn't ended; sound says that nothing had failed there.
func (m *metrics) recordReturn(pool string, sound bool) {
	m.scope.Tagged(map[string]string{"pool": pool, "sound": strconv.FormatBool(sound)}).Counter("requests_taken_back").Inc(1)
}

// recordLeftOver counts a stream that the exit of this process ends.
func (m *metrics) recordLeftOver(pool string) {
	m.scope.Tagged(map[string]string{"pool": pool}).Counter("streams_left_over").Inc(1)
}

// recordLeaving counts an upstream that has said that it is draining.
func (m *metrics) recordLeaving(pool string) {
	m.scope.Tagged(map[string]string{"pool": pool}).Counter("upstreams_leaving").Inc(1)
}

// recordBackoff counts a backoff that an upstream has asked for.
func (m *metrics) recordBackoff(pool string) {
	m.scope.Tagged(map[string]string{"pool": pool}).Counter("upstream_backoffs").Inc(1)
}

// recordLimit counts a change of an upstream's limit.
func (m *metrics) recordLimit(pool string, limited bool) {
	m.scope.Tagged(map[string]string{"pool": pool, "limited": strconv.FormatBool(limited)}).Counter("upstream_limits").Inc(1)
}

// recordHeldBack counts a request that wasn't sent because the upstream wants none.
func (m *metrics) recordHeldBack(pool string, cause error) {
	m.scope.Tagged(map[string]string{"pool": pool, "cause": cause.Error()}).Counter("sends_held_back").Inc(1)
}

// recordPanic counts a panic of a request's handler.
func (m *metrics) recordPanic() { m.scope.Counter("panics").Inc(1) }

// recordQuarantined counts an attempt that was refused because the request is quarantined.
func (m *metrics) recordQuarantined(pool string) {
	m.scope.Tagged(map[string]string{"pool": pool}).Counter("requests_quarantined").Inc(1)
}

// recordTrial counts an attempt of a request that is suspected of crashing upstreams.
func (m *metrics) recordTrial(pool string) {
	m.scope.Tagged(map[string]string{"pool": pool}).Counter("suspects_tried").Inc(1)
}

// recordAttempt counts an attempt by its result.
func (m *metrics) recordAttempt(c *call, p *assignment, res result) {
	s := m.forRule(c.rule.Name)
	result := "answered"
	if !res.done {
		result = res.execution.String()
	}
	s.Tagged(map[string]string{"fate": result}).Counter("attempts").Inc(1)
	s.Histogram("waited_for_place", m.buckets).RecordDuration(p.waited)
}
