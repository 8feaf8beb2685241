package wire

import "sync"

// outboxSize bounds what waits for one connection: some seconds of states, or some tens of
// milliseconds of reports of load in a burst, whose next full one makes up for those lost.
const outboxSize = 16

// outbox is a bounded queue of messages to one peer. A full one drops its
// oldest message: each message is outdated by the next of its kind, and a slow
// peer must neither block its sender nor fill its memory.
type outbox struct {
	// filled holds a token if there may be something to take.
	filled chan struct{}

	mu       sync.Mutex
	messages []Message
}

func newOutbox() *outbox {
	return &outbox{filled: make(chan struct{}, 1)}
}

// put adds a message and reports whether an older one had to give way.
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

// keepNewest drops all but the newest message. Called on a new connection: what
// was queued while there was none is outdated and would look fresh to the peer.
func (o *outbox) keepNewest() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.messages); n > 1 {
		o.messages = append(o.messages[:0], o.messages[n-1])
	}
}
