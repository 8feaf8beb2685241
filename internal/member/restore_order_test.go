package member

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

const (
	// testGrace is the LapsedEntryGrace of the daemons in these tests.
	testGrace = 2 * time.Second
	// testDetection is how long a daemon needs at most to notice a change in a store that
	// answers: a reader's interval with its jitter, and a check of its peers.
	testDetection = time.Second
	// testRound is the time between two rounds of reads and messages.
	testRound = 500 * time.Millisecond
	// testReadGap separates two reads by more than the least gain of age for which a daemon
	// relies on a peer's read.
	testReadGap = 150 * time.Millisecond
	// testHeartbeat is the interval at which a live upstream writes its entry.
	testHeartbeat = time.Second
)

var errStoreDown = errors.New("store is down")

// logStore is a store of one topic that can be restored from an older copy.
type logStore struct {
	mu      sync.Mutex
	era     uint64
	first   int
	records []Entry
	down    bool
	calls   int
}

func (s *logStore) write(id, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.records = append(s.records, entry(id, value))
	}
}

func (s *logStore) end() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// restore restores the store from a copy that holds the first records only.
func (s *logStore) restore(copied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.records = s.records[:copied:copied]
}

func (s *logStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *logStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = len(s.records)
}

func (s *logStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// logClient is a daemon's access to a logStore.
type logClient struct {
	*logStore
	eras EraTracker
	// cutOff means that the store is out of this daemon's reach.
	cutOff bool
}

// Eras implements Store.
func (c *logClient) Eras() *EraTracker { return &c.eras }

func (c *logClient) call() error {
	c.calls++
	if c.down || c.cutOff {
		return errStoreDown
	}
	c.eras.Observe(c.era, "the store")
	return nil
}

// Newest implements Store.
func (c *logClient) Newest(context.Context, Topic) ([]Entry, Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.call(); err != nil {
		return nil, 0, err
	}
	newest := make(map[string]Entry)
	for _, e := range c.records {
		newest[e.Key] = e
	}
	var entries []Entry
	for _, e := range newest {
		if e.Value != nil {
			entries = append(entries, e)
		}
	}
	return entries, infra.NewOffset(c.era, uint64(len(c.records))), nil
}

// Changes implements Store.
func (c *logClient) Changes(_ context.Context, _ Topic, from Position, _ time.Duration) ([]Entry, Position, error) {
	if from.Era() < c.eras.Current() {
		return nil, from, ErrExpired
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.call(); err != nil {
		return nil, from, err
	}
	index := int(from.Index())
	if from.Era() != c.era || index < c.first || index > len(c.records) {
		return nil, from, ErrExpired
	}
	return slices.Clone(c.records[index:]), infra.NewOffset(c.era, uint64(len(c.records))), nil
}

// Put implements Store.
func (c *logClient) Put(context.Context, Topic, Entry) error { return nil }

// restoreSite is a site of daemons that share a logStore. Its methods force the order of their
// reads and messages; run lets them proceed by themselves.
type restoreSite struct {
	t       *testing.T
	store   *logStore
	daemons []*Member
}

// newRestoreSite starts n daemons that have read the entries of upstreams; they write none
// later unless they are kept alive.
func newRestoreSite(t *testing.T, n int, ids ...string) *restoreSite {
	s := &restoreSite{t: t, store: &logStore{}}
	for _, id := range ids {
		s.store.write(id, upstreamEntry(id, 1))
	}
	for range n {
		s.read(s.start())
	}
	return s
}

func upstreamEntry(id string, revision int) string {
	return fmt.Sprintf("p %s:1 started=5 revision=%d", id, revision)
}

// start adds a daemon that has read nothing yet.
func (s *restoreSite) start() *Member {
	name := fmt.Sprint("daemon-", len(s.daemons))
	m := &Member{
		cfg: Config{
			Settings: Settings{Instance: name, PeerAddress: name, LapsedEntryGrace: testGrace}, Store: &logClient{logStore: s.store},
			Decoder: textDecoder{},
		},
		log: discardLogger, state: fleet.NewState(), tracker: placement.NewTracker(nil), self: wire.MemberAddress{Instance: name, Peers: name},
	}
	m.keys = newKeyView(m.cfg.Settings, m.state, m.cfg.Store.Eras(), m.log)
	m.peers = newPeers(m.self, m.wireConfig(), m.tracker, m.log)
	m.peers.localDemand = func() map[string]wire.MemberDemand { return nil }
	m.peers.requestsWaiting = func() bool { return false }
	m.peers.onUpdate = func() {}
	m.peers.onPeerList, m.peers.summary, m.peers.view = m.confirmList, m.summaryForPeers, m.view
	m.buildFeeds()
	s.daemons = append(s.daemons, m)
	return m
}

// read lets a daemon read the store until it has an answer.
func (s *restoreSite) read(m *Member) {
	s.t.Helper()
	r := m.readers[0]
	err := r.read(s.t.Context())
	if errors.Is(err, ErrExpired) {
		r.mu.Lock()
		r.positioned = false
		r.mu.Unlock()
		err = r.read(s.t.Context())
	}
	require.NoError(s.t, err)
}

// tell delivers a daemon's current state to another one.
func (s *restoreSite) tell(from, to *Member) {
	to.peers.Handle("", from.peers.heartbeatState(time.Now()), nil)
}

// takeList lets a daemon fetch the list of a peer that has a newer one, if any.
func (s *restoreSite) takeList(m *Member) {
	local := m.summary()
	address, summary := m.peers.Freshest(local)
	for _, peer := range s.daemons {
		if peer.self.Peers != address {
			continue
		}
		source := chooseSource(local, summary, m.readers[0].isDown())
		if source.store {
			m.readers[0].expedite()
		}
		if source.full {
			reply := peer.view(false)
			(&peerView{member: m}).applyUpstreams(address, reply, reply.Age)
		}
	}
}

// keepAlive lets upstreams write their entries for the rest of the test.
func (s *restoreSite) keepAlive(ids ...string) {
	go func() {
		for revision := 2; s.t.Context().Err() == nil; revision++ {
			for _, id := range ids {
				s.store.write(id, upstreamEntry(id, revision))
			}
			sleep(s.t.Context(), testHeartbeat)
		}
	}()
}

// run lets the daemons proceed by themselves for a time, and calls check meanwhile.
func (s *restoreSite) run(d time.Duration, check func()) {
	ctx, cancel := context.WithTimeout(s.t.Context(), d)
	defer cancel()
	for _, m := range s.daemons {
		go func() { _ = m.readers[0].Serve(ctx) }()
		follower := &eraFollower{eras: m.cfg.Store.Eras(), readers: m.readers[:1], daemons: m.peers.KnownCount}
		go func() { _ = follower.Serve(ctx) }()
		go func() {
			for ctx.Err() == nil {
				sleep(ctx, viewInterval)
				m.upstreams.expireLapsed()
				s.takeList(m)
			}
		}()
		go func() {
			for ctx.Err() == nil {
				for _, other := range s.daemons {
					if other != m {
						s.tell(m, other)
					}
				}
				sleep(ctx, heartbeatInterval)
			}
		}()
	}
	for ctx.Err() == nil {
		sleep(ctx, viewInterval/2)
		check()
	}
	synctest.Wait()
}

func (s *restoreSite) lists(m *Member, id string) bool {
	return m.state.Snapshot().Upstreams[id] != nil
}

// requireGone checks that no daemon lists an upstream.
func (s *restoreSite) requireGone(id string) {
	s.t.Helper()
	for _, m := range s.daemons {
		require.False(s.t, s.lists(m, id), "%s lists %s, position %v", m.self.Instance, id, m.readers[0].position())
	}
}

// requireListed checks that all daemons list an upstream.
func (s *restoreSite) requireListed(id string) {
	s.t.Helper()
	for _, m := range s.daemons {
		require.True(s.t, s.lists(m, id), "%s doesn't list %s", m.self.Instance, id)
	}
}

// round lets the daemons read in order: a daemon whose list a peer has just confirmed doesn't,
// as in a site of many daemons.
func (s *restoreSite) round() {
	s.t.Helper()
	for _, m := range s.daemons {
		m.upstreams.expireLapsed()
		s.takeList(m)
		if m.readers[0].age() > testReadGap {
			s.read(m)
		}
		for _, other := range s.daemons {
			if other != m {
				s.tell(m, other)
				s.takeList(other)
			}
		}
	}
	time.Sleep(testRound)
}

// requireDropped lets the daemons proceed until an upstream that hasn't written since the
// restore must be gone, and checks that it stays gone, while a live one stays listed.
func (s *restoreSite) requireDropped(dead, live string) {
	s.t.Helper()
	for start := time.Now(); time.Since(start) <= testGrace+testDetection; {
		s.round()
		s.requireListed(live)
	}
	for start := time.Now(); time.Since(start) <= testGrace; {
		s.requireGone(dead)
		s.round()
		s.requireListed(live)
	}
}

// Guards against requests to a server that is gone: its removal is lost in a restore and
// written again, one daemon reads the store before that, another after it, and the first takes
// the other's read for its own, as both still list the server.
func TestRemovalBetweenReadsOfDaemonsAfterRestore(t *testing.T) {
	for _, size := range []int{2, largeListSize + 1} {
		t.Run(fmt.Sprint(size, " upstreams"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ids := []string{"dead", "live"}
				for i := len(ids); i < size; i++ {
					ids = append(ids, fmt.Sprint("live-", i))
				}
				s := newRestoreSite(t, 3, ids...)
				s.keepAlive(ids[1:]...)
				synctest.Wait()
				copied := s.store.end()
				s.store.write("dead", "")
				s.store.restore(copied)
				s.read(s.daemons[0])
				s.read(s.daemons[1])
				s.store.write("dead", "")
				time.Sleep(testReadGap)
				s.read(s.daemons[2])
				s.tell(s.daemons[2], s.daemons[0])
				s.tell(s.daemons[2], s.daemons[1])
				s.requireDropped("dead", "live")
			})
		})
	}
}

