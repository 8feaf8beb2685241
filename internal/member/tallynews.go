package member

import (
	"slices"
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

// awayWord is an engine that takes no work, and the tally's version of that word.
type unavailableEntry struct {
	unavailableEngine
	changed uint64
}

// awaySlack is the difference between two accounts of when an engine takes work again
// that count as the same: each has been on its way for a while.
const unavailableSlack = 200 * time.Millisecond

// noteAway takes word of engines that take no work. Of two times the later one holds.
func (a *loadAggregate) applyUnavailable(engines []wire.AwayEngine, now time.Time) {
	for _, e := range engines {
		until := now.Add(e.Left)
		if known := a.unavailable[e.At]; known.to == e.To && !until.After(known.until.Add(unavailableSlack)) {
			continue
		}
		a.unavailable[e.At] = unavailableEntry{unavailableEngine{to: e.To, until: until}, a.version}
	}
}

// awaySince returns the engines that take no work, where that is news since a version.
func (a *loadAggregate) unavailableSince(version uint64, now time.Time) []wire.AwayEngine {
	var list []wire.AwayEngine
	for at, e := range a.unavailable {
		switch {
		case !now.Before(e.until):
			delete(a.unavailable, at)
		case e.changed > version:
			list = append(list, wire.AwayEngine{At: at, To: e.to, Left: e.until.Sub(now)})
		}
	}
	return list
}

// maxReads bounds the prompts kept for a daemon that isn't heard from: some hundred
// milliseconds of a large site. What is dropped is read again somewhere at worst.
const maxPendingPrefills = 2000

// passOn keeps what became of one sender's prompts for all others.
func (a *loadAggregate) forwardPrefills(from *contribution, reads []placement.PrefillEvent) {
	if len(reads) == 0 {
		return
	}
	for _, to := range a.children {
		if to != from {
			to.addPrefills(reads)
		}
	}
	if from != a.parent {
		a.parent.addPrefills(reads)
	}
}

func (c *contribution) addPrefills(reads []placement.PrefillEvent) {
	c.pendingPrefills = append(c.pendingPrefills, reads...)
	if over := len(c.pendingPrefills) - maxPendingPrefills; over > 0 {
		c.pendingPrefills = slices.Delete(c.pendingPrefills, 0, over)
	}
}

func (c *contribution) takePrefills() []placement.PrefillEvent {
	reads := c.pendingPrefills
	c.pendingPrefills = nil
	return reads
}
