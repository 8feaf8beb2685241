package journal_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/boottime"
	"tamarackchute/journal"
	"tamarackchute/journal/journaltest"
)

// Guards against a reader that claims to know the log as of a time at which it held a record that
// isn't applied yet: removed keys would pass for valid.
func TestOnReadComesAfterAllRecords(t *testing.T) {
	log := journaltest.NewLog()
	var sm *recordingStateMachine
	var putAt atomic.Int64
	var reads, claimed atomic.Int64
	onRead := func(sentAt time.Duration) {
		reads.Add(1)
		if at := putAt.Load(); at == 0 || int64(sentAt) < at {
			return
		}
		claimed.Add(1)
		if len(sm.applied) == 0 {
			t.Error("the record is not applied")
		}
	}
	var j *journal.Journal
	j, sm = startJournal(t, log, journal.Config{LongPoll: 5 * time.Millisecond, OnRead: onRead})
	<-j.CaughtUp()
	require.Eventually(t, func() bool { return reads.Load() > 2 }, 10*time.Second, time.Millisecond)
	record, err := journal.EncodeRecord("w", []journal.Entry{entry("removal")})
	require.NoError(t, err)
	log.Put(record)
	putAt.Store(int64(boottime.Now()))
	require.Eventually(t, func() bool { return claimed.Load() > 2 }, 10*time.Second, time.Millisecond)
}

// Guards against entries that are applied, and leases that are kept, only after a waiting read has timed
// out that gets no response.
func TestHungReadDoesntHoldEntriesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		j, sm := startJournal(t, log, journal.Config{})
		<-j.CaughtUp()
		log.HangWaitingReads(true)
		for i := range 3 {
			begin := time.Now()
			_, err := j.Append(t.Context(), entry("e"+string(rune('0'+i))))
			require.NoError(t, err)
			require.LessOrEqual(t, time.Since(begin), 300*time.Millisecond)
		}
		require.Len(t, sm.applied, 3)
	})
}

// Guards against a slow log whose reads are all taken for hung ones.
func TestSlowReadsAreNotRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		j, sm := startJournal(t, log, journal.Config{AppendTimeout: 5 * time.Second})
		<-j.CaughtUp()
		log.SetLatency(time.Second)
		for i := range 3 {
			begin := time.Now()
			_, err := j.Append(t.Context(), entry("e"+string(rune('0'+i))))
			require.NoError(t, err)
			require.LessOrEqual(t, time.Since(begin), 4*time.Second)
		}
		require.Len(t, sm.applied, 3)
	})
}
