// Package audit keeps the trail of changes: who did what to what, when, why, and
// from which state. Records go through the journal, so every instance shows the
// same trail; publications of rules and the beginnings of quarantines are taken
// from those packages' own folds.
package audit

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/journal"
)

// Action says what was done.
type Action string

// The actions that the system records.
const (
	RulesPublished    Action = "rules published"
	RulesConflict     Action = "rules conflict"
	RulesUncertain    Action = "rules outcome unknown"
	RoleChanged       Action = "role changed"
	ModelLoaded       Action = "model loaded"
	LeadershipTaken   Action = "leadership taken"
	LeadershipEnded   Action = "leadership ended"
	QuarantineEntered Action = "quarantine entered"
	QuarantineEnded   Action = "quarantine released"
	ClaimGapAccepted  Action = "claim gap accepted"
)

// Record is one change.
type Record struct {
	// Who is an operator's name, or instance/program for what the system did.
	Who  string `json:"who" msgpack:"w"`
	What Action `json:"what" msgpack:"a"`
	// Target is what was changed: an engine, a scope, a digest.
	Target string `json:"target,omitempty" msgpack:"t,omitempty"`
	Reason string `json:"reason,omitempty" msgpack:"r,omitempty"`
	// From and To are the states before and after.
	From string `json:"from,omitempty" msgpack:"f,omitempty"`
	To   string `json:"to,omitempty" msgpack:"o,omitempty"`
	// At is by the log's clock. It is set when the record is read.
	At time.Time `json:"at" msgpack:"-"`
}

// maxFieldBytes bounds each text of a record.
const maxFieldBytes = 1 << 10

// Append writes a record to the journal. It returns when the own reader has
// folded it. An error that matches infra.ErrNotWritten is final; after any
// other the record may be in the log.
func Append(ctx context.Context, w journal.Writer, r Record) error {
	for _, field := range []*string{&r.Who, &r.Target, &r.Reason, &r.From, &r.To} {
		*field = strings.ToValidUTF8((*field)[:min(len(*field), maxFieldBytes)], "")
	}
	body, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err) // strings always encode
	}
	_, err = w.Append(ctx, journal.Entry{Kind: journal.KindAudit, ID: uuid.NewString(), Body: body})
	return eris.Wrap(err, "audit: record not written")
}