// Guards against requests to a server that is gone: a daemon has noticed that its entry is
// missing, and takes the list of a peer that hasn't.
func TestLapsedUpstreamIsDroppedDespitePeersList(t *testing.T) {
	for name, readsCopy := range map[string]bool{"peer has read the copy": true, "peer has read nothing since the restore": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestoreSite(t, 2, "dead", "live")
				s.keepAlive("live")
				synctest.Wait()
				copied := s.store.end()
				s.store.write("dead", "")
				s.store.restore(copied)
				if readsCopy {
					s.read(s.daemons[0])
				}
				s.store.write("dead", "")
				time.Sleep(testReadGap)
				s.read(s.daemons[1])
				s.tell(s.daemons[1], s.daemons[0])
				s.store.write("new", upstreamEntry("new", 1))
				time.Sleep(testReadGap)
				s.read(s.daemons[0])
				s.tell(s.daemons[0], s.daemons[1])
				s.takeList(s.daemons[1])
				s.requireDropped("dead", "live")
			})
		})
	}
}

// Guards against requests to a server that is gone and that the restored copy lacks: one daemon
// reads the copy, the others only learn that it has the same list.
func TestUpstreamMissingFromCopyIsDroppedWithoutOwnRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoreSite(t, 3, "live", "dead")
		copied := s.store.end() - 1
		s.store.restore(copied)
		s.keepAlive("live")
		time.Sleep(testReadGap)
		s.read(s.daemons[0])
		s.tell(s.daemons[0], s.daemons[1])
		s.tell(s.daemons[0], s.daemons[2])
		slices.Reverse(s.daemons) // one of the others reads first from now on
		s.requireDropped("dead", "live")
	})
}

