package claim

import "time"

// phase is what the ledger knows of a key.
type phase uint8

// The phases. Their numbers stand in checkpoints.
const (
	// phaseFree: no claim stands.
	phaseFree phase = 0
	// phaseClaimed: an attempt may run, or runs.
	phaseClaimed phase = 1
	// phaseDone: it ran and its answer was recorded, whole or not.
	phaseDone phase = 2
	// phaseBrokenOff: it may have run; its answer will never be known.
	phaseBrokenOff phase = 3
	// phaseSpent stands in checkpoints for an attempt that was decided against.
	phaseRetired phase = 4
)

// row is what is kept of a key for as long as it is known.
type row struct {
	digest uint64
	status uint16
	phase  phase
}

// buckets keeps rows by the time of their claim, so that whole buckets expire
// and no list of single expiries is needed.
type buckets struct {
	width  time.Duration
	ttl    time.Duration
	byTime map[int64]*bucket
	size   int
}

// bucket holds the keys that were claimed within its time.
type bucket struct {
	rows map[KeyID]row
	// spent holds the attempts that lost or were withdrawn. A late copy of
	// such a claim must not win: nobody would run it.
	retired map[AttemptID]struct{}
}

// bucketsPerKeep sets how finely keys expire.
const bucketsPerTTL = 16

func newBuckets(keep time.Duration) *buckets {
	return &buckets{
		width:  max(keep/bucketsPerTTL, time.Millisecond),
		ttl:    keep,
		byTime: map[int64]*bucket{},
	}
}

func (b *buckets) index(at time.Time) int64 { return at.UnixMilli() / b.width.Milliseconds() }

// at returns the bucket with that index, made if need be.
func (b *buckets) at(index int64) *bucket {
	k, ok := b.byTime[index]
	if ok {
		return k
	}
	k = &bucket{rows: map[KeyID]row{}, retired: map[AttemptID]struct{}{}}
	b.byTime[index] = k
	return k
}

// find returns the row of a key and the bucket that holds it.
func (b *buckets) find(key KeyID) (row, *bucket) {
	for _, k := range b.byTime {
		if r, ok := k.rows[key]; ok {
			return r, k
		}
	}
	return row{}, nil
}

func (b *buckets) put(index int64, key KeyID, r row) {
	b.at(index).rows[key] = r
	b.size++
}

func (b *buckets) remove(key KeyID) {
	if _, k := b.find(key); k != nil {
		delete(k.rows, key)
		b.size--
	}
}

func (b *buckets) retire(index int64, a AttemptID) {
	if b.isRetired(a) {
		return
	}
	b.at(index).retired[a] = struct{}{}
	b.size++
}

func (b *buckets) isRetired(a AttemptID) bool {
	for _, k := range b.byTime {
		if _, ok := k.retired[a]; ok {
			return true
		}
	}
	return false
}

// expire drops the buckets whose last moment is longer ago than keep, and
// calls dropped for each of their keys.
func (b *buckets) expire(now time.Time, dropped func(KeyID, row)) {
	limit := b.index(now.Add(-b.ttl))
	for index, k := range b.byTime {
		if index >= limit {
			continue
		}
		for key, r := range k.rows {
			dropped(key, r)
		}
		b.size -= len(k.rows) + len(k.retired)
		delete(b.byTime, index)
	}
}
