package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/journal"
)

// crashAll makes processes report crashes of the upstreams in turn, all with the part in flight.
func (s *sharedSite) crashAll(incarnation string, upstreams ...string) {
	for i, u := range upstreams {
		_ = s.guards[i%len(s.guards)].Crashed(background, u, incarnation, []Digest{commonPart})
	}
}

func (s *sharedSite) strikesAt(process int) int {
	v, _ := s.guards[process].Check(commonPart)
	return v.Strikes
}

// Guards against crashes that an answer has cleared, and that come back in the repeated reports of a
// process that hasn't heard of the answer.
func TestClearedCrashesAreNotReportedBack(t *testing.T) {
	for _, incarnation := range []string{"1", ""} {
		t.Run(fmt.Sprintf("incarnation %q", incarnation), func(t *testing.T) {
			s := newSharedSite(2)
			s.logDown = true
			s.crashAll(incarnation, "u0", "u1", "u2", "u3")
			s.linksDown = true
			_ = s.guards[0].Answered(background, commonPart)
			for _, e := range s.guards[1].Reports() {
				s.guards[0].Hear(e)
			}
			require.Equal(t, Clean, s.statusAt(0, commonPart))
		})
	}
}

// Guards against crashes that an answer has cleared, and that a process reports once more that finds them
// out later.
func TestClearedCrashesAreNotCountedForALateReport(t *testing.T) {
	for name, down := range map[string]func(*sharedSite){
		"links and log": func(*sharedSite) {},
		"links only":    func(s *sharedSite) { s.logDown = true },
		"log only":      func(s *sharedSite) { s.linksDown = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSharedSite(2)
			down(s)
			upstreams := []string{"u0", "u1", "u2", "u3"}
			for _, u := range upstreams {
				s.crash(0, u, commonPart)
			}
			s.readAll()
			_ = s.guards[0].Answered(background, commonPart)
			s.now = s.now.Add(time.Second)
			s.readAll()
			for _, u := range upstreams {
				s.crash(1, u, commonPart)
			}
			s.readAll()
			for i := range s.guards {
				require.Equal(t, Clean, s.statusAt(i, commonPart), "process %d", i)
			}
		})
	}
}

// Guards against an answer that clears only what the process that got it has read of the log: others' reports
// of the same crashes may follow there.
func TestAnswerClearsReportsThatFollowInTheLog(t *testing.T) {
	s := newSharedSite(2)
	s.crashAll("1", "u0", "u1", "u2", "u3")
	reports := s.guards[1].likely([]Digest{commonPart})
	require.NotEmpty(t, reports)
	s.entries, s.read = nil, make([]int, 2)
	require.NoError(t, s.guards[0].Answered(background, commonPart))
	for _, e := range reports {
		_, err := s.Append(background, e)
		require.NoError(t, err)
	}
	s.readAll()
	late := NewGuard(NoIsolationConfig(), s, "late", func() time.Time { return s.now })
	for _, e := range s.entries {
		late.Apply(e)
	}
	for _, g := range append(s.guards, late) {
		v, _ := g.Check(commonPart)
		require.Equal(t, Clean, v.Status)
	}
}

// Guards against a crash that counts again with each repetition of its report, although no upstream has
// crashed since, whether or not reports name incarnations.
func TestRepeatedReportsCountACrashOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSharedSite(2)
		upstreams := []string{"u0", "u1", "u2", "u3"}
		s.logDown = rapid.Bool().Draw(t, "log down")
		s.crashAll(rapid.SampledFrom([]string{"1", ""}).Draw(t, "incarnation"), upstreams...)
		for range rapid.IntRange(1, 4).Draw(t, "repetitions") {
			from := rapid.IntRange(0, 1).Draw(t, "from")
			for _, e := range rapid.Permutation(s.guards[from].Reports()).Draw(t, "order") {
				s.guards[1-from].Hear(e)
			}
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
			if rapid.Bool().Draw(t, "read") {
				s.readAll()
			}
		}
		for i := range s.guards {
			require.Equal(t, len(upstreams), s.strikesAt(i), "process %d", i)
		}
	})
}

// Guards against a frequent request that is quarantined because its answers clear nothing once they have come
// some events further.
func TestAnswerAfterProgressClearsAllCrashes(t *testing.T) {
	for name, down := range map[string]func(*sharedSite){
		"links and log": func(*sharedSite) {},
		"links only":    func(s *sharedSite) { s.logDown = true },
		"log only":      func(s *sharedSite) { s.linksDown = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSharedSite(2)
			down(s)
			frequent := digest(1)
			for i := range 10 {
				s.crash(i%2, fmt.Sprint("u", i), frequent)
				s.readAll()
				_ = s.guards[1-i%2].Progressed(background, frequent)
				_ = s.guards[1-i%2].Answered(background, frequent)
				s.readAll()
			}
			for i := range s.guards {
				require.NotEqual(t, Quarantined, s.statusAt(i, frequent), "process %d", i)
			}
		})
	}
}

// Guards against the report of an answer that names crashes without end, each of which is compared with all others.
func TestReportOfAnAnswerIsBounded(t *testing.T) {
	s := newSharedSite(1)
	s.crash(0, "u0", commonPart)
	many := make([]crashID, 100*maxCleared)
	for i := range many {
		many[i] = crashID{Upstream: fmt.Sprint("v", i), Incarnation: "1"}
	}
	report := entryOf(journal.KindQuarantine, "many", "p9", message{Completed: &completed{commonPart, many}})
	g := s.guards[0]
	require.True(t, g.Hear(report))
	g.Apply(journal.LogEntry{At: s.now, ReadAt: s.now, Entry: report})
	for name, cleared := range map[string]int{"heard": len(g.unconfirmed[commonPart].cleared), "read": len(g.state.suspects[commonPart].cleared)} {
		require.LessOrEqual(t, cleared, maxCleared, name)
	}
	require.True(t, g.isCleared(commonPart, crashID{"u0", "1"}, false), "what this process knew isn't pushed out")
}