// Guards against requests to a server that is gone: a daemon that was cut off from the store
// keeps it as lapsed, and another one takes its read, which includes the removal, for its own.
func TestRemovalReadAfterOutageByOneDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoreSite(t, 2, "live", "dead")
		s.keepAlive("live")
		time.Sleep(outageThreshold + testReadGap)
		s.read(s.daemons[0])
		s.store.write("dead", "")
		time.Sleep(testReadGap)
		s.read(s.daemons[1])
		s.tell(s.daemons[1], s.daemons[0])
		s.requireDropped("dead", "live")
	})
}

// Guards against requests to a server that is gone, but that the restored copy lists, as its
// removal is lost.
func TestUpstreamListedInCopyIsDroppedUnlessItWrites(t *testing.T) {
	orders := map[string]func(s *restoreSite){
		"all read": func(s *restoreSite) {
			for _, m := range s.daemons {
				s.read(m)
			}
		},
		"others learn that one has the same list": func(s *restoreSite) {
			time.Sleep(testReadGap)
			s.read(s.daemons[0])
			s.tell(s.daemons[0], s.daemons[1])
			s.tell(s.daemons[0], s.daemons[2])
		},
		"others take the list of one": func(s *restoreSite) {
			s.store.write("new", upstreamEntry("new", 1))
			time.Sleep(testReadGap)
			s.read(s.daemons[0])
			s.read(s.daemons[0])
			s.tell(s.daemons[0], s.daemons[1])
			s.tell(s.daemons[0], s.daemons[2])
			s.takeList(s.daemons[1])
			s.takeList(s.daemons[2])
		},
		"read after an outage": func(s *restoreSite) {
			time.Sleep(2 * outageThreshold)
			for _, m := range s.daemons {
				s.read(m)
			}
		},
	}
	for name, order := range orders {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestoreSite(t, 3, "dead", "live")
				s.keepAlive("live")
				synctest.Wait()
				copied := s.store.end()
				s.store.write("dead", "")
				s.store.restore(copied)
				order(s)
				s.requireDropped("dead", "live")
			})
		})
	}
}

