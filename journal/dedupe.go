package journal

import (
	"time"

	"github.com/gammazero/deque"
	"github.com/twmb/murmur3"
)

// defaultMaxIDs bounds the entry IDs that a deduper keeps.
const defaultMaxIDs = 1 << 20

// idHash stands for an entry ID in 16 bytes.
type idHash [2]uint64

// sighting is an ID and when it was first seen by the log's clock.
type sighting struct {
	id idHash
	at time.Time
}

// deduper tells entries that were folded before. It knows an ID for one
// window by the log's clock, and drops the oldest one early only when it
// holds maxIDs. What it knows follows from the records alone, so every reader
// of the same records gives the same verdicts.
type deduper struct {
	window time.Duration
	maxIDs int
	// now is the latest time of a record; a record with an earlier one
	// doesn't turn it back.
	now     time.Time
	known   map[idHash]struct{}
	inOrder deque.Deque[sighting]
}

func newDeduper(window time.Duration, maxIDs int) *deduper {
	return &deduper{window: window, maxIDs: maxIDs, known: map[idHash]struct{}{}}
}

// first reports whether id is seen for the first time, and remembers it.
func (d *deduper) first(id string, at time.Time) bool {
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
	d.inOrder.PushBack(sighting{id: h, at: d.now})
	return true
}

// expire drops the IDs whose window has passed at the time at.
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
