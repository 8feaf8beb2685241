package member

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/wire"
)

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
	reply := s.daemons[1].view(wire.ViewRequest{})
	s.store.write("dead", "")
	m := s.daemons[0]
	apply := m.readers[upstreamReader].applyChanges
	taken := make(chan struct{})
	m.readers[upstreamReader].applyChanges = func(entries []Entry) {
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
