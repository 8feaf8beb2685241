package controller

import (
	"context"
	"sync"

	"tamarackchute/lease"
)

// LeadershipWatcher follows the lease view and reports each term that this process
// begins or releases. It is a suture service.
type LeadershipWatcher struct {
	instance    string
	incarnation string
	scopes      []string
	view        *lease.View
	trail       EventRecorder

	mu   sync.Mutex
	told map[string]lease.ScopeState
}

// String names the service for the supervisor's log.
func (l *LeadershipWatcher) String() string { return "leadership" }

// Serve follows until the context ends.
func (l *LeadershipWatcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := l.view.Changed()
		l.look()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return ctx.Err()
}

// look reports what has changed since the last look.
func (l *LeadershipWatcher) look() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told == nil {
		l.told = map[string]lease.ScopeState{}
	}
	for _, name := range l.scopes {
		s := l.view.Scope(name)
		if l.news(l.told[name], s) {
			l.trail.RecordTerm(s)
		}
		l.told[name] = s
	}
}

// news reports whether this process has begun a term, or has released one.
func (l *LeadershipWatcher) news(before, after lease.ScopeState) bool {
	if after.Holder != l.instance || after.Incarnation != l.incarnation {
		return false
	}
	return after.FencingToken != before.FencingToken || after.Held != before.Held
}
