package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// sharedSite is a set of processes that pass reports on to each other and share a log, either of
// which may be down.
type sharedSite struct {
	now     time.Time
	guards  []*Guard
	entries []journal.LogEntry
	read    []int
	// logDown and linksDown say what doesn't work.
	logDown, linksDown bool
}

func newSharedSite(processes int) *sharedSite {
	s := &sharedSite{now: testStart, read: make([]int, processes)}
	for i := range processes {
		g := NewGuard(NoIsolationConfig(), s, fmt.Sprint("p", i), func() time.Time { return s.now })
		g.Publish(func(e journal.Entry) { s.pass(i, e) }, func() bool { return !s.linksDown })
		s.guards = append(s.guards, g)
	}
	return s
}

func (s *sharedSite) pass(from int, e journal.Entry) {
	for i, g := range s.guards {
		if i != from && !s.linksDown {
			g.Hear(e)
		}
	}
}

// Append implements journal.Writer. Processes read the entry later, by readAll.
func (s *sharedSite) Append(_ context.Context, e journal.Entry) (journal.Position, error) {
	if s.logDown {
		return journal.Position{}, errDown
	}
	p := journal.LogEntry{Position: journal.Position{Offset: infra.Offset(len(s.entries) + 1)}, At: s.now, ReadAt: s.now, Entry: e}
	s.entries = append(s.entries, p)
	return p.Position, nil
}

// readAll makes all processes read the log up to its end.
func (s *sharedSite) readAll() {
	for i, g := range s.guards {
		for ; s.read[i] < len(s.entries); s.read[i]++ {
			g.Apply(s.entries[s.read[i]])
		}
	}
}

func (s *sharedSite) statusAt(process int, d Digest) Status {
	v, _ := s.guards[process].Check(d)
	return v.Status
}

func (s *sharedSite) crash(process int, upstream string, inFlight ...Digest) {
	_ = s.guards[process].Crashed(background, upstream, "1", inFlight)
}

// Guards against processes that count only the crashes they saw themselves, while the log or the
// links between them are down.
func TestThreeCrashesAnywhereQuarantineEverywhere(t *testing.T) {
	lethal := digest(1)
	for name, down := range map[string]func(*sharedSite){
		"all up": func(*sharedSite) {}, "log down": func(s *sharedSite) { s.logDown = true }, "links down": func(s *sharedSite) { s.linksDown = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSharedSite(3)
			down(s)
			for i := range 3 {
				s.crash(i, fmt.Sprint("u", i), lethal, digest(10+i))
			}
			s.readAll()
			for i := range s.guards {
				require.Equal(t, Quarantined, s.statusAt(i, lethal), "process %d", i)
				require.NotEqual(t, Quarantined, s.statusAt(i, digest(10)), "process %d", i)
			}
		})
	}
}

// Guards against a crash that counts more than once because it is both heard and read, in any
// order, and reported by several processes.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSharedSite(3)
		suspect := digest(1)
		upstreams := []string{"u0", "u1"}
		for range rapid.IntRange(2, 12).Draw(t, "reports") {
			s.linksDown = rapid.Bool().Draw(t, "links down")
			s.crash(rapid.IntRange(0, 2).Draw(t, "process"), rapid.SampledFrom(upstreams).Draw(t, "upstream"), suspect)
			if rapid.Bool().Draw(t, "read") {
				s.readAll()
			}
		}
		for i := range s.guards {
			require.NotEqual(t, Quarantined, s.statusAt(i, suspect), "two crashes only")
		}
	})
}

// Guards against requests that are quarantined because they were in flight at crashes that others
// caused, although one of them was answered in between.
func TestAnsweredRequestsAreNotQuarantined(t *testing.T) {
	s := newSharedSite(2)
	frequent := digest(1)
	for i := range 10 {
		s.crash(i%2, fmt.Sprint("u", i), frequent)
		require.NoError(t, s.guards[1-i%2].Answered(background, frequent))
		if i%3 == 0 {
			s.readAll()
		}
		s.now = s.now.Add(time.Second)
	}
	s.readAll()
	for i := range s.guards {
		require.Equal(t, Clean, s.statusAt(i, frequent))
	}
}

// Guards against a stream that is quarantined because each upstream it is resumed at crashes.
func TestResumedStreamsThatProgressAreNotQuarantined(t *testing.T) {
	s := newSharedSite(2)
	stream := digest(1)
	for i := range 5 {
		s.crash(0, fmt.Sprint("u", i), stream)
		require.NoError(t, s.guards[0].Progressed(background, stream))
		s.readAll()
	}
	require.NotEqual(t, Quarantined, s.statusAt(1, stream))
	s.crash(0, "u5", stream)
	require.Equal(t, Quarantined, s.statusAt(1, stream), "it has crashed six upstreams and was never answered")
}

// Guards against what is known being forgotten when the log comes back from a copy without it.
func TestQuarantineOutlivesARestoredLog(t *testing.T) {
	s := newSharedSite(2)
	lethal, suspect := digest(1), digest(2)
	for i := range 3 {
		s.crash(i%2, fmt.Sprint("u", i), lethal)
	}
	s.crash(0, "u8", suspect)
	s.crash(0, "u9", suspect)
	s.readAll()
	s.entries, s.read = s.entries[:1], make([]int, 2)
	for _, g := range s.guards {
		g.Restored()
	}
	s.readAll()
	for i := range s.guards {
		require.Equal(t, Quarantined, s.statusAt(i, lethal))
		require.Equal(t, Suspected, s.statusAt(i, suspect))
	}
	for _, g := range s.guards {
		g.flush(background)
	}
	s.readAll()
	late := NewGuard(NoIsolationConfig(), s, "late", func() time.Time { return s.now })
	for _, e := range s.entries {
		late.Apply(e)
	}
	v, err := late.Check(lethal)
	require.Error(t, err)
	require.Equal(t, Quarantined, v.Status)
	v, _ = late.Check(suspect)
	require.Equal(t, Suspected, v.Status, "reported again by two processes")
}

