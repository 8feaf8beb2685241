package journal

import (
	"time"

	"github.com/twmb/murmur3"
)

// defaultMaxIDs bounds the entry IDs in each of a deduper's two generations.
const defaultMaxIDs = 1 << 19

// idHash stands for an entry ID in 16 bytes.
type idHash [2]uint64

// deduper tells entries that were folded before. It keeps the IDs of two
// generations by the log's clock, each as long as the window, so that an ID is
// known for at least one window and memory is bounded. Generations follow from
// the records alone, so every reader of the same records gives the same
// verdicts; only a generation that overflows its bound is closed early.
type deduper struct {
	window   time.Duration
	maxIDs   int
	epoch    int64
	current  map[idHash]struct{}
	previous map[idHash]struct{}
}

func newDeduper(window time.Duration, maxIDs int) *deduper {
	return &deduper{
		window:   window,
		maxIDs:   maxIDs,
		current:  map[idHash]struct{}{},
		previous: map[idHash]struct{}{},
	}
}

// first reports whether id is seen for the first time, and remembers it.
func (d *deduper) first(id string, at time.Time) bool {
	d.advance(at)
	a, b := murmur3.StringSum128(id)
	h := idHash{a, b}
	if _, ok := d.current[h]; ok {
		return false
	}
	if _, ok := d.previous[h]; ok {
		return false
	}
	if len(d.current) >= d.maxIDs {
		d.rotate()
	}
	d.current[h] = struct{}{}
	return true
}

// advance closes generations that the log's clock has left.
func (d *deduper) advance(at time.Time) {
	epoch := at.UnixNano() / int64(d.window)
	if epoch <= d.epoch {
		return
	}
	stepped := epoch - d.epoch
	d.epoch = epoch
	d.rotate()
	if stepped > 1 {
		d.rotate()
	}
}

func (d *deduper) rotate() {
	d.previous = d.current
	d.current = map[idHash]struct{}{}
}