// Guards against requests to a server that is gone: its entry lapsed in an outage, and the copy
// from which the store is then restored still has it.
func TestLapsedUpstreamListedInCopyIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoreSite(t, 2, "dead", "live")
		s.keepAlive("live")
		synctest.Wait()
		copied := s.store.end()
		time.Sleep(2 * outageThreshold)
		s.store.write("dead", "")
		for _, m := range s.daemons {
			s.read(m)
		}
		s.store.restore(copied)
		for _, m := range s.daemons {
			s.read(m)
		}
		s.requireDropped("dead", "live")
	})
}

// Guards against requests to a server that a daemon has rightly removed, and that comes back
// with the list of a peer that hadn't read the removal before the restore.
func TestRemovedUpstreamDoesNotReturnWithPeersList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoreSite(t, 2, "dead", "live")
		s.keepAlive("live")
		synctest.Wait()
		copied := s.store.end()
		s.store.write("dead", "")
		s.read(s.daemons[1])
		require.False(t, s.lists(s.daemons[1], "dead"))
		s.store.restore(copied)
		s.read(s.daemons[0])
		s.read(s.daemons[1])
		require.False(t, s.lists(s.daemons[1], "dead"))
		time.Sleep(testHeartbeat + testReadGap)
		s.read(s.daemons[0])
		s.tell(s.daemons[0], s.daemons[1])
		s.takeList(s.daemons[1])
		require.False(t, s.lists(s.daemons[1], "dead"), "not written in the new era")
		s.requireDropped("dead", "live")
	})
}

// Guards against requests to a server that is gone, by a daemon that starts after the restore.
func TestDaemonStartedAfterRestoreDropsUpstreamThatDoesNotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoreSite(t, 1, "dead", "live")
		s.keepAlive("live")
		synctest.Wait()
		copied := s.store.end()
		s.store.write("dead", "")
		s.read(s.daemons[0])
		s.store.restore(copied)
		s.read(s.daemons[0])
		s.read(s.start())
		slices.Reverse(s.daemons) // the new one reads for the other
		s.requireDropped("dead", "live")
	})
}

// Guards against a server that only the restored copy lists, and that is used once the store
// has deleted the history and its newest entries are read again.
func TestUpstreamOnlyInCopyStaysUnusedAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoreSite(t, 1, "dead", "live")
		s.keepAlive("live")
		synctest.Wait()
		copied := s.store.end()
		s.store.write("dead", "")
		s.read(s.daemons[0])
		s.store.restore(copied)
		s.read(s.daemons[0])
		s.requireGone("dead")
		time.Sleep(testHeartbeat)
		s.store.write("live", upstreamEntry("live", 100))
		s.store.dropHistory()
		s.read(s.daemons[0])
		s.requireGone("dead")
	})
}

// Guards against a removal that a daemon has read, and that is undone by a peer's older list
// which arrives before the daemon has recorded its read.
func TestPeersOlderListDuringReadKeepsRemoval(t *testing.T) {
	s := newRestoreSite(t, 2, "dead", "live")
	time.Sleep(testReadGap)
	s.store.write("live", upstreamEntry("live", 2))
	s.read(s.daemons[1])
	reply := s.daemons[1].view(false)
	s.store.write("dead", "")
	m := s.daemons[0]
	apply := m.readers[0].applyChanges
	taken := make(chan struct{})
	m.readers[0].applyChanges = func(entries []Entry) {
		apply(entries)
		go func() {
			defer close(taken)
			(&peerView{member: m}).applyUpstreams(s.daemons[1].self.Peers, reply, reply.Age)
		}()
		select {
		case <-taken:
		case <-time.After(testReadGap): // the list may have to wait for the end of the read
		}
	}
	s.read(m)
	<-taken
	require.False(t, s.lists(m, "dead"))
}

