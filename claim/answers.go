package claim

import (
	"container/list"
	"time"
)

// answers keeps recorded answers, within a bound of bytes; beyond it the
// oldest go first.
type answers struct {
	maxBytes int
	bytes    int
	byKey    map[KeyID]*list.Element
	order    *list.List
}

type answer struct {
	key     KeyID
	at      time.Time
	outcome *outcome
	size    int
}

// answerOverhead is what a kept answer takes beside its content, in bytes.
const answerOverhead = 256

func newAnswers(maxBytes int) *answers {
	return &answers{maxBytes: maxBytes, byKey: map[KeyID]*list.Element{}, order: list.New()}
}

func (a *answers) put(key KeyID, at time.Time, m *outcome) {
	size := len(m.Body) + answerOverhead
	for _, h := range m.Headers {
		size += len(h)
	}
	a.byKey[key] = a.order.PushBack(answer{key: key, at: at, outcome: m, size: size})
	a.bytes += size
	for a.bytes > a.maxBytes {
		a.dropOldest()
	}
}

func (a *answers) get(key KeyID) *outcome {
	e, ok := a.byKey[key]
	if !ok {
		return nil
	}
	return e.Value.(answer).outcome
}

// expire drops the answers that were recorded before then.
func (a *answers) expire(before time.Time) {
	for e := a.order.Front(); e != nil && e.Value.(answer).at.Before(before); e = a.order.Front() {
		a.dropOldest()
	}
}

func (a *answers) dropOldest() {
	e := a.order.Front()
	old := a.order.Remove(e).(answer)
	a.bytes -= old.size
	if a.byKey[old.key] == e {
		delete(a.byKey, old.key)
	}
}
