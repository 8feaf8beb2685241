package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/journal"
)

const length = 5 * time.Second

func TestWindows(t *testing.T) {
	w := WindowAt(time.Unix(12, 0), length)
	require.EqualValues(t, 2, w)
	require.Equal(t, time.Unix(15, 0), w.End(length))
	require.Equal(t, w, WindowAt(w.End(length).Add(-1), length))
	require.Equal(t, w+1, WindowAt(w.End(length), length))
}

func count(daemon string, incarnation uint64, w Window, requests map[string]uint32) Count {
	return Count{Daemon: daemon, Incarnation: incarnation, Window: w, Requests: requests}
}

// Guards against requests that are counted twice: counts of one daemon come in repeatedly, on
// several ways and out of order, and those of a restarted daemon are others.
func TestCountsAreAddedOnce(t *testing.T) {
	table := NewTable()
	old := []Count{count("a", 1, 2, map[string]uint32{"o": 3})}
	table.Merge([]Count{count("a", 1, 2, map[string]uint32{"o": 5, "p": 1})})
	table.Merge(old)
	table.Merge(old)
	table.Merge([]Count{count("a", 2, 2, map[string]uint32{"o": 1}), count("b", 1, 2, map[string]uint32{"o": 2}), count("b", 1, 3, map[string]uint32{"o": 9})})
	require.Equal(t, map[string]uint32{"o": 8, "p": 1}, table.Sum(2))
	require.Equal(t, []Window{2, 3}, table.Windows())
	table.Forget(3)
	require.Equal(t, []Window{3}, table.Windows())
}

// Guards against counts that are lost because their recipient has failed, or that are sent again
// and again.
func TestCountsAreDeliveredUntilConfirmed(t *testing.T) {
	table := NewTable()
	table.Add("a", 1, 2, "o")
	sent := table.Undelivered()
	require.Len(t, sent, 1)
	require.Len(t, table.Undelivered(), 1, "not confirmed")
	table.Add("a", 1, 2, "o")
	table.Delivered(sent)
	require.Equal(t, uint32(2), table.Undelivered()[0].Requests["o"], "it has grown since it was sent")
	table.Delivered(table.Undelivered())
	require.Empty(t, table.Undelivered())
	table.NewRecipient()
	require.Len(t, table.Undelivered(), 1)
}

var schedule = Schedule{Length: length, Settle: 2 * time.Second, GiveUp: 20 * time.Second}

// apply adds an entry to a ledger as the journal would.
func apply(t *testing.T, l *Ledger, r Report) {
	t.Helper()
	body, err := r.Encode()
	require.NoError(t, err)
	l.Apply(journal.LogEntry{Entry: journal.Entry{Kind: journal.KindUsage, Body: body}})
}

// Guards against a report that is built anew by a successor: what the journal has first is sent,
// also by a process that has counted otherwise.
func TestFirstReportInTheJournalIsSent(t *testing.T) {
	now := time.Unix(20, 0)
	l := NewLedger(func() time.Time { return now })
	apply(t, l, Report{Window: 2, Counts: map[string]uint32{"o": 7}})
	apply(t, l, Report{Window: 2, Counts: map[string]uint32{"o": 8}})
	p := NewPlanner(schedule, l)
	require.Equal(t, []Step{{Window: 2, Send: Report{Window: 2, Counts: map[string]uint32{"o": 7}}}}, p.Steps(nil, now))
	p.Confirmed(2)
	require.Empty(t, p.Steps([]Window{2}, now))
}

// Guards against a window that is reported before its counts have come in, or never.
func TestWindowsAreReportedOnceSettled(t *testing.T) {
	p := NewPlanner(schedule, NewLedger(time.Now))
	end := Window(2).End(length)
	require.Empty(t, p.Steps([]Window{2}, end.Add(time.Second)))
	require.Equal(t, []Step{{Window: 2, Write: true}}, p.Steps([]Window{2, 3}, end.Add(2*time.Second)))
	require.Empty(t, p.Steps([]Window{2}, end.Add(30*time.Second)), "given up")
}

// Guards against two reports of a window after the journal was restored from an older copy: the
// report that was lost may have been sent.
func TestReportsLostInARestore(t *testing.T) {
	now := Window(3).End(length)
	l := NewLedger(func() time.Time { return now })
	sent := Report{Window: 2, Counts: map[string]uint32{"o": 7}}
	apply(t, l, sent)
	l.Restored(0)
	_, decided := l.Decided(2)
	require.False(t, decided)
	again, ok := l.Proposal(2, map[string]uint32{"o": 9}, schedule.Reportable(2))
	require.True(t, ok)
	require.Equal(t, sent, again)
	_, ok = l.Proposal(1, map[string]uint32{"o": 9}, schedule.Reportable(1))
	require.False(t, ok, "one that this process hasn't read may have been sent")
	fresh, ok := l.Proposal(3, map[string]uint32{"o": 9}, schedule.Reportable(3))
	require.True(t, ok, "it couldn't have been reported before the restore")
	require.Equal(t, uint32(9), fresh.Counts["o"])
}

// Guards against windows of the wrong time while the clocks of a third of the machines, this one
// among them, have jumped by seconds.
func TestClockFollowsMostMachines(t *testing.T) {
	steady := time.Minute
	wall := time.Unix(1000, 0)
	c := NewClock(func() time.Duration { return steady }, func() time.Time { return wall })
	require.Equal(t, wall, c.Now())
	for _, source := range []string{"a", "b", "c"} {
		c.Observe(source, time.Unix(1000, 0))
	}
	c.Observe("d", time.Unix(1002, 0))
	wall = time.Unix(1002, 0)
	steady += time.Second
	require.WithinDuration(t, time.Unix(1001, 0), c.Now(), time.Millisecond)
	c.Forget("a")
	c.Forget("b")
	c.Forget("c")
	require.True(t, c.Now().After(time.Unix(1001, 0)))
}
