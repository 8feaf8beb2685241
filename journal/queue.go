package journal

import "time"

// pendingState says how far an entry's append has come.
type pendingState uint8

const (
	// stateQueued: waits for the writer.
	stateQueued pendingState = iota
	// stateSending: part of an append that has no answer yet, or whose record
	// the own reader has still to reach.
	stateSending
)

// pending is an entry that somebody waits for.
type pending struct {
	entry Entry
	size  int
	since time.Time
	state pendingState
	// maybeWritten is set once an append with the entry was begun whose end
	// wasn't a certain "not written". Only the log's word that this append
	// never lands takes it back.
	maybeWritten bool
	waiters      int
	// done is closed, with position set, when the own reader has folded it.
	done     chan struct{}
	position Position
}

// queue holds the pending entries of one process: those that wait for the
// writer, in order, and by ID those that wait for the reader. It isn't safe
// for concurrent use.
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

// add takes an entry in, or joins the one that is pending under its ID. It
// returns nil if the queue is full.
func (q *queue) add(e Entry, now time.Time) *pending {
	if p, ok := q.byID[e.ID]; ok {
		p.waiters++
		return p
	}
	size := entrySize(e)
	if len(q.byID) >= q.maxEntries || q.bytes+size > q.maxBytes {
		return nil
	}
	p := &pending{entry: e, size: size, since: now, waiters: 1, done: make(chan struct{})}
	q.byID[e.ID] = p
	q.bytes += size
	q.waiting = append(q.waiting, p)
	q.waitingBytes += size
	return p
}

// leave takes back one waiter. An entry that nobody waits for is not sent
// again.
func (q *queue) leave(p *pending) {
	p.waiters--
	if p.waiters > 0 || q.byID[p.entry.ID] != p {
		return
	}
	q.forget(p)
	if p.state == stateQueued {
		q.unqueue(p)
	}
}

func (q *queue) forget(p *pending) {
	delete(q.byID, p.entry.ID)
	q.bytes -= p.size
}

func (q *queue) unqueue(p *pending) {
	for i, w := range q.waiting {
		if w == p {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.waitingBytes -= p.size
			return
		}
	}
}

// next takes the entries of the next append: the oldest ones, up to maxBytes
// in all and at least one.
func (q *queue) next(maxBytes, maxEntries int) []*pending {
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

// giveBack queues the entries of a failed append again, first in line, but
// for those that were folded meanwhile or that nobody waits for.
func (q *queue) giveBack(batch []*pending) {
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

// folded settles the entry with that ID, if it is pending here.
func (q *queue) folded(id string, at Position) {
	p, ok := q.byID[id]
	if !ok {
		return
	}
	q.forget(p)
	if p.state == stateQueued {
		q.unqueue(p)
	}
	p.position = at
	close(p.done)
}
