package audit

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/journal"
	"tamarackchute/rules"
)

// syncJournal is a journal that applies each entry immediately.
type syncJournal struct {
	trail *Trail
	at    time.Time
}

func (s syncJournal) Append(_ context.Context, e journal.Entry) (journal.Position, error) {
	s.trail.Apply(journal.LogEntry{At: s.at, Entry: e})
	return journal.Position{}, nil
}

func TestTrailKeepsLatestOfAllSources(t *testing.T) {
	trail := NewTrail(3, nil)
	at := time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC)
	w := syncJournal{trail: trail, at: at}
	require.Empty(t, trail.Latest(10))
	v1, v2 := rules.Version{Offset: 7}, rules.Version{Offset: 9}
	released := Record{Who: "anna", What: QuarantineEnded, Target: "d1", Reason: strings.Repeat("x", 2000)}
	require.NoError(t, Append(t.Context(), w, released))
	require.NoError(t, Append(t.Context(), w, Record{Who: "s1/controller", What: RoleChanged, From: "mixed", To: "decode"}))
	trail.ObserveRules(rules.Verdict{Outcome: rules.OutcomeAccepted, Author: "anna", Version: v2, Base: v1, Former: v1, At: at})
	require.Len(t, trail.Latest(3)[2].Reason, maxFieldBytes)
	trail.ObserveRules(rules.Verdict{Outcome: rules.OutcomeConflict, Author: "ben", Note: "n", Base: v1, Former: v2,
		Version: rules.Version{Offset: 10}, At: at})
	require.Equal(t, []Record{
		{Who: "ben", What: RulesConflict, Target: "rules 10.0", Reason: "n", From: "7.0", To: "9.0", At: at},
		{Who: "anna", What: RulesPublished, Target: "rules 9.0", From: "7.0", To: "9.0", At: at},
		{Who: "s1/controller", What: RoleChanged, From: "mixed", To: "decode", At: at},
	}, trail.Latest(10))
	trail.Apply(journal.LogEntry{Entry: journal.Entry{Body: []byte{0xc1}}})
	require.Len(t, trail.Latest(1), 1)
}
