package fleet

import (
	"maps"
	"time"
)

// leavingRetention is how long an incarnation is remembered after it was last listed. An
// entry that lapsed in an outage of the store may come back.
const leavingRetention = 10 * time.Minute

// incarnation identifies an incarnation of a server.
type incarnation struct {
	id string
	// started is the start in Unix milliseconds.
	started int64
}

func (u *Upstream) incarnation() incarnation {
	return incarnation{id: u.ID, started: u.Started.UnixMilli()}
}

// leavingSet holds incarnations and when each was last listed.
type leavingSet map[incarnation]time.Time

// add adds an incarnation and returns false if it is known.
func (l leavingSet) add(u *Upstream, now time.Time) bool {
	key := u.incarnation()
	if _, known := l[key]; known {
		return false
	}
	l[key] = now
	return true
}

// forget drops the incarnations that haven't been listed for leavingRetention, when a new
// list replaces the old one.
func (l leavingSet) forget(old, list map[string]*Upstream, now time.Time) {
	for key := range l {
		switch {
		case key.in(old), key.in(list):
			l[key] = now
		case now.Sub(l[key]) > leavingRetention:
			delete(l, key)
		}
	}
}

// in reports whether a list has the incarnation.
func (key incarnation) in(list map[string]*Upstream) bool {
	u := list[key.id]
	return u != nil && u.incarnation() == key
}

// apply returns the list with the incarnations of the set marked as draining. Entries are
// copied before they are changed.
func (l leavingSet) apply(list map[string]*Upstream) map[string]*Upstream {
	marked := make(map[string]*Upstream)
	for key := range l {
		if !key.in(list) || list[key.id].Draining {
			continue
		}
		draining := *list[key.id]
		draining.Draining = true
		marked[key.id] = &draining
	}
	if len(marked) == 0 {
		return list
	}
	merged := maps.Clone(list)
	maps.Copy(merged, marked)
	return merged
}
