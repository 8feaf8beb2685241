package claim

import (
	"container/list"
	"time"
)

// answers keeps recorded answers, within a bound of bytes; beyond it the
// oldest go first.
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

// answerOverhead is what a kept answer takes beside its content, in bytes.
const responseOverhead = 256

func newResponseCache(maxBytes int) *responseCache {
	return &responseCache{maxBytes: maxBytes, byKey: map[KeyID]*list.Element{}, order: list.New()}
}

func (a *responseCache) put(key KeyID, at time.Time, m *outcome) {
	size := len(m.Body) + responseOverhead
	for _, h := range m.Headers {
		size += len(h)
	}
	a.byKey[key] = a.order.PushBack(cachedResponse{key: key, at: at, outcome: m, size: size})
	a.bytes += size
	for a.bytes > a.maxBytes {
		a.dropOldest()
	}
}

func (a *responseCache) get(key KeyID) *outcome {
	e, ok := a.byKey[key]
	if !ok {
		return nil
	}
	return e.Value.(cachedResponse).outcome
}

// expire drops the answers that were recorded before then.
func (a *responseCache) expire(before time.Time) {
	for e := a.order.Front(); e != nil && e.Value.(cachedResponse).at.Before(before); e = a.order.Front() {
		a.dropOldest()
	}
}

func (a *responseCache) dropOldest() {
	e := a.order.Front()
	old := a.order.Remove(e).(cachedResponse)
	a.bytes -= old.size
	if a.byKey[old.key] == e {
		delete(a.byKey, old.key)
	}
}
