package lease

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// restoredLog is a log that can be restored from an older copy.
type restoredLog struct {
	era     uint64
	records []journal.LogEntry
}

func (l *restoredLog) append(id string, r Record) {
	at := journal.Position{Offset: infra.NewOffset(l.era, uint64(len(l.records)+1))}
	l.records = append(l.records, journal.LogEntry{Position: at, Entry: journal.Entry{Kind: journal.KindLease, ID: id, Body: r.Encode()}})
}

// restore drops the newest records. The others get offsets in the new era.
func (l *restoredLog) restore(lost int) {
	l.era++
	l.records = l.records[:max(0, len(l.records)-lost)]
	for i := range l.records {
		l.records[i].Position.Offset = infra.NewOffset(l.era, uint64(i+1))
	}
}

// claimant is a process that reads the log and may hold the scope.
type claimant struct {
	name    string
	state   State
	machine *Machine
	next    infra.Offset
	seen    map[string]bool
	sent    int
}

func newClaimant(name string, now time.Time) *claimant {
	cfg := Config{Scope: "s", Instance: name, Incarnation: "1", Term: 3 * time.Second, Renew: time.Second, Drift: 0.1}
	return &claimant{name: name, machine: NewMachine(cfg, now), seen: make(map[string]bool)}
}

// read folds up to most records, beginning at the oldest one after a restore.
func (c *claimant) read(l *restoredLog, most int, now time.Time) {
	if c.next == 0 {
		c.next = infra.NewOffset(l.era, 1)
	}
	if c.next.Era() != l.era {
		c.next = infra.NewOffset(l.era, 1)
		c.seen = make(map[string]bool)
		c.state.Restored(now, c.next)
	}
	for range most {
		i := int(c.next.Index()) - 1
		if i >= len(l.records) {
			return
		}
		p := l.records[i]
		c.next++
		if c.seen[p.Entry.ID] {
			continue
		}
		c.seen[p.Entry.ID] = true
		p.At, p.ReadAt = now, now
		c.state.Apply(p)
		c.machine.Observe(c.state.Scope("s"), now)
		c.machine.Resolved(p.Entry.ID)
	}
}

// write returns what the claimant appends next, if anything.
func (c *claimant) write(now time.Time) (id string, r Record, ok bool) {
	step := c.machine.Step(c.state.Scope("s"), present, now)
	if step.Record == nil {
		return "", Record{}, false
	}
	id = c.machine.PendingID(*step.Record)
	if id == "" {
		c.sent++
		id = fmt.Sprint(c.name, c.sent)
	}
	c.machine.BeginSend(id, *step.Record, now)
	return id, *step.Record, true
}

// Guards against two processes with authority at a time, and against fencing
// tokens that decrease, when the log is restored from an older copy.
func TestOneHolderAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &restoredLog{}
		now := testStart
		all := []*claimant{newClaimant("i1", now), newClaimant("i2", now), newClaimant("i3", now)}
		type late struct {
			id string
			r  Record
		}
		var delayed []late
		highest, highestOf := uint64(0), ""
		var trace []string
		logf := func(format string, args ...any) {
			trace = append(trace, now.Sub(testStart).String()+" "+fmt.Sprintf(format, args...))
		}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			c := rapid.SampledFrom(all).Draw(t, "who")
			switch rapid.IntRange(0, 19).Draw(t, "what") {
			case 0:
				lost := rapid.IntRange(0, 6).Draw(t, "lost")
				log.restore(lost)
				logf("restored to era %d, %d lost, %d left", log.era, lost, len(log.records))
			case 1:
				if len(delayed) > 0 {
					i := rapid.IntRange(0, len(delayed)-1).Draw(t, "which")
					log.append(delayed[i].id, delayed[i].r)
					logf("%s is appended late at index %d", delayed[i].id, len(log.records))
					delayed = append(delayed[:i], delayed[i+1:]...)
				}
			case 2, 3, 4, 5, 6:
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			case 7, 8, 9, 10, 11, 12:
				c.read(log, rapid.IntRange(1, 8).Draw(t, "most"), now)
				logf("%s has read up to %v: holder %s, record %s, token %v", c.name, c.next, c.state.Scope("s").Holder, c.state.Scope("s").LastID, infra.Offset(c.state.Scope("s").FencingToken))
			default:
				id, r, ok := c.write(now)
				if ok && rapid.IntRange(0, 5).Draw(t, "delayed") == 0 {
					delayed = append(delayed, late{id, r})
					logf("%s sends %s late: op %d basis %v after %v era %d", c.name, id, r.Op, r.Basis, r.After.Offset, r.Era)
				} else if ok {
					log.append(id, r)
					logf("%s appends %s: op %d basis %v after %v era %d", c.name, id, r.Op, r.Basis, r.After.Offset, r.Era)
				}
			}
			var holders []string
			for _, c := range all {
				a, ok := c.machine.Authority(c.state.Scope("s"), now)
				if !ok {
					continue
				}
				holders = append(holders, c.name)
				if a.FencingToken < highest || a.FencingToken == highest && highestOf != c.name {
					t.Fatalf("%s has authority by token %v after %s had it by %v:\n%s", c.name, infra.Offset(a.FencingToken), highestOf, infra.Offset(highest), strings.Join(trace, "\n"))
				}
				highest, highestOf = a.FencingToken, c.name
			}
			require.LessOrEqual(t, len(holders), 1, "%v:\n%s", holders, strings.Join(trace, "\n"))
		}
	})
}

// Guards against a scope that returns to its earlier holder, by a renewal that
// was sent before its writer knew of the restore and arrives after another
// process's claim.
func TestRenewalFromBeforeRestoreIsRejected(t *testing.T) {
	var s State
	apply := func(index uint64, id string, r Record) bool {
		r.Scope, r.Incarnation, r.Term = "s", "1", time.Second
		_, accepted := s.Apply(journal.LogEntry{
			Position: journal.Position{Offset: infra.NewOffset(1, index)}, ReadAt: testStart,
			Entry: journal.Entry{Kind: journal.KindLease, ID: id, Body: r.Encode()},
		})
		return accepted
	}
	lost := journal.Position{Offset: 100}
	renewal := Record{Op: OpRenewal, Holder: "former", FencingToken: 90, After: lost}

	s.Restored(testStart, infra.NewOffset(1, 1))
	require.True(t, apply(1, "a", renewal), "without another claim the holder goes on")

	s.Restored(testStart, infra.NewOffset(1, 1))
	require.True(t, apply(1, "b", Record{Op: OpClaim, Holder: "new", Basis: BasisFirst, Era: 1}))
	require.False(t, apply(2, "c", renewal))
	require.Equal(t, "new", s.Scope("s").Holder)
}
