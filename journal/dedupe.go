package journal

import (
	"time"

	"github.com/gammazero/deque"
	"github.com/twmb/murmur3"
)

// defaultMaxIDs bounds the number of entry IDs that a deduper remembers.
const defaultMaxIDs = 1 << 20

// idHash is the 128-bit hash of an entry ID.
type idHash [2]uint64

// seenID is an ID with the log time at which it was first seen.
type seenID struct {
	id idHash
	at time.Time
}

// deduper detects entries that were applied before. It remembers an ID for one
// window of log time; only when it holds maxIDs does it drop the oldest one
// earlier. Its state depends on the records alone, so all readers of the same
// records make the same decisions.
type deduper struct {
	window time.Duration
	maxIDs int
	// now is the latest time of a record. It never goes back, even if a later
	// record has an earlier time.
	now     time.Time
	known   map[idHash]struct{}
	inOrder deque.Deque[seenID]
}

func newDeduper(window time.Duration, maxIDs int) *deduper {
	return &deduper{window: window, maxIDs: maxIDs, known: map[idHash]struct{}{}}
}

// addIfNew remembers id and reports whether it wasn't known yet.
func (d *deduper) addIfNew(id string, at time.Time) bool {
	d.expire(at)
	a, b := murmur3.StringSum128(id)
	h := idHash{a, b}
	if _, ok := d.known[h]; ok {
		return false
	}
	if len(d.known) >= d.maxIDs {
		d.dropOldest()
	}
	d.known[h] = struct{}{}
	d.inOrder.PushBack(seenID{id: h, at: d.now})
	return true
}

// expire advances the log time to at and drops the IDs whose window has passed.
func (d *deduper) expire(at time.Time) {
	if at.After(d.now) {
		d.now = at
	}
	for d.inOrder.Len() > 0 && d.now.Sub(d.inOrder.Front().at) > d.window {
		d.dropOldest()
	}
}

func (d *deduper) dropOldest() {
	delete(d.known, d.inOrder.PopFront().id)
}
