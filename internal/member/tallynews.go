package member

import (
	"slices"
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

// awayWord is an engine that takes no work, and the tally's version of that word.
type awayWord struct {
	awayEngine
	changed uint64
}

// awaySlack is the difference between two accounts of when an engine takes work again
// that count as the same: each has been on its way for a while.
const awaySlack = 200 * time.Millisecond

// noteAway takes word of engines that take no work. Of two times the later one holds.
func (t *tally) noteAway(engines []wire.UnavailableEngine, now time.Time) {
	for _, e := range engines {
		until := now.Add(e.Remaining)
		if known := t.away[e.Engine]; known.to == e.TargetRole && !until.After(known.until.Add(awaySlack)) {
			continue
		}
		t.away[e.Engine] = awayWord{awayEngine{to: e.TargetRole, until: until}, t.version}
	}
}

// awaySince returns the engines that take no work, where that is news since a version.
func (t *tally) awaySince(version uint64, now time.Time) []wire.UnavailableEngine {
	var list []wire.UnavailableEngine
	for at, e := range t.away {
		switch {
		case !now.Before(e.until):
			delete(t.away, at)
		case e.changed > version:
			list = append(list, wire.UnavailableEngine{Engine: at, TargetRole: e.to, Remaining: e.until.Sub(now)})
		}
	}
	return list
}

// maxReads bounds the prompts kept for a daemon that isn't heard from: some hundred
// milliseconds of a large site. What is dropped is read again somewhere at worst.
const maxReads = 2000

// passOn keeps what became of one sender's prompts for all others.
func (t *tally) passOn(from *report, reads []placement.PrefillEvent) {
	if len(reads) == 0 {
		return
	}
	for _, to := range t.reports {
		if to != from {
			to.addReads(reads)
		}
	}
	if from != t.above {
		t.above.addReads(reads)
	}
}

func (r *report) addReads(reads []placement.PrefillEvent) {
	r.reads = append(r.reads, reads...)
	if over := len(r.reads) - maxReads; over > 0 {
		r.reads = slices.Delete(r.reads, 0, over)
	}
}

func (r *report) takeReads() []placement.PrefillEvent {
	reads := r.reads
	r.reads = nil
	return reads
}
