package member

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partialStore returns changes in parts, one entry a read.
type partialStore struct {
	scriptedStore
	entries []Entry
}

func (s *partialStore) Changes(_ context.Context, _ Topic, from Position, _ time.Duration) ([]Entry, Position, error) {
	if len(s.entries) == 0 {
		return nil, from, nil
	}
	next := s.entries[:1]
	s.entries = s.entries[1:]
	return next, from + 1, nil
}

// Guards against a proof by a read that returned only a part of the newer configurations: a later
// part may remove keys.
func TestPartialReadProvesNothing(t *testing.T) {
	var applied, proofs int
	apply := func(entries []Entry) { applied += len(entries) }
	r := &topicReader{
		store: &partialStore{entries: []Entry{entry("config", "1"), entry("config", "2")}}, backoff: newBackoff(oneDaemon), log: discardLogger,
		applyAll: apply, applyChanges: apply, onRead: func(time.Duration) { proofs++ },
	}
	r.adopt(1, 0)
	for range 2 {
		require.NoError(t, r.read(t.Context()))
		require.Zero(t, proofs)
	}
	require.NoError(t, r.read(t.Context()))
	require.Equal(t, 2, applied)
	require.Equal(t, 1, proofs)
}
