package relay

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
)

// continuesStream reports whether the call goes on with a stream that has begun, here or in an earlier request of its
// caller.
func (c *call) continuesStream() bool {
	return c.stream != nil || c.rule.Stream && (c.origin.fixed || c.ResumeAfter > 0)
}

// isTakenUp reports whether the call goes on with a stream of which this call has brought nothing yet: its caller may still
// be told to come back.
func (c *call) isTakenUp() bool { return c.continuesStream() && !c.hasBegun() }

// beyondChoice returns the upstreams of the pool at which the call can't be placed whatever their state: the stream has
// begun at another version, or the call has no attempt left for them.
func (c *call) beyondChoice(s *fleet.Snapshot) []string {
	return slices.Concat(c.otherVersions(s), c.beyondAttempts(s))
}

// health returns the health of the upstreams among which the call has a choice.
func (c *call) health() placement.PoolHealth {
	return c.relay.cfg.Tracker.HealthWithout(c.pool, c.beyondChoice(c.relay.cfg.State.Snapshot()))
}

// checkChoice returns a failure for a stream that its caller takes up, if no upstream takes it within the time for which it
// may be queued.
func (c *call) checkChoice(wait time.Duration) *failure {
	if !c.isTakenUp() {
		return nil
	}
	unsuited := slices.Concat(c.excluded, c.beyondChoice(c.relay.cfg.State.Snapshot()))
	usableIn, ok := c.relay.cfg.Tracker.UsableIn(c.pool, unsuited)
	if ok && usableIn <= wait {
		return nil
	}
	f := c.failCapacity()
	if ok {
		f.retryAfter = max(f.retryAfter, usableIn)
	}
	return f
}

// hasOther reports whether the call may be placed at another upstream that answers than the given one, in whatever state.
func (c *call) hasOther(id string) bool {
	unsuited := slices.Concat([]string{id}, c.excluded, c.beyondChoice(c.relay.cfg.State.Snapshot()))
	_, ok := c.relay.cfg.Tracker.UsableIn(c.pool, unsuited)
	return ok
}

// turn returns the call's position among those that wait for capacity.
func (c *call) turn(late bool) turn {
	t := turn{class: onTime, choice: c.choice()}
	if late {
		t.class = lateRequest
	}
	return t
}

// queue returns where the call waits for capacity.
func (c *call) queue() *queue {
	if c.isTakenUp() {
		return c.relay.streamQueue(c.pool)
	}
	return c.relay.queue(c.rule.Name)
}

// streamsAhead returns the queue of the taken-up streams that try before the call does: these may have no other place. It is
// nil for such a stream itself.
func (c *call) streamsAhead() *queue {
	if c.isTakenUp() {
		return nil
	}
	return c.relay.streamQueue(c.pool)
}

// choice names what narrows the call's choice of upstreams; it is empty if nothing does.
func (c *call) choice() string {
	var by []string
	if c.origin.fixed {
		by = append(by, fmt.Sprintf("version %q", c.origin.version))
	}
	if excluded := c.excludedNow(); len(excluded) > 0 {
		slices.Sort(excluded)
		by = append(by, fmt.Sprintf("without %q", excluded))
	}
	if c.goesOnOnly() {
		only := slices.Clone(c.returnedFrom)
		slices.Sort(only)
		by = append(by, fmt.Sprintf("only %q", only))
	}
	if c.withoutPrefill {
		by = append(by, "without prefill")
	}
	if c.trial.suspected {
		by = append(by, "suspect "+c.trial.digest.String())
	}
	return strings.Join(by, ", ")
}
