package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

var testStart = time.Unix(1_700_000_000, 0)

// fakeLog is a log that several guards fold at once, each entry ID once.
type fakeLog struct {
	at      time.Time
	entries []journal.LogEntry
	seen    map[string]bool
	guards  []*Guard
	down    bool
}

var errDown = errors.New("log is down")

func newFakeLog(instances int) *fakeLog {
	l := &fakeLog{at: testStart, seen: map[string]bool{}}
	for i := range instances {
		l.guards = append(l.guards, l.guard(fmt.Sprintf("i%d", i)))
	}
	return l
}

func (l *fakeLog) guard(name string) *Guard {
	return NewGuard(DefaultConfig(), l, name, func() time.Time { return l.at })
}

// Append implements journal.Writer.
func (l *fakeLog) Append(_ context.Context, e journal.Entry) (journal.Position, error) {
	if l.down {
		return journal.Position{}, errDown
	}
	l.at = l.at.Add(5 * time.Millisecond)
	p := journal.LogEntry{Position: journal.Position{Offset: infra.Offset(len(l.entries) + 1)}, At: l.at, ReadAt: l.at, Entry: e}
	l.entries = append(l.entries, p)
	if l.seen[e.ID] {
		return p.Position, nil
	}
	l.seen[e.ID] = true
	for _, g := range l.guards {
		g.Apply(p)
	}
	return p.Position, nil
}

// late returns a guard that reads the log from an index, as if all entries before
// had been trimmed.
func (l *fakeLog) late(from int) *Guard {
	g := l.guard("late")
	for _, p := range l.entries[from:] {
		g.Apply(p)
	}
	return g
}

func digest(i int) Digest { return DigestOf("m", "/v1/completions", fmt.Appendf(nil, "request %d", i)) }

func statusOf(g *Guard, d Digest) Status {
	v, _ := g.Check(d)
	return v.Status
}

var background = context.Background()

// Guards against refusing innocent requests, or letting a poisonous one crash a
// third engine. One poisonous request and ten others, from three instances, are in
// flight when engine a crashes. All are retried in isolation, and the poisonous one
// crashes a second engine.
func TestOnlyThePoisonousRequestIsQuarantined(t *testing.T) {
	for poison := range 11 {
		l := newFakeLog(3)
		inFlight := make([][]Digest, 3)
		for i := range 11 {
			inFlight[i%3] = append(inFlight[i%3], digest(i))
		}
		for i, g := range l.guards {
			require.NoError(t, g.Crashed(background, "a", "", inFlight[i]))
		}
		dead := map[string]bool{"a": true}
		running := map[int]*Isolation{} // by index in engines
		engines := []string{"b", "c", "d"}
		waiting := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
		for len(waiting) > 0 {
			started := map[int]int{}
			var left []int
			for _, i := range waiting {
				if !startSomewhere(l.guards[i%3], engines, dead, digest(i), func(e int, iso *Isolation) {
					running[e], started[e] = iso, i
				}) {
					left = append(left, i)
				}
			}
			waiting = left
			for e, i := range started {
				if i != poison {
					running[e].End(background, true)
					continue
				}
				dead[engines[e]] = true
				require.NoError(t, l.guards[i%3].Crashed(background, engines[e], "", []Digest{digest(i)}))
				running[e].End(background, false)
			}
		}
		require.Len(t, dead, 2, "the poisonous request crashed two engines")
		for i := range 11 {
			for _, g := range append(l.guards, l.late(0)) {
				want := Clean
				if i == poison {
					want = Quarantined
				}
				require.Equal(t, want, statusOf(g, digest(i)), "request %d", i)
			}
		}
		_, err := l.guards[2].Check(digest(poison))
		var refused *Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, "a", refused.Verdict.Upstreams[0])
		require.Positive(t, refused.RetryAfter)
	}
}

func startSomewhere(g *Guard, engines []string, dead map[string]bool, d Digest, started func(int, *Isolation)) bool {
	for e, name := range engines {
		if dead[name] || !g.MayRunOn(name, d) {
			continue
		}
		iso, err := g.Isolate(background, name, d)
		if errors.Is(err, ErrReserved) {
			continue
		}
		started(e, iso)
		return true
	}
	return false
}

