// Package transit tells how late messages are. What a message says of an age counts from when it was sent,
// but it may have waited on its way: in a socket, on a link that stalled, or as its recipient stood still.
package transit

import (
	"sync"
	"time"
)

const (
	// memory is how long the quickest message of a sender counts at least. Clocks drift by less than a
	// millisecond meanwhile.
	memory = 10 * time.Second
	// maxSenders limits the senders that are remembered.
	maxSenders = 10_000
)

// Meter compares each message with the quickest one of its sender: how much later it is was lost on its
// way, whatever the clocks of both show. The zero value is ready for use. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	senders map[uint64]*sender
}

// sender holds the largest differences of a sender's clock to the own one, in the present period and in the
// one before, however long ago that was.
type sender struct {
	began             time.Duration
	present, previous time.Duration
	heardAt           time.Duration
}

// Late returns by how much a message is later than the quickest one of its sender. sentAt is the sender's
// clock when it wrote the message, now the recipient's. Neither may stand still or be set. The first message
// of a sender counts as punctual.
func (m *Meter) Late(id uint64, sentAt, now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	difference := sentAt - now
	s := m.senders[id]
	if s == nil {
		m.makeRoom()
		s = &sender{began: now, present: difference, previous: difference}
		m.senders[id] = s
	}
	if now-s.began > memory {
		s.began, s.previous, s.present = now, s.present, difference
	}
	s.present = max(s.present, difference)
	s.heardAt = now
	return max(s.present, s.previous) - difference
}

// makeRoom makes room for one more sender, by forgetting the one that was silent for longest. m.mu is held.
func (m *Meter) makeRoom() {
	if m.senders == nil {
		m.senders = make(map[uint64]*sender)
	}
	if len(m.senders) < maxSenders {
		return
	}
	var oldest uint64
	found := false
	for id, s := range m.senders {
		if !found || s.heardAt < m.senders[oldest].heardAt {
			oldest, found = id, true
		}
	}
	delete(m.senders, oldest)
}
