package member

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/transfer"
)

// silentWaitStore never responds to a read that waits for a change, and answers others with some bytes.
type silentWaitStore struct {
	scriptedStore
	mu      sync.Mutex
	waiting int
	changed []Entry
	err     error
}

// Changes implements Store.
func (s *silentWaitStore) Changes(ctx context.Context, _ Topic, from Position, wait time.Duration) ([]Entry, Position, error) {
	if wait > 0 {
		s.mu.Lock()
		s.waiting++
		s.mu.Unlock()
		<-ctx.Done()
		return nil, from, ctx.Err()
	}
	transfer.Of(ctx).Received(11)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed, from + 1, s.err
}

func (s *silentWaitStore) waits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// Guards against a waiting read without a response that isn't given up although a read beside it has
// shown that it missed a change, or that its position has expired: the next version came 21 s late.
func TestMissedChangeEndsTheWaitingRead(t *testing.T) {
	for name, tc := range map[string]struct {
		changed []Entry
		err     error
		newest  int
	}{
		"change":  {changed: []Entry{entry("config", "2")}, newest: 1},
		"expired": {err: ErrExpired, newest: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &silentWaitStore{changed: tc.changed, err: tc.err}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := &topicReader{
					store: store, topic: TopicConfig, name: "configuration", longPoll: longPollTimeout, interval: time.Millisecond,
					applyAll: func([]Entry) {}, applyChanges: func([]Entry) {}, backoff: newBackoff(oneDaemon), log: discardLogger,
				}
				go func() { _ = r.Serve(ctx) }()
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, 1, store.waits())
				r.confirm(ctx)
				time.Sleep(time.Second)
				require.Equal(t, 2, store.waits())
				require.Equal(t, tc.newest, store.newest)
			})
		})
	}
}
