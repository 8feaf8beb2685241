package member

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"tamarackchute/infra"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/wire"
)

// Guards against requests to a draining upstream, as an older entry of it counts again.
func TestDrainingUpstreamStaysDrainingAfterRestore(t *testing.T) {
	h := newFeedHarness()
	h.feed.reset([]Entry{entry("a", "p 1:1 started=5 revision=1"), entry("b", "p 1:2 started=5 revision=1")})
	h.feed.apply([]Entry{entry("a", "p 1:1 started=5 revision=2 leaving")})
	require.Equal(t, "a leaving,b", h.list())

	h.feed.resetRestored([]Entry{entry("a", "p 1:1 started=5 revision=1"), entry("b", "p 1:2 started=5 revision=1")})
	require.Equal(t, "a leaving,b", h.list())
	h.feed.apply([]Entry{entry("a", "p 1:1 started=5 revision=1")})
	require.Equal(t, "a leaving,b", h.list(), "written again late")
	h.feed.apply([]Entry{entry("a", "p 1:1 started=9 revision=1")})
	require.Equal(t, "a,b", h.list(), "a new start")
}

// Guards against requests to a server that is gone but still in the restored copy.
func TestUpstreamOnlyInRestoredCopyIsNotUsed(t *testing.T) {
	h := newFeedHarness()
	h.feed.reset([]Entry{entry("a", "p 1:1"), entry("gone", "p 1:2")})
	h.feed.apply([]Entry{entry("gone", "")})
	h.feed.resetRestored([]Entry{entry("a", "p 1:1"), entry("gone", "p 1:2"), entry("alive", "p 1:3")})
	require.Equal(t, "a", h.list())
	h.feed.apply([]Entry{entry("alive", "p 1:3")})
	require.Equal(t, "a,alive", h.list())
}

// Guards against a live upstream that gets no requests because the restored copy is older than
// its entry, and against one that is gone but keeps getting them.
func TestUpstreamMissingFromRestoredCopyLapses(t *testing.T) {
	h := newFeedHarness()
	h.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	h.feed.resetRestored([]Entry{})
	require.Equal(t, "a,b", h.list())
	h.feed.apply([]Entry{entry("a", "p 1:1")})
	time.Sleep(2 * h.feed.lapsedGrace)
	h.feed.expireLapsed()
	require.Equal(t, "a", h.list())
}

// eraStore is a store whose newest entries are of the current era.
type eraStore struct {
	scriptedStore
	puts chan Entry
}

// Newest implements Store.
func (s *eraStore) Newest(context.Context, Topic) ([]Entry, Position, error) {
	return []Entry{entry("a", "p 1:1")}, infra.NewOffset(s.eras.Current(), 1), nil
}

// Changes implements Store.
func (s *eraStore) Changes(ctx context.Context, _ Topic, from Position, wait time.Duration) ([]Entry, Position, error) {
	if from.Era() < s.eras.Current() {
		return nil, from, ErrExpired
	}
	sleep(ctx, wait)
	return nil, from, ctx.Err()
}

// Put implements Store.
func (s *eraStore) Put(_ context.Context, _ Topic, e Entry) error {
	s.puts <- e
	return nil
}

// Guards against a reader that keeps waiting at its old position after another call, or another
// daemon, has reported a restore.
func TestReaderRestartsInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &eraStore{}
		copies := make(chan []Entry, 1)
		r := &topicReader{
			backoff: newBackoff(oneDaemon), store: store, longPoll: time.Hour, applyAll: func([]Entry) {}, applyChanges: func([]Entry) {},
			applyRestored: func(e []Entry) { copies <- e }, log: discardLogger,
		}
		follower := &eraFollower{eras: store.Eras(), readers: []*topicReader{r}, daemons: oneDaemon}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.Serve(ctx) }()
		go func() { _ = follower.Serve(ctx) }()
		store.Eras().Observe(0, "the store")
		synctest.Wait()
		require.Empty(t, copies)
		store.Eras().Observe(1, "another daemon")
		require.Len(t, <-copies, 1)
		synctest.Wait()
		require.EqualValues(t, 1, r.position().Era())
		cancel()
		synctest.Wait()
	})
}

// Guards against a position of an earlier era that counts as later.
func TestPositionsOfLaterEraAreGreater(t *testing.T) {
	r := &topicReader{log: discardLogger}
	r.adopt(infra.NewOffset(0, 1000), time.Second)
	r.adopt(infra.NewOffset(1, 10), time.Second)
	require.Equal(t, infra.NewOffset(1, 10), r.position())
	r.adopt(infra.NewOffset(0, 2000), time.Second)
	require.Equal(t, infra.NewOffset(1, 10), r.position())
	require.Equal(t, "1/10", r.position().String())
}

// Guards against a daemon that later ones don't find, as its entry was lost in a restore.
func TestDaemonEntryIsWrittenInEachEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &eraStore{puts: make(chan Entry)}
		a := &announcer{store: store, self: wire.MemberAddress{Instance: "i"}, backoff: newBackoff(oneDaemon), daemons: oneDaemon, log: discardLogger}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.Serve(ctx) }()
		store.Eras().Observe(0, "the store")
		require.Equal(t, "i", (<-store.puts).Key)
		synctest.Wait()
		store.Eras().Observe(1, "another daemon")
		require.Equal(t, "i", (<-store.puts).Key)
		cancel()
		synctest.Wait()
	})
}

// Guards against a configuration that reverts to that of the restored copy.
func TestConfigurationSurvivesRestore(t *testing.T) {
	state := fleet.NewState()
	feed := newConfigFeed(textDecoder{}, state, tally.NoopScope, discardLogger)
	feed.apply([]Entry{entry("config", "7")})
	feed.apply([]Entry{entry("config", "5")})
	require.EqualValues(t, 7, state.Snapshot().Config.Version)
}

// Guards against upstreams that are dropped though they have written again: a daemon with lapsed
// entries trusted a peer that its list is unchanged, and never read the new entries.
func TestPeerReadIsIgnoredWhileEntriesAreLapsed(t *testing.T) {
	h := newFeedHarness()
	h.feed.reset([]Entry{entry("a", "p 1:1")})
	r := &topicReader{log: discardLogger}
	r.recordRead(10, time.Now().Add(-time.Minute))
	m := &Member{cfg: Config{Store: &scriptedStore{}}, upstreams: h.feed, readers: []*topicReader{r}}
	same := h.feed.current().digest

	h.feed.resetRestored(nil)
	m.confirmList(20, same, 0)
	require.EqualValues(t, 10, r.position())
	h.feed.apply([]Entry{entry("a", "p 1:1")})
	m.confirmList(20, same, 0)
	require.EqualValues(t, 20, r.position())
}
