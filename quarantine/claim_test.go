package quarantine

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/journal"
)

// claimAtOnce makes all processes claim a run of a digest at the same time, and returns how many
// got it.
func (s *sharedSite) claimAtOnce(d Digest, upstreams ...string) int {
	var held atomic.Int32
	var processes sync.WaitGroup
	for i, g := range s.guards {
		processes.Go(func() {
			if _, err := g.Claim(background, d, time.Second, upstreams[i%len(upstreams)]); err == nil {
				held.Add(1)
			}
		})
	}
	processes.Wait()
	return int(held.Load())
}

// Guards against a suspect that several processes send at the same time.
func TestOneProcessClaimsASuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSite(7)
		s.crash(0, "u0", digest(1))
		require.Equal(t, 1, s.claimAtOnce(digest(1), "u1", "u2", "u3"))
		require.Zero(t, s.claimAtOnce(digest(1), "u1", "u2", "u3"), "one run has a claim")
		for _, g := range s.guards {
			require.True(t, g.Reservations(digest(1)).Running)
			require.False(t, g.Reservations(digest(2)).Running)
		}
	})
}

// Guards against a suspect that never runs again because the process that tried it has ended.
func TestClaimOfAnEndedProcessLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSite(2)
		s.crash(0, "u0", digest(1))
		_, err := s.guards[0].Claim(background, digest(1), time.Hour, "u1")
		require.NoError(t, err)
		_, err = s.guards[1].Claim(background, digest(1), time.Hour, "u2")
		require.ErrorIs(t, err, ErrReserved)
		s.now = s.now.Add(maxClaimTime)
		claim, err := s.guards[1].Claim(background, digest(1), time.Hour, "u2")
		require.NoError(t, err)
		claim.End()
		claim.End()
		_, err = s.guards[0].Claim(background, digest(1), time.Hour, "u3")
		require.NoError(t, err)
	})
}

// Guards against a suspect that waits for a claim to lapse, since a broken link has lost its end.
func TestLostEndOfAClaimIsToldAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSite(2)
		s.crash(0, "u0", digest(1))
		var broken atomic.Bool
		s.guards[0].Publish(func(e journal.Entry) {
			if !broken.Load() {
				s.pass(0, e)
			}
		}, s.guards[0].reachesAll)
		claim, err := s.guards[0].Claim(background, digest(1), time.Hour, "u1")
		require.NoError(t, err)
		broken.Store(true)
		claim.End()
		broken.Store(false)
		require.True(t, s.guards[1].Reservations(digest(1)).Running)
		time.Sleep(claimEndRepeats[0] + time.Millisecond)
		synctest.Wait()
		require.False(t, s.guards[1].Reservations(digest(1)).Running)
	})
}

// Guards against a suspect that waits for the claim of a process that was killed and has started again.
func TestClaimEndsWithItsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSite(3)
		s.crash(0, "u0", digest(1))
		s.crash(0, "u0", digest(2))
		_, err := s.guards[0].Claim(background, digest(1), time.Hour, "u1")
		require.NoError(t, err)
		_, err = s.guards[2].Claim(background, digest(2), time.Hour, "u2")
		require.NoError(t, err)
		s.guards[1].Restarted("p0")
		require.False(t, s.guards[1].Reservations(digest(1)).Running)
		require.True(t, s.guards[1].Reservations(digest(2)).Running, "of a process that goes on")
	})
}

// Guards against a claim that a process which wasn't heard for a while makes beside one in force.
func TestClaimInForceIsToldToNewcomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSite(2)
		s.crash(0, "u0", digest(1))
		s.linksDown = true
		_, err := s.guards[0].Claim(background, digest(1), time.Second, "u1")
		require.NoError(t, err)
		s.linksDown = false
		for range 8 { // whatever the order of their IDs
			_, err = s.guards[1].Claim(background, digest(1), time.Second, "u2")
			require.ErrorIs(t, err, ErrReserved)
			s.guards[1].mu.Lock()
			clear(s.guards[1].claims)
			s.guards[1].mu.Unlock()
		}
	})
}

// Guards against an innocent suspect that is counted for the crash by another one beside it, again
// and again.
func TestSuspectsOfSeveralCrashesRunAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSite(2)
		s.crash(0, "u0", digest(1), digest(2), digest(3))
		claim, err := s.guards[0].Claim(background, digest(1), time.Second, "u1")
		require.NoError(t, err)
		other, err := s.guards[1].Claim(background, digest(2), time.Second, "u1")
		require.NoError(t, err, "suspects of one crash share an upstream")
		claim.End()
		other.End()
		s.crash(0, "u1", digest(1), digest(2))
		claim, err = s.guards[0].Claim(background, digest(1), time.Second, "u2")
		require.NoError(t, err)
		require.Equal(t, []string{"u2"}, s.guards[1].Reservations(digest(2)).Reserved)
		for _, d := range []Digest{digest(2), digest(3)} {
			_, err = s.guards[1].Claim(background, d, time.Second, "u2")
			require.ErrorIs(t, err, ErrReserved)
		}
		claim.End()
		require.Empty(t, s.guards[1].Reservations(digest(2)).Reserved)
	})
}

// Guards against a waiting suspect that isn't woken when its turn may have come.
func TestWaitersAreWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSite(2)
		s.crash(0, "u0", digest(1))
		claim, err := s.guards[0].Claim(background, digest(1), time.Second, "u1")
		require.NoError(t, err)
		ended := s.guards[1].Changed()
		claim.End()
		requireClosed(t, ended)
		cleared := s.guards[1].Changed()
		require.NoError(t, s.guards[0].Answered(background, digest(1)))
		requireClosed(t, cleared)
	})
}

func requireClosed(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	default:
		require.Fail(t, "not woken")
	}
}
