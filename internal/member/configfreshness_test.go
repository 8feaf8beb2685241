package member

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/apikey"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/wire"
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

func configFreshnessOf(eras *EraTracker, now *time.Duration) *configFreshness {
	state := fleet.NewState()
	state.ApplyConfig(&fleet.Config{Version: 3, Keys: &apikey.Set{}})
	v := newConfigFreshness(Settings{RevocationBound: 5 * time.Second, LapsedEntryGrace: 2 * time.Second}, state, eras, discardLogger)
	v.now = func() time.Duration { return *now }
	return v
}

// Guards against a proof by the very read that shows that the store was restored.
func TestReadOfARestoredStoreProvesNothing(t *testing.T) {
	eras, now := &EraTracker{}, time.Hour
	v := configFreshnessOf(eras, &now)
	eras.Observe(0, "the store")
	eras.Observe(1, "the store")
	v.recordRead(now)
	require.False(t, v.keysUsable())
	now += 2 * time.Second
	v.recordRead(now)
	require.True(t, v.keysUsable())
}

// Guards against a daemon that starts right after a restore and takes the copy for current.
func TestFirstReadAfterARestoreProvesNothing(t *testing.T) {
	eras, now := &EraTracker{}, time.Hour
	v := configFreshnessOf(eras, &now)
	eras.Observe(4, "the store")
	v.recordRead(now)
	require.False(t, v.keysUsable())
	v.recordReply("one", wire.ConfigProofReply{RequestedAt: now, Known: true, Version: 3, Age: time.Second, Era: 4})
	require.True(t, v.keysUsable(), "another daemon knows")
}

// Guards against daemons that begin to read a long configuration only once the one that reads for them has
// all of it.
func TestTransferInProgressIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newRestoreSite(t, 2)
		first, second := site.daemons[0], site.daemons[1]
		request := wire.ConfigProofRequest{RequestedAt: second.configAge.now()}
		second.readers[configReader].takeExpedited()
		second.configAge.recordReply("first", first.configAge.reply(request))
		require.False(t, second.readers[configReader].takeExpedited(), "nothing changes")

		_, transfer := first.readers[configReader].beginTransfer(t.Context(), changesLimits(0))
		transfer.Received(1)
		second.configAge.recordReply("first", first.configAge.reply(request))
		require.True(t, second.readers[configReader].takeExpedited())
		first.readers[configReader].endTransfer(transfer)
		second.configAge.recordReply("first", first.configAge.reply(request))
		require.False(t, second.readers[configReader].takeExpedited())
	})
}
