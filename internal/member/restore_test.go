package member

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/wire"
)

// Guards against requests to a server that has said it leaves, as an older entry of it is in
// force again.
func TestLeavingServerStaysLeavingOverARestore(t *testing.T) {
	r := newFeedHarness()
	r.feed.reset([]Entry{entry("a", "p 1:1 started=5 revision=1"), entry("b", "p 1:2 started=5 revision=1")})
	r.feed.apply([]Entry{entry("a", "p 1:1 started=5 revision=2 leaving")})
	require.Equal(t, "a leaving,b", r.ids())

	r.feed.resetRestored([]Entry{entry("a", "p 1:1 started=5 revision=1"), entry("b", "p 1:2 started=5 revision=1")})
	require.Equal(t, "a leaving,b", r.ids())
	r.feed.apply([]Entry{entry("a", "p 1:1 started=5 revision=1")})
	require.Equal(t, "a leaving,b", r.ids(), "written again late")
	r.feed.apply([]Entry{entry("a", "p 1:1 started=9 revision=1")})
	require.Equal(t, "a,b", r.ids(), "a new start")
}

// Guards against requests to a server that has gone and that only the copy still has.
func TestServerThatOnlyTheCopyHasWaitsForItsEntry(t *testing.T) {
	r := newFeedHarness()
	r.feed.reset([]Entry{entry("a", "p 1:1"), entry("gone", "p 1:2")})
	r.feed.apply([]Entry{entry("gone", "")})
	r.feed.resetRestored([]Entry{entry("a", "p 1:1"), entry("gone", "p 1:2"), entry("alive", "p 1:3")})
	require.Equal(t, "a", r.ids())
	r.feed.apply([]Entry{entry("alive", "p 1:3")})
	require.Equal(t, "a,alive", r.ids())
}

// Guards against a server that gets no requests because the copy is older than its entry, and
// against one that keeps getting them though it has gone.
func TestServerThatTheCopyLacksIsDoubted(t *testing.T) {
	r := newFeedHarness()
	r.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	r.feed.resetRestored([]Entry{})
	require.Equal(t, "a,b", r.ids())
	r.feed.apply([]Entry{entry("a", "p 1:1")})
	time.Sleep(2 * r.feed.lapsedGrace)
	r.feed.expireLapsed()
	require.Equal(t, "a", r.ids())
}

// eraStore is a store whose newest entries are of an era.
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

// Guards against a reader that waits on at its old position after another call, or another
// daemon, has told of a restore.
func TestWaitingReaderBeginsAnewInANewEra(t *testing.T) {
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
		require.EqualValues(t, 1, r.position().Era())
		cancel()
		synctest.Wait()
	})
}

// Guards against a position of an earlier era that is taken for a later one.
func TestPositionsOfALaterEraComeAfterAllBefore(t *testing.T) {
	r := &topicReader{log: discardLogger}
	r.adopt(infra.NewOffset(0, 1000), time.Second)
	r.adopt(infra.NewOffset(1, 10), time.Second)
	require.Equal(t, infra.NewOffset(1, 10), r.position())
	r.adopt(infra.NewOffset(0, 2000), time.Second)
	require.Equal(t, infra.NewOffset(1, 10), r.position())
	require.Equal(t, "1/10", r.position().String())
}

// Guards against a daemon that nobody finds who starts later, as its entry was lost.
func TestDaemonAnnouncesItselfInEachEra(t *testing.T) {
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

// Guards against a configuration that goes back to the copy's.
func TestConfigurationStaysOverARestore(t *testing.T) {
	state := fleet.NewState()
	feed := &configFeed{decoder: textDecoder{}, state: state, log: discardLogger}
	feed.apply([]Entry{entry("config", "7")})
	feed.apply([]Entry{entry("config", "5")})
	require.EqualValues(t, 7, state.Snapshot().Config.Version)
}

// Guards against servers that count as gone though they have written again: a daemon that doubts
// them went by another's word that its list is the same, and never read that.
func TestDaemonThatDoubtsReadsForItself(t *testing.T) {
	rig := newFeedHarness()
	rig.feed.reset([]Entry{entry("a", "p 1:1")})
	r := &topicReader{log: discardLogger}
	r.recordRead(10, time.Now().Add(-time.Minute))
	m := &Member{cfg: Config{Store: &scriptedStore{}}, upstreams: rig.feed, readers: []*topicReader{r}}
	same := rig.feed.digest.Load()

	rig.feed.resetRestored(nil)
	m.confirmList(20, same, 0)
	require.EqualValues(t, 10, r.position())
	rig.feed.apply([]Entry{entry("a", "p 1:1")})
	m.confirmList(20, same, 0)
	require.EqualValues(t, 20, r.position())
}
