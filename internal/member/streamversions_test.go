package member

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/transfer"
	"tamarackchute/internal/wire"
)

// Guards against a daemon that is cut off for so long that it has forgotten the others, and takes its
// old list for complete.
func TestOldListIsNotTrusted(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	require.True(t, knowsVersions(0, no))
	require.False(t, knowsVersions(maxListAge, no))
	require.True(t, knowsVersions(maxListAge, yes))
	require.False(t, knowsVersions(forgetPeerAfter, yes))
	require.False(t, knowsVersions(time.Hour, yes), "a list that was never read")
}

func versionedEntry(id, version string) string {
	return fmt.Sprintf("p %s:1 started=5 revision=1 version=%s", id, version)
}

// newVersionDaemon returns a daemon that has known for longer than streams last that its pool has one
// version.
func newVersionDaemon(t *testing.T) (*restoreSite, *Member) {
	s := newRestoreSite(t, 0)
	s.store.write("e0", versionedEntry("e0", "v1"))
	m := s.start()
	m.streamVersions = newStreamVersions(m)
	m.upstreams.onEntry, m.upstreams.onReplace = m.streamVersions.see, m.streamVersions.listReplaced
	s.read(m)
	time.Sleep(maxStreamTime + time.Second)
	s.read(m)
	return s, m
}

// versionOf asks a daemon at which version a stream began of which it wasn't told.
func versionOf(m *Member) (string, bool) {
	return m.streamVersions.VersionOf(context.Background(), "p", "stream")
}

// Guards against a stream that goes on at another version, as its daemon's list was read before that joined.
func TestListFromBeforeTheQuestionDoesNotDecide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newVersionDaemon(t)
		version, known := versionOf(m)
		require.True(t, known)
		require.Equal(t, "v1", version)
		s.store.write("e1", versionedEntry("e1", "v2"))
		_, known = versionOf(m)
		require.False(t, known)
		require.True(t, s.lists(m, "e1"), "it is read before the answer")
	})
}

// Guards against a stream that goes on at another version, as the version that began it came and went before the
// daemon read the store again.
func TestVersionBetweenTwoReadsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newVersionDaemon(t)
		s.store.write("e1", versionedEntry("e1", "v2"))
		s.store.write("e1", "")
		_, known := versionOf(m)
		require.False(t, known)
	})
}

// Guards against a daemon that can't read the store and trusts its old list, and against streams that are refused
// though all other daemons vouch.
func TestOtherDaemonsVouchWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newVersionDaemon(t)
		s.store.setDown(true)
		began := time.Now()
		_, known := versionOf(m)
		require.False(t, known)
		require.LessOrEqual(t, time.Since(began), versionTimeout)

		addNeighbour(m, "b", true)
		for _, vouched := range []string{"v2", "v1"} {
			var earlier *uint64 // the number of an earlier question; this one may be asked again under others
			ended := answerQuestions(m, func(r wire.StreamVersionRequest) {
				if earlier == nil {
					before := r.Question - 1
					earlier = &before
				}
				m.streamVersions.hear("b", wire.StreamVersions{Pool: "p", Version: "v1", Sole: true, Question: *earlier})
				m.streamVersions.hear("b", wire.StreamVersions{Pool: "p", Version: vouched, Sole: true, Question: r.Question})
			})
			version, known := versionOf(m)
			ended()
			require.Equal(t, vouched == "v1", known)
			require.Equal(t, known, version == "v1")
		}
	})
}

// Guards against a version that a list of other daemons' digest doesn't tell.
func TestDigestTellsVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newVersionDaemon(t)
		before := m.upstreams.current().digest
		s.store.write("e0", versionedEntry("e0", "v2"))
		s.read(m)
		require.NotEqual(t, before, m.upstreams.current().digest)
	})
}

// oneByOneClient reads one record at a time.
type oneByOneClient struct{ *logClient }

// Changes implements Store.
func (c *oneByOneClient) Changes(ctx context.Context, t Topic, from Position, wait time.Duration) ([]Entry, Position, error) {
	entries, next, err := c.logClient.Changes(ctx, t, from, wait)
	if len(entries) > 1 {
		transfer.Of(ctx).MarkPartial()
		entries, next = entries[:1], from+1
	}
	return entries, next, err
}

// Guards against a read that was cut off at its size limit and passes for the whole list.
func TestPartialListDoesNotDecide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newVersionDaemon(t)
		m.readers[upstreamReader].store = &oneByOneClient{m.cfg.Store.(*logClient)}
		for range 3 {
			s.store.write("e0", versionedEntry("e0", "v1"))
		}
		version, known := versionOf(m)
		require.True(t, known)
		require.Equal(t, "v1", version)
		for range 3 {
			s.store.write("e0", versionedEntry("e0", "v1"))
		}
		s.store.write("e1", versionedEntry("e1", "v2"))
		_, known = versionOf(m)
		require.False(t, known)
	})
}

