package claim

import (
	"container/list"
	"time"
)

// responseCache keeps recorded responses within a bound of bytes, beyond which
// it evicts the oldest.
type responseCache struct {
	maxBytes int
	bytes    int
	byKey    map[KeyID]*list.Element
	order    *list.List
}

type cachedResponse struct {
	key     KeyID
	at      time.Time
	outcome *outcome
	size    int
}

// responseOverhead is the memory in bytes that a cached response takes besides
// its content.
const responseOverhead = 256

func newResponseCache(maxBytes int) *responseCache {
	return &responseCache{maxBytes: maxBytes, byKey: map[KeyID]*list.Element{}, order: list.New()}
}

func (c *responseCache) put(key KeyID, at time.Time, m *outcome) {
	size := len(m.Body) + responseOverhead
	for _, h := range m.Headers {
		size += len(h)
	}
	c.byKey[key] = c.order.PushBack(cachedResponse{key: key, at: at, outcome: m, size: size})
	c.bytes += size
	for c.bytes > c.maxBytes {
		c.dropOldest()
	}
}

func (c *responseCache) get(key KeyID) *outcome {
	e, ok := c.byKey[key]
	if !ok {
		return nil
	}
	return e.Value.(cachedResponse).outcome
}

// expire drops the responses that were recorded before a time.
func (c *responseCache) expire(before time.Time) {
	for e := c.order.Front(); e != nil && e.Value.(cachedResponse).at.Before(before); e = c.order.Front() {
		c.dropOldest()
	}
}

func (c *responseCache) dropOldest() {
	e := c.order.Front()
	old := c.order.Remove(e).(cachedResponse)
	c.bytes -= old.size
	if c.byKey[old.key] == e {
		delete(c.byKey, old.key)
	}
}
