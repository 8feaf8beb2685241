package relay

import (
	"sync"
	"time"
)

const (
	// usualTimeStep is the share by which the usual time moves with each response.
	usualTimeStep = 0.1
	minTimeStep   = 5 * time.Millisecond
	// maxUsualTimes bounds the rules and pools whose times are kept.
	maxUsualTimes = 1024
	// usualTimeoutFactor is how many times the usual time a response may take to begin.
	usualTimeoutFactor = 2
)

// responseTimes estimates for each rule and pool the median of the times until responses begin. The median isn't
// moved by a minority of silent upstreams. The zero value is ready for use.
type responseTimes struct {
	mu      sync.Mutex
	medians map[responseKind]time.Duration
}

// responseKind names requests that take alike.
type responseKind struct{ rule, pool string }

// record adds the time until a response began.
func (t *responseTimes) record(k responseKind, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	median, known := t.medians[k]
	switch step := max(minTimeStep, time.Duration(usualTimeStep*float64(median))); {
	case !known && len(t.medians) >= maxUsualTimes:
		return
	case !known && t.medians == nil:
		t.medians = map[responseKind]time.Duration{k: took}
	case !known:
		t.medians[k] = took
	case took > median:
		t.medians[k] = min(took, median+step)
	default:
		t.medians[k] = max(took, median-step)
	}
}

// usual returns the estimate, 0 if there is none.
func (t *responseTimes) usual(k responseKind) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.medians[k]
}

// retain drops the kinds that aren't kept.
func (t *responseTimes) retain(keep func(responseKind) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.medians {
		if !keep(k) {
			delete(t.medians, k)
		}
	}
}

func (c *call) responseKind() responseKind { return responseKind{c.rule.Name, c.pool} }

// usualTime returns how long responses to such requests usually take to begin, 0 if that isn't known, or is predicted by
// placement.
func (c *call) usualTime() time.Duration {
	if c.Generation != nil || c.rule.Stream {
		return 0
	}
	return c.relay.responseTimes.usual(c.responseKind())
}
