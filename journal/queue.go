package journal

import "time"

// pendingState is the progress of an entry's append.
type pendingState uint8

const (
	// stateQueued: waiting for the writer.
	stateQueued pendingState = iota
	// stateSending: part of an append that has no reply yet, or whose record the
	// local reader hasn't read yet.
	stateSending
)

// pending is an entry that at least one call of Append waits for.
type pending struct {
	entry    Entry
	size     int
	queuedAt time.Time
	state    pendingState
	// maybeWritten is set before an append with the entry is sent. It is reset
	// only if the log reports that this append will never be written.
	maybeWritten bool
	waiters      int
	// done is closed, with position set, when the local reader has applied the
	// entry.
	done     chan struct{}
	position Position
}

// queue holds the pending entries of one process: all of them by ID, and in
// order those that wait for the writer. It isn't safe for concurrent use.
type queue struct {
	waiting      []*pending
	waitingBytes int
	byID         map[string]*pending
	bytes        int
	maxEntries   int
	maxBytes     int
}

func newQueue(maxEntries, maxBytes int) *queue {
	return &queue{byID: map[string]*pending{}, maxEntries: maxEntries, maxBytes: maxBytes}
}

// add queues an entry, or adds a waiter to the pending entry with the same ID.
// It returns nil if the queue is full.
func (q *queue) add(e Entry, now time.Time) *pending {
	if p, ok := q.byID[e.ID]; ok {
		p.waiters++
		return p
	}
	size := entrySize(e)
	if len(q.byID) >= q.maxEntries || q.bytes+size > q.maxBytes {
		return nil
	}
	p := &pending{entry: e, size: size, queuedAt: now, waiters: 1, done: make(chan struct{})}
	q.byID[e.ID] = p
	q.bytes += size
	q.waiting = append(q.waiting, p)
	q.waitingBytes += size
	return p
}

// removeWaiter removes one waiter. An entry without waiters is not sent again.
func (q *queue) removeWaiter(p *pending) {
	p.waiters--
	if p.waiters > 0 || q.byID[p.entry.ID] != p {
		return
	}
	q.drop(p)
	if p.state == stateQueued {
		q.unqueue(p)
	}
}

// drop forgets a pending entry. One that still waits for the writer must also be
// removed with unqueue.
func (q *queue) drop(p *pending) {
	delete(q.byID, p.entry.ID)
	q.bytes -= p.size
}

// unqueue removes an entry from those that wait for the writer.
func (q *queue) unqueue(p *pending) {
	for i, w := range q.waiting {
		if w == p {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.waitingBytes -= p.size
			return
		}
	}
}

// dequeue removes the entries of the next append: the oldest ones, at least one
// and at most maxEntries, with up to maxBytes in total.
func (q *queue) dequeue(maxBytes, maxEntries int) []*pending {
	size, n := 0, 0
	for n < len(q.waiting) && n < maxEntries {
		size += q.waiting[n].size
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	batch := append([]*pending(nil), q.waiting[:n]...)
	q.waiting = append(q.waiting[:0], q.waiting[n:]...)
	for _, p := range batch {
		p.state = stateSending
		q.waitingBytes -= p.size
	}
	return batch
}

// requeue puts the entries of a failed append back at the head of the queue,
// except those that have been applied or have no waiters left.
func (q *queue) requeue(batch []*pending) {
	var again []*pending
	for _, p := range batch {
		if q.byID[p.entry.ID] == p && p.state == stateSending {
			p.state = stateQueued
			q.waitingBytes += p.size
			again = append(again, p)
		}
	}
	q.waiting = append(again, q.waiting...)
}

// applied completes the pending entry with the given ID, if there is one.
func (q *queue) applied(id string, at Position) {
	p, ok := q.byID[id]
	if !ok {
		return
	}
	q.drop(p)
	if p.state == stateQueued {
		q.unqueue(p)
	}
	p.position = at
	close(p.done)
}