// Guards against an empty pool: the restored copy lacks the entries, and the store is away again
// before the servers could write them.
func TestStoreAwayAfterRestoreEmptiesNoPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoreSite(t, 3, "live")
		s.store.restore(0)
		for _, m := range s.daemons {
			s.read(m)
		}
		s.store.setDown(true)
		s.keepAlive("live")
		s.run(3*testGrace, func() { s.requireListed("live") })
		s.store.setDown(false)
		s.run(testGrace+testDetection, func() { s.requireListed("live") })
	})
}

// Guards against an empty pool after a second restore: the grace that began with the first one
// ends before the servers could write again.
func TestSecondRestoreBeginsNewGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoreSite(t, 3, "live")
		s.store.restore(0)
		for _, m := range s.daemons {
			s.read(m)
		}
		s.store.setDown(true)
		s.keepAlive("live")
		s.run(testGrace-testReadGap, func() { s.requireListed("live") })
		s.store.setDown(false)
		s.store.restore(0)
		s.run(testGrace+testDetection, func() { s.requireListed("live") })
	})
}

// Guards against requests refused by a daemon that starts while the restored store is away
// again, as its peers hand on no list.
func TestDaemonStartedWhileRestoredStoreIsAwayGetsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoreSite(t, 2, "live", "live-2")
		s.store.restore(2)
		for _, m := range s.daemons {
			s.read(m)
		}
		s.store.setDown(true)
		s.start()
		s.run(testGrace+testDetection, func() {})
		s.requireListed("live")
		s.requireListed("live-2")
	})
}

// Guards against requests to a draining upstream whose older entry, of the same revision, comes
// back with the restored copy.
func TestDrainingUpstreamStaysDrainingWithSameRevision(t *testing.T) {
	h := newFeedHarness()
	h.feed.reset([]Entry{entry("a", "p 1:1 started=5 revision=1")})
	h.feed.apply([]Entry{entry("a", "p 1:1 started=5 revision=1 leaving")})
	h.feed.resetRestored([]Entry{entry("a", "p 1:1 started=5 revision=1")})
	require.Equal(t, "a leaving", h.list())
}

// Guards against live upstreams that are dropped by a daemon that can't reach the restored store
// while its peers can.
func TestDaemonCutOffFromRestoredStoreKeepsLiveUpstreams(t *testing.T) {
	for _, copied := range []int{0, 1, 2} {
		t.Run(fmt.Sprint("copy of ", copied), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestoreSite(t, 3, "live", "live-2")
				cutOff := s.daemons[0].cfg.Store.(*logClient)
				cutOff.cutOff = true
				s.store.restore(copied)
				time.Sleep(testReadGap)
				s.read(s.daemons[1])
				s.store.write("new", upstreamEntry("new", 1))
				time.Sleep(testReadGap)
				s.read(s.daemons[1])
				s.tell(s.daemons[1], s.daemons[0])
				s.takeList(s.daemons[0])
				s.keepAlive("live", "live-2")
				s.run(3*testGrace, func() {
					s.requireListed("live")
					s.requireListed("live-2")
				})
			})
		})
	}
}

// Guards against a live upstream that is dropped after a restore, whoever reads first and
// whatever the copy lacks, and against calls that load the store that has just returned.
func TestLiveUpstreamsStayListedAfterRestore(t *testing.T) {
	const daemons = 5
	for _, copied := range []int{0, 1, 2} {
		t.Run(fmt.Sprint("copy of ", copied), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestoreSite(t, daemons, "live", "live-2")
				s.keepAlive("live", "live-2")
				check := func() {
					s.requireListed("live")
					s.requireListed("live-2")
				}
				s.run(testDetection, check)
				s.store.setDown(true)
				s.run(testHeartbeat, check)
				s.store.restore(copied)
				s.store.setDown(false)
				before := s.store.callCount()
				s.run(testGrace+testDetection, check)
				perDaemon := int((testGrace+testDetection)/upstreamsInterval) + 2
				require.LessOrEqual(t, s.store.callCount()-before, daemons*perDaemon)
			})
		})
	}
}
