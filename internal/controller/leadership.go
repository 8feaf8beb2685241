package controller

import (
	"context"
	"sync"

	"tamarackchute/lease"
)

// LeadershipWatcher follows the lease view and records each term that this process begins
// or releases. It is a suture service.
type LeadershipWatcher struct {
	instance    string
	incarnation string
	scopes      []string
	view        *lease.View
	recorder    EventRecorder

	mu           sync.Mutex
	lastReported map[string]lease.ScopeState
}

// String names the service for the supervisor's log.
func (l *LeadershipWatcher) String() string { return "leadership" }

// Serve follows the view until the context ends.
func (l *LeadershipWatcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := l.view.Changed()
		l.report()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return ctx.Err()
}

// report records what has changed since the last call.
func (l *LeadershipWatcher) report() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastReported == nil {
		l.lastReported = map[string]lease.ScopeState{}
	}
	for _, name := range l.scopes {
		s := l.view.Scope(name)
		if l.termChanged(l.lastReported[name], s) {
			l.recorder.RecordTerm(s)
		}
		l.lastReported[name] = s
	}
}

// termChanged reports whether this process has begun or released a term.
func (l *LeadershipWatcher) termChanged(before, after lease.ScopeState) bool {
	if after.Holder != l.instance || after.Incarnation != l.incarnation {
		return false
	}
	return after.FencingToken != before.FencingToken || after.Held != before.Held
}