func TestFold(t *testing.T) {
	d := digest(1)
	crash := func(g *Guard, upstream, incarnation string) {
		if err := g.Crashed(background, upstream, incarnation, []Digest{d}); err != nil {
			panic(err)
		}
	}
	cases := []struct {
		name string
		do   func(l *fakeLog)
		want Status
	}{
		{"one crash", func(l *fakeLog) { crash(l.guards[0], "a", "1") }, Suspected},
		{"one crash reported by all", func(l *fakeLog) {
			for _, g := range l.guards {
				crash(g, "a", "")
			}
		}, Suspected},
		{"two upstreams", func(l *fakeLog) { crash(l.guards[0], "a", "1"); crash(l.guards[1], "b", "1") }, Quarantined},
		{"one upstream twice", func(l *fakeLog) { crash(l.guards[0], "a", "1"); crash(l.guards[0], "a", "2") }, Suspected},
		{"one upstream three times", func(l *fakeLog) {
			for _, n := range []string{"1", "2", "3"} {
				crash(l.guards[0], "a", n)
			}
		}, Quarantined},
		{"answered between the crashes", func(l *fakeLog) {
			crash(l.guards[0], "a", "1")
			iso, err := l.guards[1].Isolate(background, "b", d)
			if err != nil {
				panic(err)
			}
			iso.End(background, true)
			crash(l.guards[1], "c", "1")
		}, Suspected},
		{"succeeded recently, so probably not the cause", func(l *fakeLog) {
			l.guards[0].Completed(d)
			crash(l.guards[0], "a", "1")
			crash(l.guards[0], "b", "1")
		}, Clean},
		{"succeeded recently, but three crashes", func(l *fakeLog) {
			l.guards[0].Completed(d)
			for _, u := range []string{"a", "b", "c"} {
				crash(l.guards[0], u, "1")
			}
		}, Quarantined},
		{"suspicion expires", func(l *fakeLog) { crash(l.guards[0], "a", "1"); l.at = l.at.Add(11 * time.Minute) }, Clean},
		{"quarantine expires", func(l *fakeLog) {
			crash(l.guards[0], "a", "1")
			crash(l.guards[0], "b", "1")
			l.at = l.at.Add(61 * time.Minute)
		}, Clean},
		{"released", func(l *fakeLog) {
			crash(l.guards[0], "a", "1")
			crash(l.guards[0], "b", "1")
			if err := l.guards[1].Release(background, Release{Digest: d, Operator: "ann"}); err != nil {
				panic(err)
			}
		}, Clean},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newFakeLog(3)
			c.do(l)
			for _, g := range append(l.guards, l.late(0)) {
				require.Equal(t, c.want, statusOf(g, d))
			}
		})
	}
}

// Guards against losing a quarantine when its log records are trimmed: an instance
// that starts later must refuse the request exactly as long as the others. A stale
// checkpoint must not undo an operator's release.
func TestCheckpointsOutliveTheLog(t *testing.T) {
	l := newFakeLog(2)
	bad, freed := digest(1), digest(2)
	for _, u := range []string{"a", "b"} {
		require.NoError(t, l.guards[0].Crashed(background, u, "1", []Digest{bad, freed}))
	}
	l.at = l.at.Add(20 * time.Minute)
	stale := l.guards[1].due(0) // appended later by a slow process
	require.NoError(t, l.guards[0].Release(background, Release{Digest: freed}))
	l.guards[1].appendAll(background, stale)
	require.Equal(t, Clean, statusOf(l.guards[0], freed))
	require.Equal(t, Quarantined, statusOf(l.guards[0], bad))
	trimmed := len(l.entries) - len(stale)

	l.at = l.at.Add(10 * time.Minute)
	_, _ = l.Append(background, journal.Entry{Kind: journal.KindAudit, ID: "time goes on"})
	for _, g := range l.guards {
		g.appendAll(background, g.due(10*time.Minute))
	}
	late := l.late(trimmed)
	for _, g := range append(l.guards, late) {
		require.Equal(t, Quarantined, statusOf(g, bad))
		require.Equal(t, Clean, statusOf(g, freed))
	}
	l.at = l.at.Add(31 * time.Minute)
	require.Equal(t, Clean, statusOf(late, bad), "a checkpoint does not prolong it")
}

// An engine crashes while the log is down. Its requests must become suspects in
// this process at once, two of its suspects must not share an engine, and the log
// must get the report later.
func TestLogIsDown(t *testing.T) {
	l := newFakeLog(2)
	l.down = true
	g := l.guards[0]
	require.Error(t, g.Crashed(background, "a", "1", []Digest{digest(1), digest(2)}))
	require.Equal(t, Suspected, statusOf(g, digest(1)))
	iso, err := g.Isolate(background, "b", digest(1))
	require.NoError(t, err)
	require.False(t, g.MayRunOn("b", digest(2)))
	_, err = g.Isolate(background, "b", digest(2))
	require.ErrorIs(t, err, ErrReserved)
	require.True(t, g.MayRunOn("b", digest(9)), "others may run there")
	iso.End(background, false)
	for range 2 * maxPending {
		_ = g.Crashed(background, "x", "1", []Digest{digest(3)})
	}
	require.Len(t, g.pending, maxPending)
	l.down = false
	g.flush(background)
	require.Empty(t, g.pending)
	require.Equal(t, Suspected, statusOf(l.guards[1], digest(3)))
}

