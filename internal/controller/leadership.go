package controller

import (
	"context"

	"tamarackchute/lease"
)

// Leadership follows the lease view and reports each term that this process
// begins, and each of its scopes that passes to another. It is a suture
// service.
type Leadership struct {
	instance    string
	incarnation string
	scopes      []string
	view        *lease.View
	trail       Trail
}

// String names the service for the supervisor's log.
func (l *Leadership) String() string { return "leadership" }

// Serve follows until the context ends.
func (l *Leadership) Serve(ctx context.Context) error {
	told := map[string]lease.ScopeState{}
	for ctx.Err() == nil {
		changed := l.view.Changed()
		for _, name := range l.scopes {
			s := l.view.Scope(name)
			if l.news(told[name], s) {
				l.trail.Leads(s)
			}
			told[name] = s
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return ctx.Err()
}

// news reports whether this process has begun a term, or has released one.
func (l *Leadership) news(before, after lease.ScopeState) bool {
	if after.Holder != l.instance || after.Incarnation != l.incarnation {
		return false
	}
	return after.Fence != before.Fence || after.Held != before.Held
}