// Guards against repetitions between processes that keep a suspicion alive for good.
func TestRepeatedReportsExpire(t *testing.T) {
	s := newSharedSite(2)
	s.logDown, s.linksDown = true, true
	lethal := digest(1)
	for i := range 3 {
		s.crash(0, fmt.Sprint("u", i), lethal)
	}
	require.NotEqual(t, s.guards[0].Fingerprint(), s.guards[1].Fingerprint())
	limit := s.now.Add(s.guards[0].state.cfg.SuspectFor + time.Second)
	for from := 0; s.now.Before(limit); from = 1 - from {
		for _, e := range s.guards[from].Reports() {
			s.guards[1-from].Hear(e)
		}
		s.now = s.now.Add(time.Minute)
	}
	s.now = limit
	for i := range s.guards {
		require.Equal(t, Clean, s.statusAt(i, lethal))
	}
}

// Guards against memory that grows with the different requests that are sent while upstreams crash.
func TestUnconfirmedCrashesAreBounded(t *testing.T) {
	s := newSharedSite(1)
	s.logDown = true
	limit := s.guards[0].state.cfg.MaxDigests
	lethal := digest(0)
	for i := range 2 {
		s.crash(0, fmt.Sprint("u", i), lethal)
	}
	for i := range 3 * limit / 100 {
		many := make([]Digest, 100)
		for j := range many {
			many[j] = digest(1 + 100*i + j)
		}
		s.crash(0, fmt.Sprint("v", i), many...)
	}
	require.LessOrEqual(t, len(s.guards[0].unconfirmed), limit)
	s.crash(0, "u2", lethal)
	require.Equal(t, Quarantined, s.statusAt(0, lethal), "the digest with the most crashes is kept")
}

// A request that isn't known costs a look at its head at most.
func BenchmarkKnows(b *testing.B) {
	r := Request{Scope: "organisation", Method: "POST", Path: "/path/of/a/request", Body: make([]byte, 4<<20)}
	for _, suspects := range []int{0, 4096} {
		b.Run(fmt.Sprint(suspects), func(b *testing.B) {
			s := newSharedSite(1)
			s.logDown = true
			for i := range suspects / 128 {
				many := make([]Digest, 128)
				for j := range many {
					many[j] = digest(128*i + j)
				}
				s.crash(0, fmt.Sprint("u", i), many...)
			}
			b.ReportAllocs()
			for b.Loop() {
				s.guards[0].Knows(&r)
			}
		})
	}
}

// Guards against a released request that is quarantined again by a process that hasn't heard of the
// release.
func TestReleaseOutlastsStaleReports(t *testing.T) {
	s := newSharedSite(2)
	lethal := digest(1)
	for i := range 3 {
		s.crash(0, fmt.Sprint("u", i), lethal)
	}
	s.readAll()
	stale := s.guards[1].Reports()
	s.linksDown = true
	require.NoError(t, s.guards[0].Release(background, Release{Digest: lethal, Operator: "o", Reason: "r"}))
	s.now = s.now.Add(time.Second)
	s.readAll()
	for _, e := range stale {
		s.guards[0].Hear(e)
		s.guards[1].Hear(e)
	}
	require.Equal(t, Clean, s.statusAt(0, lethal))
	require.Equal(t, Clean, s.statusAt(1, lethal))
}

// Guards against a quarantine older than a suspicion lasts that a restore of the log ends, and that
// other processes can't be told of.
func TestOldQuarantineOutlivesARestore(t *testing.T) {
	s := newSharedSite(2)
	lethal := digest(1)
	for i := range 3 {
		s.crash(0, fmt.Sprint("u", i), lethal)
	}
	s.readAll()
	s.now = s.now.Add(2 * s.guards[0].state.cfg.SuspectFor)
	late := newSharedSite(1)
	late.now = s.now
	for _, e := range s.guards[0].Reports() {
		late.guards[0].Hear(e)
	}
	require.Equal(t, Quarantined, late.statusAt(0, lethal), "a process that was told")
	s.guards[0].Restored()
	require.Equal(t, Quarantined, s.statusAt(0, lethal))
	s.now = s.now.Add(s.guards[0].state.cfg.QuarantineFor)
	require.Equal(t, Clean, s.statusAt(0, lethal))
}

// Guards against a quarantine that a response to a run from before ends, where it isn't in the log.
func TestLateResponseDoesNotEndAQuarantine(t *testing.T) {
	s := newSharedSite(2)
	s.logDown = true
	lethal := digest(1)
	for i := range 3 {
		s.crash(0, fmt.Sprint("u", i), lethal)
	}
	s.guards[1].Hear(entryOf(journal.KindQuarantine, "late", "p9", message{Completed: &completed{Digest: lethal}}))
	require.Equal(t, Quarantined, s.statusAt(1, lethal))
}
