package member

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowStore answers a request for the newest entries after several calls, each of which takes
// less than CallTimeout.
type slowStore struct {
	scriptedStore
	callTime time.Duration
	calls    int
}

// Newest implements Store.
func (s *slowStore) Newest(ctx context.Context, t Topic) ([]Entry, Position, error) {
	for range s.calls {
		sleep(ctx, s.callTime)
		if err := ctx.Err(); err != nil {
			return nil, 0, err
		}
	}
	return s.scriptedStore.Newest(ctx, t)
}

// Guards against a daemon that never serves after its start, as the store answers each call but
// is too slow for all calls that a long list needs in the time of one.
func TestLongListIsReadFromSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{callTime: CallTimeout * 2 / 3, calls: 10}
		r := &topicReader{store: store, backoff: newBackoff(oneDaemon), applyAll: func([]Entry) {}, log: discardLogger}
		require.NoError(t, r.read(t.Context()))
		require.EqualValues(t, 10, r.position())
	})
}
