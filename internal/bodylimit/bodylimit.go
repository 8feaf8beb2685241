// Package bodylimit limits what the bodies of many responses hold in memory together.
package bodylimit

import (
	"context"
	"errors"
	"sync"

	"golang.org/x/sync/semaphore"
)

// FreeBytes is how much of a body needs no room: small responses are read whatever large ones hold.
const FreeBytes = 64 << 10

// ErrExceeded is returned for a body for which the bodies held at the time leave no room.
var ErrExceeded = errors.New("bodylimit: the bodies of all responses exceed their limit")

// Limit is a limit on the bodies of many responses. Nil limits nothing. It is safe for concurrent use.
type Limit struct{ left *semaphore.Weighted }

// New returns a limit in bytes.
func New(limit int64) *Limit { return &Limit{left: semaphore.NewWeighted(limit)} }

// Share is what one body takes of a limit. The zero value takes nothing of none. It is safe for concurrent use.
type Share struct {
	limit *Limit

	mu       sync.Mutex
	held     int64
	released bool
}

// Share returns a share that holds nothing yet. Its owner must call Release.
func (l *Limit) Share() *Share { return &Share{limit: l} }

// Hold declares how many bytes of the body are held, in place of what was declared before. It returns
// ErrExceeded if there is no room; the share then stays as it was.
func (s *Share) Hold(bytes int) error {
	if s.limit == nil || s.limit.left == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	want := int64(max(0, bytes-FreeBytes))
	if s.released {
		want = 0
	}
	switch {
	case want > s.held:
		if !s.limit.left.TryAcquire(want - s.held) {
			return ErrExceeded
		}
	case want < s.held:
		s.limit.left.Release(s.held - want)
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

// Holds reports whether the share takes something of its limit.
func (s *Share) Holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held > 0
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
