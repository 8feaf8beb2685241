package member

import (
	"context"
	"fmt"
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

		m.peers.peers["b"] = &peer{MemberAddress: wire.MemberAddress{Peers: "b"}, up: true}
		m.peers.peers["b"].link = wire.NewLink(wire.Config{}, "b", nil, discardLogger)
		for _, vouched := range []string{"v2", "v1"} {
			number := m.streamVersions.lastQuestion + 1
			time.AfterFunc(2*vouchDelay, func() {
				m.streamVersions.hear("b", wire.StreamVersions{Pool: "p", Version: "v1", Sole: true, Question: number - 1}) // an earlier question's
				m.streamVersions.hear("b", wire.StreamVersions{Pool: "p", Version: vouched, Sole: true, Question: number})
			})
			version, known := versionOf(m)
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
