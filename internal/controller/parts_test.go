package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tamarackchute/infra"
	"tamarackchute/internal/wire"
	"tamarackchute/journal"
)

func at(seconds float64) time.Time {
	return time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(seconds * float64(time.Second)))
}

// The list lags: a new instance isn't in it yet, and an old answer may come
// late. Taking either for "taken away" would give an unchecked engine a second
// leader beside a living one.
func TestGoneNeedsTheLagOfAnswersSinceTheLastRecord(t *testing.T) {
	with := []infra.Instance{{Name: "i1"}, {Name: "i2"}}
	without := []infra.Instance{{Name: "i2"}}
	p := NewPresence(nil, 3*time.Second, nil)
	assert.False(t, p.Gone("i1", at(0)), "no answer yet")
	p.take(without, at(0))
	p.take(without, at(2))
	assert.False(t, p.Gone("i1", at(0)), "not for long enough")
	p.take(with, at(3))
	p.take(without, at(4))
	p.take(without, at(6))
	assert.False(t, p.Gone("i1", at(0)), "named in between")
	p.take(without, at(7))
	assert.True(t, p.Gone("i1", at(0)))
	assert.False(t, p.Gone("i1", at(5)), "a record of it was read meanwhile")
	p.take(without, at(8))
	assert.True(t, p.Gone("i1", at(5)))
	assert.False(t, p.Gone("i2", at(0)))
}

func TestDrainedNeedsEveryEntry(t *testing.T) {
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
		{"one not heard of", []wire.EntryStatus{status("n1", 1, 9, 0)}, 1, false},
		{"one behind", []wire.EntryStatus{status("n1", 1, 9, 0), status("n2", 1, 8, 0)}, 1, false},
		{"one with work there", []wire.EntryStatus{status("n1", 1, 9, 0), status("n2", 1, 9, 1)}, 1, false},
		{"all", []wire.EntryStatus{status("n1", 1, 9, 0), status("n2", 1, 10, 0)}, 1, true},
		{"heard of too long ago", []wire.EntryStatus{status("n1", 1, 9, 0), status("n2", 1, 9, 0)}, 9, false},
		{"an older status comes late", []wire.EntryStatus{
			status("n1", 1, 9, 0), status("n2", 2, 9, 1), status("n2", 1, 9, 0),
		}, 1, false},
		{"one that isn't listed yet has work", []wire.EntryStatus{
			status("n1", 1, 9, 0), status("n2", 1, 9, 0), status("n3", 1, 9, 1),
		}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewStatusTracker()
			for _, st := range c.statuses {
				s.Update(st, at(0))
			}
			got, _ := s.Drained("e", drain, []string{"n1", "n2"}, at(c.now), time.Second, 5*time.Second)
			assert.Equal(t, c.want, got)
		})
	}
}
