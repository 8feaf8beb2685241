package member

import (
	"slices"
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

// unavailableEntry is an unavailable engine and the aggregate's version when it was recorded.
type unavailableEntry struct {
	unavailableEngine
	version uint64
}

// unavailableSlack is the difference up to which the ends of unavailability in two reports count
// as equal: each report took some time to arrive.
const unavailableSlack = 200 * time.Millisecond

// applyUnavailable records unavailable engines. The later of two ends counts.
func (a *loadAggregate) applyUnavailable(engines []wire.UnavailableEngine, now time.Time) {
	for _, e := range engines {
		until := now.Add(e.Remaining)
		if known := a.unavailable[e.Engine]; known.to == e.TargetRole && !until.After(known.until.Add(unavailableSlack)) {
			continue
		}
		a.unavailable[e.Engine] = unavailableEntry{unavailableEngine{to: e.TargetRole, until: until}, a.version}
	}
}

// unavailableSince returns the unavailable engines that were added after a version.
func (a *loadAggregate) unavailableSince(version uint64, now time.Time) []wire.UnavailableEngine {
	var list []wire.UnavailableEngine
	for at, e := range a.unavailable {
		switch {
		case !now.Before(e.until):
			delete(a.unavailable, at)
		case e.version > version:
			list = append(list, wire.UnavailableEngine{Engine: at, TargetRole: e.to, Remaining: e.until.Sub(now)})
		}
	}
	return list
}

// maxPendingPrefills limits the prefill events kept for a silent daemon: those of some
// hundred milliseconds in a large site. At worst a dropped prompt is prefilled again elsewhere.
const maxPendingPrefills = 2000

// forwardPrefills queues one sender's prefill events for all others.
func (a *loadAggregate) forwardPrefills(from *contribution, events []placement.PrefillEvent) {
	if len(events) == 0 {
		return
	}
	for _, to := range a.children {
		if to != from {
			to.addPrefills(events)
		}
	}
	if from != a.parent {
		a.parent.addPrefills(events)
	}
}

func (c *contribution) addPrefills(events []placement.PrefillEvent) {
	c.pendingPrefills = append(c.pendingPrefills, events...)
	if over := len(c.pendingPrefills) - maxPendingPrefills; over > 0 {
		c.pendingPrefills = slices.Delete(c.pendingPrefills, 0, over)
	}
}

func (c *contribution) takePrefills() []placement.PrefillEvent {
	events := c.pendingPrefills
	c.pendingPrefills = nil
	return events
}
