package claim

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

var testConfig = Config{KeyTTL: 10 * time.Minute, Retention: time.Minute, KeySkew: 20 * time.Second}

var testStart = time.Unix(1_700_000_000, 0)

// history is a log of claims, built by a test.
type history []journal.Placed

func (h *history) add(at time.Time, e journal.Entry, writer string) {
	e.Writer = writer
	position := journal.Position{Offset: infra.Offset(len(*h) + 1)}
	*h = append(*h, journal.Placed{Position: position, At: at, ReadAt: at, Entry: e})
}

func (h history) fold(l *Ledger) *Ledger {
	for _, p := range h {
		l.Apply(p)
	}
	return l
}

func attempt(n int) AttemptID { return AttemptID{15: byte(n)} }

// drawMessage makes any message about few keys and attempts, so that copies,
// strangers' withdrawals and outcomes out of order are common.
func drawMessage(t *rapid.T, at time.Time) journal.Entry {
	key := KeyID{rapid.Byte().Draw(t, "key") % 3}
	a := attempt(rapid.IntRange(1, 6).Draw(t, "attempt"))
	digest := uint64(a[15])
	switch rapid.IntRange(0, 5).Draw(t, "type") {
	case 0:
		return withdrawal{Key: key, Attempt: a}.entry()
	case 1:
		return outcome{Key: key, Attempt: a, Digest: digest, Status: 200}.entry()
	case 2:
		return brokenOff{Key: key, Attempt: a, Digest: digest}.entry()
	case 3:
		made := at.Add(time.Duration(rapid.IntRange(-11*60, 30).Draw(t, "made")) * time.Second)
		return claimRequest{Key: key, Attempt: a, Digest: digest, CreatedAtMillis: made.UnixMilli()}.entry()
	default:
		return claimRequest{Key: key, Attempt: a, Digest: digest}.entry()
	}
}

// An instance is replaced after the log has let the first claims expire. If it
// learned other things from a checkpoint than the others have read, a key
// would be free for it that has run. The checkpoint's writer may lag behind
// the log's end, so the records behind it are folded on top.
func TestCheckpointTellsWhatExpired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		at := testStart
		full := NewLedger(testConfig)
		n := rapid.IntRange(3, 40).Draw(t, "n")
		written := rapid.IntRange(1, n).Draw(t, "checkpoint written after")
		taken := rapid.IntRange(0, written).Draw(t, "checkpoint taken at")
		oldest := rapid.IntRange(0, taken).Draw(t, "expired")
		var parts []journal.Entry
		for i := range n {
			if i == taken {
				parts = h.fold(NewLedger(testConfig)).checkpoint(journal.Position{Offset: infra.Offset(i)})
			}
			if i == written {
				h.add(at, parts[0], "other")
			}
			at = at.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "wait")) * time.Second)
			h.add(at, drawMessage(t, at), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "writer"))
		}
		if written == n {
			if taken == n {
				parts = h.fold(NewLedger(testConfig)).checkpoint(journal.Position{Offset: infra.Offset(n)})
			}
			h.add(at, parts[0], "other")
		}
		late := NewLedger(testConfig)
		late.Trimmed(infra.Offset(oldest + 1))
		h[oldest:].fold(late)
		require.True(t, late.Complete())
		require.Equal(t, h.fold(full).Fingerprint(), late.Fingerprint())
	})
}

// All instances were down for longer than the log keeps records. A claim that
// lost to an expired one seems to stand; when time alone closed the gap,
// readers disagreed (an interleaving showed it).
func TestTimeClosesNoGap(t *testing.T) {
	var h history
	h.add(testStart, claimRequest{Key: KeyID{1}, Attempt: attempt(1)}.entry(), "a")
	h.add(testStart.Add(3*testConfig.KeyTTL), claimRequest{Key: KeyID{2}, Attempt: attempt(2)}.entry(), "a")
	l := NewLedger(testConfig)
	l.Trimmed(1)
	h.fold(l)
	require.False(t, l.Complete())
	require.False(t, l.exact(Key{ID: KeyID{3}}))
	made := testStart.Add(testConfig.KeySkew)
	require.True(t, l.exact(Key{ID: KeyID{3}, CreatedAt: made}), "a timed key from behind the gap is known in full")

	for _, e := range l.acceptGap() {
		h.add(testStart.Add(3*testConfig.KeyTTL), e, "a")
	}
	h[2:].fold(l)
	require.True(t, l.Complete(), "the operator has accepted the gap")
}

