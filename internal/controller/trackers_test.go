package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tamarackchute/infra"
	"tamarackchute/internal/wire"
	"tamarackchute/journal"
)

func testTime(seconds float64) time.Time {
	return time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(seconds * float64(time.Second)))
}

// The list lags: a new instance isn't listed yet, and an old response may arrive late.
// Treating either as a removed instance would give an engine that doesn't check fencing
// tokens a second concurrent leader.
func TestGoneRequiresListLagSinceLastRecord(t *testing.T) {
	with := []infra.Instance{{Name: "i1"}, {Name: "i2"}}
	without := []infra.Instance{{Name: "i2"}}
	p := NewPresence(nil, 3*time.Second, nil)
	assert.False(t, p.Gone("i1", testTime(0)), "no response yet")
	p.update(without, testTime(0))
	p.update(without, testTime(2))
	assert.False(t, p.Gone("i1", testTime(0)), "not for long enough")
	p.update(with, testTime(3))
	p.update(without, testTime(4))
	p.update(without, testTime(6))
	assert.False(t, p.Gone("i1", testTime(0)), "listed in between")
	p.update(without, testTime(7))
	assert.True(t, p.Gone("i1", testTime(0)))
	assert.False(t, p.Gone("i1", testTime(5)), "a record of it was read at 5 s")
	p.update(without, testTime(8))
	assert.True(t, p.Gone("i1", testTime(5)))
	assert.False(t, p.Gone("i2", testTime(0)))
}

func TestDrainedRequiresEveryEntry(t *testing.T) {
	drain := journal.Position{Offset: 9}
	status := func(name string, seq, applied uint64, requests int) wire.EntryStatus {
		return wire.EntryStatus{
			Instance: name, Incarnation: 1, Seq: seq, Applied: journal.Position{Offset: infra.Offset(applied)},
			InFlight: []wire.EngineInFlight{{Engine: "e", Requests: requests}},
		}
	}
	cases := []struct {
		name     string
		statuses []wire.EntryStatus
		now      float64
		want     bool
	}{
		{"one without a status", []wire.EntryStatus{status("n1", 1, 9, 0)}, 1, false},
		{"one that has not applied the drain", []wire.EntryStatus{status("n1", 1, 9, 0), status("n2", 1, 8, 0)}, 1, false},
		{"one with requests in flight", []wire.EntryStatus{status("n1", 1, 9, 0), status("n2", 1, 9, 1)}, 1, false},
		{"all", []wire.EntryStatus{status("n1", 1, 9, 0), status("n2", 1, 10, 0)}, 1, true},
		{"statuses too old", []wire.EntryStatus{status("n1", 1, 9, 0), status("n2", 1, 9, 0)}, 9, false},
		{"an older status arrives late", []wire.EntryStatus{
			status("n1", 1, 9, 0), status("n2", 2, 9, 1), status("n2", 1, 9, 0),
		}, 1, false},
		{"an unlisted one with requests in flight", []wire.EntryStatus{
			status("n1", 1, 9, 0), status("n2", 1, 9, 0), status("n3", 1, 9, 1),
		}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewStatusTracker()
			for _, st := range c.statuses {
				s.Update(st, testTime(0))
			}
			got, _ := s.Drained("e", drain, []string{"n1", "n2"}, testTime(c.now), time.Second, 5*time.Second)
			assert.Equal(t, c.want, got)
		})
	}
}
