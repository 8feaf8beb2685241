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

// history is a log of claim entries.
type history []journal.LogEntry

func (h *history) add(at time.Time, e journal.Entry, writer string) {
	e.Writer = writer
	position := journal.Position{Offset: infra.Offset(len(*h) + 1)}
	*h = append(*h, journal.LogEntry{Position: position, At: at, ReadAt: at, Entry: e})
}

func (h history) fold(l *Ledger) *Ledger {
	for _, p := range h {
		l.Apply(p)
	}
	return l
}

func attempt(n int) AttemptID { return AttemptID{15: byte(n)} }

// drawMessage draws a message about few keys and attempts, so that copies,
// withdrawals by other writers and outcomes out of order are common.
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
		created := at.Add(time.Duration(rapid.IntRange(-11*60, 30).Draw(t, "made")) * time.Second)
		return claimRequest{Key: key, Attempt: a, Digest: digest, CreatedAtMillis: created.UnixMilli()}.entry()
	default:
		return claimRequest{Key: key, Attempt: a, Digest: digest}.entry()
	}
}

// Guards against a new instance that runs a key again because the first claims
// have expired and a checkpoint gives it another state than the log gave the
// others. The checkpoint's writer may lag behind the log's end, so the records
// after the checkpoint's position are folded on top.
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

// Guards against a gap that time alone closes, after all instances were down for
// longer than the log's retention: a claim that was rejected for an expired one
// seems accepted, so readers would disagree.
func TestTimeClosesNoGap(t *testing.T) {
	var h history
	h.add(testStart, claimRequest{Key: KeyID{1}, Attempt: attempt(1)}.entry(), "a")
	h.add(testStart.Add(3*testConfig.KeyTTL), claimRequest{Key: KeyID{2}, Attempt: attempt(2)}.entry(), "a")
	l := NewLedger(testConfig)
	l.Trimmed(1)
	h.fold(l)
	require.False(t, l.Complete())
	require.False(t, l.exact(Key{ID: KeyID{3}}))
	created := testStart.Add(testConfig.KeySkew)
	require.True(t, l.exact(Key{ID: KeyID{3}, CreatedAt: created}), "every claim of a timed key created after the gap is known")

	for _, e := range l.acceptGap() {
		h.add(testStart.Add(3*testConfig.KeyTTL), e, "a")
	}
	h[2:].fold(l)
	require.True(t, l.Complete(), "complete after the operator accepted the gap")
}

// Guards against the result that no request with the key has run, from an
// instance that was paused for about KeyTTL after its claim: the claim is
// forgotten by then, and another instance may have run the key.
func TestPausedHolderReturnsRequestScope(t *testing.T) {
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
		core.Apply(journal.LogEntry{Position: journal.Position{Offset: 1}, At: testStart, Entry: step.(ClaimStep).Entry})
		require.Equal(t, DispatchStep{}, core.Claimed(env, id, Appended))
		env.Now = testStart.Add(c.pause)
		result := core.Confirm(env, id, false).(ResultStep).Result.(NotRun)
		require.Equal(t, ReasonPaused, result.Reason)
		require.Equal(t, c.scope, result.Scope)
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
		l.Apply(journal.LogEntry{Position: journal.Position{Offset: 1}, At: testStart, Entry: journal.Entry{Body: body}})
		l.Fingerprint()
	})
}

// Guards against a malformed entry that takes more memory or stack than its own
// size: each instance reads it at each start, so an entry that crashes the
// process would crash all of them at every start.
func TestMalformedEntriesAreSkipped(t *testing.T) {
	deep := append(bytes.Repeat([]byte{0x91}, 60_000), 0xc0)
	for name, body := range map[string][]byte{
		"60,000 levels":         append(append([]byte{byte(typeCheckpoint), 0x96, 0xc0, 0, 1, 0x81, 0xa1, 'z'}, deep...), 0, 0xc0),
		"60,000 levels in rows": checkpointOf(append([]byte{0x98, 0, 0, 0xc0, 0, 0, 0xc0, 0}, deep...)),
		"4 G members":           {byte(typeWithdrawal), 0x93, 0xc0, 0xc0, 0xdf, 0xff, 0xff, 0xff, 0xff},
		"4 G elements in rows":  checkpointOf([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}),
		"4 G bytes":             {byte(typeCheckpoint), 0x96, 0xc6, 0xff, 0xff, 0xff, 0xff},
		"bytes after the end":   append(claimRequest{Key: KeyID{1}}.entry().Body, 0xc0),
		"type without message":  {byte(typeClaim)},
		"unknown type":          {99, 0x90},
		"empty body":            nil,
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(testConfig)
			l.Trimmed(1)
			l.Apply(journal.LogEntry{Position: journal.Position{Offset: 1}, At: testStart, Entry: journal.Entry{Body: body}})
			require.Equal(t, 1, l.Corrupt())
		})
	}
}

// checkpointOf returns the body of a complete checkpoint with these rows.
func checkpointOf(rows []byte) []byte {
	return checkpointEntries(journal.Position{Offset: 1}, testStart, [][]byte{rows})[0].Body
}
