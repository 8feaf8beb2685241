// Package bodylimit limits what many bodies hold in memory together.
package bodylimit

import (
	"context"
	"errors"
	"sync"
)

// FreeBytes is how much of a body counts in a sum of its own: small bodies are read whatever large ones hold.
const FreeBytes = 64 << 10

// ErrExceeded is returned for a body for which the bodies held at the time leave no room.
var ErrExceeded = errors.New("bodylimit: the bodies together exceed their limit")

// Limit is a limit on many bodies. Nil limits nothing. It is safe for concurrent use.
type Limit struct {
	mu sync.Mutex
	// limits are in bytes: what all bodies may hold up to FreeBytes each, and beyond that.
	limits, held sums
}

// sums are the bytes of bodies up to FreeBytes each, and beyond that.
type sums struct{ small, large int64 }

func sumsOf(bytes int) sums {
	return sums{small: int64(min(bytes, FreeBytes)), large: int64(max(0, bytes-FreeBytes))}
}

// New returns a limit in bytes on what exceeds FreeBytes of each body, and as much on the rest.
func New(limit int64) *Limit { return NewOf(limit, limit) }

// NewOf returns a limit in bytes on the first FreeBytes of all bodies, and one on what exceeds them.
func NewOf(small, large int64) *Limit { return &Limit{limits: sums{small: small, large: large}} }

// Resize replaces the limits. What is held beyond them stays.
func (l *Limit) Resize(small, large int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = sums{small: small, large: large}
}

// exchange counts want in place of held, unless that is more in a sum without room.
func (l *Limit) exchange(held, want sums) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := sums{small: l.held.small + want.small - held.small, large: l.held.large + want.large - held.large}
	if want.small > held.small && next.small > l.limits.small || want.large > held.large && next.large > l.limits.large {
		return false
	}
	l.held = next
	return true
}

// Share is what one body takes of a limit. The zero value takes nothing of none. It is safe for concurrent use.
type Share struct {
	limit *Limit

	mu       sync.Mutex
	held     sums
	released bool
}

// Share returns a share that holds nothing yet. Its owner must call Release.
func (l *Limit) Share() *Share { return &Share{limit: l} }

// Hold declares how many bytes of the body are held, in place of what was declared before. It returns
// ErrExceeded if there is no room; the share then stays as it was.
func (s *Share) Hold(bytes int) error {
	if s.limit == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	want := sumsOf(bytes)
	if s.released {
		want = sums{}
	}
	if !s.limit.exchange(s.held, want) {
		return ErrExceeded
	}
	s.held = want
	return nil
}

// Release ends the share: nothing is held, and what is declared later isn't counted. Further calls do nothing.
func (s *Share) Release() {
	s.mu.Lock()
	s.released = true
	s.mu.Unlock()
	_ = s.Hold(0) // fails only for more than before
}

// Holds reports whether the share holds more than FreeBytes.
func (s *Share) Holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held.large > 0
}

type contextKey struct{}

// WithShare returns a context by which the responses of a call, one after the other, are counted in a share:
// their last one is held longer than the call lasts.
func WithShare(ctx context.Context, s *Share) context.Context {
	return context.WithValue(ctx, contextKey{}, s)
}

// ShareOf returns the share in a context, or nil.
func ShareOf(ctx context.Context) *Share {
	s, _ := ctx.Value(contextKey{}).(*Share)
	return s
}
