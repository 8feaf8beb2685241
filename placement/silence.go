package placement

import "time"

// MarkSilent records that an upstream has sent nothing to one of its requests since a time. Unless it has
// sent something to another one meanwhile, it gets no new requests until it is heard again. It reports
// whether that has ejected the upstream.
func (tr *Tracker) MarkSilent(id string, since time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.byID[id]
	if e == nil || e.heardAt.After(since) {
		return false
	}
	return e.health.fallSilent(tr.now())
}

// Heard records that an upstream has sent something. It reports whether that has ended an ejection for its
// silence.
func (tr *Tracker) Heard(id string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.byID[id]
	return e != nil && tr.recordHeard(e)
}

// recordHeard records that the upstream has sent something. It reports whether that has ended an ejection
// for its silence. The caller holds tr.mu.
func (tr *Tracker) recordHeard(e *trackedUpstream) bool {
	e.heardAt = tr.now()
	return e.health.heard()
}
