package journal_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/journal"
	"tamarackchute/journal/journaltest"
)

// recordingStateMachine records the bodies of the entries applied to it.
type recordingStateMachine struct {
	applied []string
	trimmed infra.Offset
}

func (m *recordingStateMachine) Apply(e journal.LogEntry) {
	m.applied = append(m.applied, string(e.Entry.Body))
}
func (m *recordingStateMachine) Trimmed(oldest infra.Offset) { m.trimmed = oldest }
func entry(id string) journal.Entry {
	return journal.Entry{Kind: journal.KindAudit, ID: id, Body: []byte(id)}
}
func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// startJournal runs a journal within a synctest bubble until the test ends.
func startJournal(t *testing.T, log infra.Log, cfg journal.Config) (*journal.Journal, *recordingStateMachine) {
	cfg.Writer, cfg.Logger = "test", discardLogger()
	j, sm := journal.New(log, cfg), &recordingStateMachine{}
	j.Register(journal.KindAudit, sm)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { _ = j.Serve(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return j, sm
}

func TestEntriesShareAppends(t *testing.T) {
	for _, c := range []struct {
		name    string
		cfg     journal.Config
		appends int
	}{
		{"batched", journal.Config{Linger: 5 * time.Millisecond, AppendsPerSecond: 100}, 1},
		{"one by one", journal.Config{MaxBatchEntries: 1, AppendsPerSecond: 100}, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := journaltest.NewLog()
				j, sm := startJournal(t, log, c.cfg)
				var wg conc.WaitGroup
				for i := range 50 {
					wg.Go(func() {
						pos, err := j.Append(t.Context(), entry(fmt.Sprint(i)))
						require.NoError(t, err)
						require.False(t, j.Applied().Less(pos), "returned before its entry was applied")
					})
				}
				wg.Wait()
				require.Len(t, sm.applied, 50)
				require.Equal(t, c.appends, log.Appends())
			})
		})
	}
}

// If the log's reply is lost or the record arrives late, the journal appends the
// entry again and the log may hold it twice. Applying it twice would publish or
// claim a second time.
func TestAppendWithUnknownOutcomeIsAppliedOnce(t *testing.T) {
	for name, faults := range map[string][]journaltest.Fault{
		"reply lost":         {journaltest.FaultReplyLost},
		"late":               {journaltest.FaultLate},
		"late, then hang":    {journaltest.FaultLate, journaltest.FaultHang},
		"lost":               {journaltest.FaultLost},
		"refused, then late": {journaltest.FaultNotWritten, journaltest.FaultLate},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := journaltest.NewLog()
				log.Fail(faults...)
				j, sm := startJournal(t, log, journal.Config{})
				_, err := j.Append(t.Context(), entry("a"))
				require.NoError(t, err)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				require.Equal(t, []string{"a"}, sm.applied)
			})
		})
	}
}

// When an Append times out, an entry that may still be written must not be
// reported as not written: an operator would then publish the rules twice.
func TestCancelledAppendReportsOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		log.Fail(journaltest.FaultHang)
		j, sm := startJournal(t, log, journal.Config{MaxInFlight: 1})
		var wg conc.WaitGroup
		wg.Go(func() {
			ctx, cancel := withTimeout(500 * time.Millisecond)
			defer cancel()
			_, err := j.Append(ctx, entry("sent"))
			require.ErrorIs(t, err, journal.ErrOutcomeUnknown)
			require.NotErrorIs(t, err, infra.ErrNotWritten)
		})
		synctest.Wait()
		ctx, cancel := withTimeout(100 * time.Millisecond)
		defer cancel()
		_, err := j.Append(ctx, entry("queued"))
		require.ErrorIs(t, err, infra.ErrNotWritten)
		wg.Wait()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.Equal(t, []string{"sent"}, sm.applied)
	})
}

// While the log is unavailable, each Append must return and the backlog stay
// bounded; afterwards the journal must recover. The calls end between two
// attempts of the writer, whose delays are multiples of 50 ms: the outcome of a
// call that ends during an attempt would be unknown.
func TestOutageBoundsTheBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		log.Outage(true)
		j, sm := startJournal(t, log, journal.Config{MaxPending: 10})
		var wg conc.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				ctx, cancel := withTimeout(time.Hour + 25*time.Millisecond)
				defer cancel()
				_, err := j.Append(ctx, entry(fmt.Sprint(i)))
				require.ErrorIs(t, err, infra.ErrNotWritten)
			})
		}
		synctest.Wait()
		_, err := j.Append(t.Context(), entry("too many"))
		require.ErrorIs(t, err, journal.ErrBacklogFull)
		require.ErrorIs(t, err, infra.ErrNotWritten)
		require.False(t, j.Health().LogUp)
		wg.Wait()

		log.Outage(false)
		time.Sleep(2 * time.Second)
		require.True(t, j.Health().LogUp)
		_, err = j.Append(t.Context(), entry("after"))
		require.NoError(t, err)
		require.Equal(t, []string{"after"}, sm.applied)
	})
}

// The reader of an instance that was paused for longer than the log's retention
// requests expired records. It must continue after them and notify its state
// machines, and it must skip records that another program wrote.
func TestReaderSkipsTrimmedAndForeignRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		for i := range 3 {
			data, err := journal.EncodeRecord("other", []journal.Entry{entry(fmt.Sprint(i))})
			require.NoError(t, err)
			log.Put(data)
		}
		log.Put([]byte("not ours"))
		log.Trim(3)
		j, sm := startJournal(t, log, journal.Config{})
		<-j.CaughtUp()
		require.Equal(t, infra.Offset(3), sm.trimmed)
		require.Equal(t, []string{"2"}, sm.applied)
		require.Equal(t, infra.Offset(4), j.Applied().Offset)
		require.Equal(t, int64(1), j.Stats().Corrupt)
	})
}

func FuzzDecodeRecord(f *testing.F) {
	data, err := journal.EncodeRecord("w", []journal.Entry{entry("a"), entry("b")})
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0x93, 1, 0xa1, 'w', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := journal.DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := journal.EncodeRecord("", entries)
		require.NoError(t, err)
		back, err := journal.DecodeRecord(again)
		require.NoError(t, err)
		require.Equal(t, len(entries), len(back))
	})
}