// An instance wins a claim and is paused for about as long as keys are
// remembered. Its claim is forgotten and another instance runs the key. It
// then said that no request with the key had run (an interleaving showed it).
func TestPausedHolderSaysNoMoreThanItKnows(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		scope Scope
	}{
		{time.Minute, ScopeKey},
		{testConfig.KeyTTL, ScopeRequest},
	} {
		core := NewCore(testConfig, testStart)
		env := Env{Now: testStart, LogUp: true}
		id, step := core.Start(env, Key{ID: KeyID{1}}, 1)
		core.Apply(journal.Placed{Position: journal.Position{Offset: 1}, At: testStart, Entry: step.(ClaimStep).Entry})
		require.Equal(t, DispatchStep{}, core.Claimed(env, id, Appended))
		env.Now = testStart.Add(c.pause)
		answer := core.Confirm(env, id, false).(ResultStep).Result.(NotRun)
		require.Equal(t, ReasonPaused, answer.Reason)
		require.Equal(t, c.scope, answer.Scope)
		require.Len(t, core.Outbox(), 1, "the claim is withdrawn")
	}
}

func FuzzDecodeEntry(f *testing.F) {
	f.Add(claimRequest{Key: KeyID{1}, Attempt: attempt(1)}.entry().Body)
	f.Add(outcome{Key: KeyID{1}, Headers: []string{"a", "b"}, Body: []byte("x")}.entry().Body)
	f.Add([]byte{byte(typeOutcome), 0x97, 0xc4, 1, 1, 0xc4, 1, 1, 1, 200, 0xc3, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{byte(typeCheckpoint), 0x96, 0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		l := NewLedger(testConfig)
		l.Trimmed(1)
		l.Apply(journal.Placed{Position: journal.Position{Offset: 1}, At: testStart, Entry: journal.Entry{Body: body}})
		l.Fingerprint()
	})
}

// A record that other software, or a broken writer, put into the log must cost
// no reader more than its own size: each instance reads it at each start, so one
// that ends the process ends them all, again and again.
func TestHarmfulBytesAreSkipped(t *testing.T) {
	deep := append(bytes.Repeat([]byte{0x91}, 60_000), 0xc0)
	for name, body := range map[string][]byte{
		"60,000 levels":         append(append([]byte{byte(typeCheckpoint), 0x96, 0xc0, 0, 1, 0x81, 0xa1, 'z'}, deep...), 0, 0xc0),
		"60,000 levels in rows": checkpointOf(append([]byte{0x98, 0, 0, 0xc0, 0, 0, 0xc0, 0}, deep...)),
		"4 G members":           {byte(typeWithdrawal), 0x93, 0xc0, 0xc0, 0xdf, 0xff, 0xff, 0xff, 0xff},
		"4 G elements in rows":  checkpointOf([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}),
		"4 G bytes":             {byte(typeCheckpoint), 0x96, 0xc6, 0xff, 0xff, 0xff, 0xff},
		"bytes after the end":   append(claimRequest{Key: KeyID{1}}.entry().Body, 0xc0),
		"no message":            {byte(typeClaim)},
		"unknown type":          {99, 0x90},
		"nothing":               nil,
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(testConfig)
			l.Trimmed(1)
			l.Apply(journal.Placed{Position: journal.Position{Offset: 1}, At: testStart, Entry: journal.Entry{Body: body}})
			require.Equal(t, 1, l.Corrupt())
		})
	}
}

// checkpointOf is the body of a whole checkpoint with these rows.
func checkpointOf(rows []byte) []byte {
	return checkpointEntries(journal.Position{Offset: 1}, testStart, [][]byte{rows})[0].Body
}
