package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// history is a log of one scope with the states that a reader of the whole log
// goes through.
type history struct {
	records []journal.LogEntry
	states  []ScopeState
	// accepted says for each record whether it was accepted.
	accepted []bool
}

// add appends a record. It is rejected if its writer had not read a record that
// was accepted meanwhile.
func (h *history) add(r Record) {
	at := journal.Position{Offset: infra.Offset(len(h.records) + 1)}
	p := journal.LogEntry{Position: at, Entry: journal.Entry{Kind: journal.KindLease, Body: r.Encode()}}
	before := ScopeState{}
	if n := len(h.states); n > 0 {
		before = h.states[n-1]
	}
	after, ok := before.Apply(p, r)
	h.records = append(h.records, p)
	h.states = append(h.states, after)
	h.accepted = append(h.accepted, ok)
}

// record returns what a correct process writes that has read up to a state.
func record(t *rapid.T, s ScopeState) Record {
	who := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "who")
	r := Record{Scope: "s", Holder: who, Incarnation: "1", Term: time.Second, After: s.Last}
	if !s.HeldBy(who, "1") {
		r.Op, r.Basis = OpClaim, BasisExpired
		if !s.Known {
			r.Basis = BasisFirst
		}
		return r
	}
	r.Op = rapid.SampledFrom([]Op{OpRenewal, OpRenewal, OpRelease, OpCheckpoint}).Draw(t, "op")
	r.FencingToken = s.FencingToken
	return r
}

// Guards against a second leader on an instance that starts after the log's
// oldest records have expired: the first record it reads may have been rejected
// against an expired one.
func TestTrimmedLogReaderConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{}
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			known := ScopeState{}
			if n := len(h.states); n > 0 {
				// Writers may lag behind the log's end.
				lag := rapid.SampledFrom([]int{0, 0, 0, 1, 2, 10}).Draw(t, "lag")
				known = h.states[max(0, n-1-lag)]
			}
			h.add(record(t, known))
		}
		start := rapid.IntRange(0, len(h.records)-1).Draw(t, "start")
		late := ScopeState{}
		if start > 0 && rapid.Bool().Draw(t, "read some before") {
			late = h.states[rapid.IntRange(0, start-1).Draw(t, "read up to")]
			late.chain.Reset()
		}
		seen := false
		for i := start; i < len(h.records); i++ {
			r, err := DecodeRecord(h.records[i].Entry.Body)
			require.NoError(t, err)
			late, _ = late.Apply(h.records[i], r)
			seen = seen || h.accepted[i]
			if !seen {
				continue
			}
			full := h.states[i]
			require.Equal(t, full.Last, late.Last, "at %d of a log read from %d", i+1, start+1)
			require.Equal(t, full.FencingToken, late.FencingToken)
			require.Equal(t, full.Holder, late.Holder)
			require.Equal(t, full.Held, late.Held)
		}
	})
}
