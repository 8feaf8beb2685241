package claim

import "time"

// phase is the state of a key in the ledger.
type phase uint8

// The phases. Their numbers are stored in checkpoints.
const (
	// phaseFree: the key has no accepted claim.
	phaseFree phase = 0
	// phaseClaimed: an attempt may be running.
	phaseClaimed phase = 1
	// phaseDone: it ran, and its response or only its status was recorded.
	phaseDone phase = 2
	// phaseBrokenOff: it may have run; its outcome will never be known.
	phaseBrokenOff phase = 3
	// phaseRetired marks an attempt in a checkpoint whose claim was rejected or
	// withdrawn.
	phaseRetired phase = 4
)

// row is what the ledger keeps of a key until the key expires.
type row struct {
	digest uint64
	status uint16
	phase  phase
}

// buckets groups rows by the time of their claim, so that whole buckets expire
// and no expiry per key is needed.
type buckets struct {
	width  time.Duration
	ttl    time.Duration
	byTime map[int64]*bucket
	size   int
}

// bucket holds the keys that were claimed within its interval.
type bucket struct {
	rows map[KeyID]row
	// retired holds the attempts whose claims were rejected or withdrawn. A late
	// copy of such a claim must not be accepted: nobody would run it.
	retired map[AttemptID]struct{}
}

// bucketsPerTTL sets the granularity of expiry: a key is kept for up to 1/16 of
// the TTL longer.
const bucketsPerTTL = 16

func newBuckets(ttl time.Duration) *buckets {
	return &buckets{
		width:  max(ttl/bucketsPerTTL, time.Millisecond),
		ttl:    ttl,
		byTime: map[int64]*bucket{},
	}
}

func (b *buckets) index(at time.Time) int64 { return at.UnixMilli() / b.width.Milliseconds() }

// at returns the bucket with an index and creates it if there is none.
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

// expire drops the buckets whose interval ended more than ttl ago, and calls
// dropped for each of their keys.
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
