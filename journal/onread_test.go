package journal_test

import (
	"sync/atomic"
	"testing"
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