// answerQuestions answers a daemon's questions in place of its neighbours until it is ended.
func answerQuestions(m *Member, answer func(wire.StreamVersionRequest)) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			sleep(ctx, streamVersionsInterval)
			for _, r := range m.streamVersions.takeUnasked(time.Now()) {
				answer(r)
			}
		}
	}()
	return func() {
		cancel()
		synctest.Wait()
	}
}

// addNeighbour gives a daemon a neighbour that it has just heard.
func addNeighbour(m *Member, address string, up bool) {
	link := outgoingLink{link: wire.NewLink(wire.Config{}, address, nil, discardLogger)}
	m.peers.mu.Lock()
	defer m.peers.mu.Unlock()
	m.peers.peers[address] = &peer{MemberAddress: wire.MemberAddress{Peers: address}, outgoingLink: link, up: up, lastReceived: time.Now()}
}

// Guards against a stream that goes on at another version, as its daemon takes up a position of the log, or a list, of others
// beyond what it has read itself after a cut.
func TestPositionOfOthersAfterACutLosesThePast(t *testing.T) {
	for _, heard := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s, m := newVersionDaemon(t)
			addNeighbour(m, "b", true)
			time.Sleep(maxListAge + time.Second)
			s.store.write("e1", versionedEntry("e1", "v2"))
			s.store.write("e1", "")
			m.peers.peers["b"].lastReceived = time.Now()
			if !heard {
				m.peers.rejoinedAt = time.Now()
			}
			m.confirmList(m.readers[upstreamReader].position()+2, m.upstreams.current().digest, 0)
			_, known := versionOf(m)
			require.Equal(t, heard, known, "a neighbour that was heard throughout would have told")
		})
	}
}

// Guards against a restored store whose list lacks the versions that have not been written again.
func TestRestoredListIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newVersionDaemon(t)
		s.store.restore(s.store.end())
		s.read(m)
		_, known := versionOf(m)
		require.False(t, known, "e0 hasn't written again, nor might others have")
	})
}

// Guards against a version that only the copy of a restored store has, and whose streams go on at another one.
func TestVersionInTheCopyCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newVersionDaemon(t)
		s.store.write("e1", versionedEntry("e1", "v2"))
		s.store.restore(s.store.end())
		s.read(m)
		s.store.write("e0", "p e0:1 started=5 revision=2 version=v1")
		s.read(m)
		_, known := versionOf(m)
		require.False(t, known)
	})
}

// Guards against streams that are refused because no neighbour counts as up after a cut, before links are made anew.
func TestNeighboursAreAwaitedAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newVersionDaemon(t)
		s.store.write("e1", versionedEntry("e1", "v2"))
		s.read(m)
		addNeighbour(m, "b", false)
		asked := 0
		ended := answerQuestions(m, func(r wire.StreamVersionRequest) {
			if asked++; asked > 2 {
				m.streamVersions.hear("b", wire.StreamVersions{Pool: "p", Version: "v2", Streams: r.Streams})
				m.streamVersions.hear("b", wire.StreamVersions{Pool: "p", Question: r.Question})
			}
		})
		version, known := versionOf(m)
		ended()
		require.True(t, known)
		require.Equal(t, "v2", version)
	})
}

// Guards against a connection to the store that has failed silently and keeps all others from reading.
func TestHangingReadDoesNotKeepOthersFromReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, m := newVersionDaemon(t)
		m.readers[upstreamReader].store = &hangsOnceClient{logClient: m.cfg.Store.(*logClient)}
		_, known := versionOf(m)
		require.True(t, known)
		time.Sleep(ReadTimeout) // the read that hangs ends by its limit
	})
}

// hangsOnceClient gets no answer to its first read.
type hangsOnceClient struct {
	*logClient
	hung atomic.Bool
}

// Changes implements Store.
func (c *hangsOnceClient) Changes(ctx context.Context, t Topic, from Position, wait time.Duration) ([]Entry, Position, error) {
	if !c.hung.Swap(true) {
		<-ctx.Done()
		return nil, from, ctx.Err()
	}
	return c.logClient.Changes(ctx, t, from, wait)
}

// Guards against a stream that is refused without asking others, as reading the list took all the time for answers.
func TestOthersAreAskedAfterASlowList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newVersionDaemon(t)
		s.store.write("e1", versionedEntry("e1", "v2"))
		s.read(m)
		addNeighbour(m, "b", true)
		s.store.setDown(true)
		m.peers.beat.tick(time.Now())
		m.peers.beat.resumed = time.Now().Add(time.Millisecond) // it stood still after its last read
		ended := answerQuestions(m, func(r wire.StreamVersionRequest) {
			m.streamVersions.hear("b", wire.StreamVersions{Pool: "p", Version: "v2", Streams: r.Streams})
			m.streamVersions.hear("b", wire.StreamVersions{Pool: "p", Question: r.Question})
		})
		version, known := versionOf(m)
		ended()
		require.True(t, known)
		require.Equal(t, "v2", version)
	})
}
