package wire

import "sync"

// outboxSize is the number of messages that may wait for one connection: some seconds of
// states, or tens of milliseconds of load reports in a burst. The next full report makes up
// for reports that were dropped.
const outboxSize = 16

// outbox is a bounded queue of messages to one peer. A full queue drops its
// oldest message, since each message is superseded by the next one of its kind, and a
// slow peer must neither block the sender nor exhaust its memory.
type outbox struct {
	// filled holds a token if the queue may contain a message.
	filled chan struct{}

	mu       sync.Mutex
	messages []Message
}

func newOutbox() *outbox {
	return &outbox{filled: make(chan struct{}, 1)}
}

// put adds a message and reports whether an older one was dropped.
func (o *outbox) put(m Message) (dropped bool) {
	o.mu.Lock()
	if len(o.messages) == outboxSize {
		o.messages = append(o.messages[:0], o.messages[1:]...)
		dropped = true
	}
	o.messages = append(o.messages, m)
	o.mu.Unlock()
	select {
	case o.filled <- struct{}{}:
	default:
	}
	return dropped
}

func (o *outbox) take() (Message, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.messages) == 0 {
		return nil, false
	}
	m := o.messages[0]
	o.messages = append(o.messages[:0], o.messages[1:]...)
	return m, true
}

// keepNewest drops all but the newest message. It is called for a new connection: the
// older messages are outdated, but would look fresh to the peer.
func (o *outbox) keepNewest() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.messages); n > 1 {
		o.messages = append(o.messages[:0], o.messages[n-1])
	}
}