// Guards against a poisonous request that crashes one engine after another at an
// instance without a connection to the log. The instance must count the crashes
// that it observed itself. A second crash of the same engine, or a success in
// between, must not count.
func TestLogIsDownAndEnginesDie(t *testing.T) {
	const a, b = "a", "b"
	l := newFakeLog(2)
	g := l.guards[0]
	crash := func(engines ...string) {
		for _, e := range engines {
			require.ErrorIs(t, g.Crashed(background, e, "", []Digest{digest(0)}), errDown)
		}
	}
	require.NoError(t, l.guards[1].Crashed(background, a, "", []Digest{digest(1)}))
	l.down = true
	require.ErrorIs(t, g.Crashed(background, a, "", []Digest{digest(1)}), errDown)
	require.Equal(t, Suspected, statusOf(g, digest(1)), "one crash, read from the log and observed here")
	require.ErrorIs(t, g.Crashed(background, b, "", []Digest{digest(1)}), errDown)
	require.Equal(t, Quarantined, statusOf(g, digest(1)), "one crash read from the log, one observed here")

	crash(a, a)
	require.Equal(t, Suspected, statusOf(g, digest(0)))
	iso, err := g.Isolate(background, b, digest(0))
	require.NoError(t, err)
	iso.End(background, true)
	crash(b)
	require.Equal(t, Suspected, statusOf(g, digest(0)), "a success in between")
	crash(a)
	_, err = g.Check(digest(0))
	var refused *Error
	require.ErrorAs(t, err, &refused)
	require.ElementsMatch(t, []string{a, b}, refused.Verdict.Upstreams)
	l.at = l.at.Add(DefaultConfig().SuspectFor)
	require.Equal(t, Clean, statusOf(g, digest(0)))
}

// Two instances request isolation before either has read the other's entry: one
// engine for two suspects, then two engines for one suspect. The log's order must
// decide, with the same result on both.
func TestRaceForIsolation(t *testing.T) {
	l := newFakeLog(2)
	for i, c := range []struct {
		d        Digest
		upstream string
		wins     bool
	}{{digest(1), "b", true}, {digest(2), "b", false}, {digest(1), "c", false}, {digest(2), "c", true}} {
		_, _ = l.Append(background, entryOf(journal.KindQuarantine, fmt.Sprint(i), "w", message{Isolate: &isolate{c.d, c.upstream}}))
		for _, g := range l.guards {
			require.Equal(t, c.wins, g.reservedFor(c.upstream, c.d))
		}
	}
}

// Guards against two suspects on one engine and one suspect on two engines.
func TestOneSuspectAtATime(t *testing.T) {
	l := newFakeLog(2)
	require.NoError(t, l.guards[0].Crashed(background, "a", "1", []Digest{digest(1), digest(2)}))
	iso, err := l.guards[0].Isolate(background, "b", digest(1))
	require.NoError(t, err)
	_, err = l.guards[1].Isolate(background, "b", digest(2))
	require.ErrorIs(t, err, ErrReserved)
	_, err = l.guards[1].Isolate(background, "c", digest(1))
	require.ErrorIs(t, err, ErrReserved, "the same suspect on two engines could crash both")
	iso.End(background, true)
	_, err = l.guards[1].Isolate(background, "b", digest(2))
	require.NoError(t, err)
	l.at = l.at.Add(2 * time.Minute)
	require.NoError(t, l.guards[0].Crashed(background, "x", "1", []Digest{digest(3)}))
	require.True(t, l.guards[0].MayRunOn("b", digest(3)), "a run whose end isn't reported expires")
}

// All processes that have folded the same entries must refuse the same requests,
// and the state must stay bounded whatever is reported.
func TestFoldIsDeterministicAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.MaxDigests = 5
		l := newFakeLog(2)
		for _, g := range l.guards {
			g.state = NewState(cfg)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			l.at = l.at.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Second)
			g := l.guards[rapid.IntRange(0, 1).Draw(t, "who")]
			d := digest(rapid.IntRange(0, 8).Draw(t, "digest"))
			u := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				_ = g.Crashed(background, u, "", []Digest{d})
			case 2:
				if iso, err := g.Isolate(background, u, d); err == nil {
					iso.End(background, rapid.Bool().Draw(t, "passed"))
				}
			case 3:
				_ = g.Release(background, Release{Digest: d})
			default:
				g.appendAll(background, g.due(10*time.Minute))
			}
			require.LessOrEqual(t, len(g.state.suspects), cfg.MaxDigests)
			for i := range 9 {
				require.Equal(t, l.guards[0].state.Verdict(digest(i), l.at), l.guards[1].state.Verdict(digest(i), l.at))
			}
		}
	})
}

func TestDigest(t *testing.T) {
	d := DigestOf("m", "/p", []byte("body"))
	require.NotEqual(t, d, DigestOf("m/", "p", []byte("body")))
	require.NotEqual(t, d, DigestOf("m", "/pb", []byte("ody")))
	back, err := ParseDigest(d.String())
	require.NoError(t, err)
	require.Equal(t, d, back)
	_, err = ParseDigest("short")
	require.Error(t, err)
}

func BenchmarkCheck(b *testing.B) {
	l := newFakeLog(1)
	for i := range 1000 {
		_ = l.guards[0].Crashed(background, "a", "1", []Digest{digest(i)})
	}
	body := make([]byte, 8<<10)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = l.guards[0].Check(DigestOf("m", "/v1/completions", body))
	}
}
