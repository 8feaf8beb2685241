// Package audit keeps the audit trail: who did what to what, when, why, and from which
// state. Records go through the journal, so every instance shows the same trail.
// Publications of rules and starts of quarantines are taken from the state of those
// packages.
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

// Action is the kind of a recorded change.
type Action string

// Recorded actions.
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

// Record describes one change.
type Record struct {
	// Who is an operator's name, or instance/program for a change made by the system.
	Who  string `json:"who" msgpack:"w"`
	What Action `json:"what" msgpack:"a"`
	// Target is the changed object: an engine, a scope or a digest.
	Target string `json:"target,omitempty" msgpack:"t,omitempty"`
	Reason string `json:"reason,omitempty" msgpack:"r,omitempty"`
	// From and To are the states before and after.
	From string `json:"from,omitempty" msgpack:"f,omitempty"`
	To   string `json:"to,omitempty" msgpack:"o,omitempty"`
	// At is the log's timestamp, set when the record is read.
	At time.Time `json:"at" msgpack:"-"`
}

// maxFieldBytes limits each text of a record.
const maxFieldBytes = 1 << 10

// Append writes a record to the journal. It returns once the process's own reader has
// applied the record. An error that matches infra.ErrNotWritten is final; after any other
// error the record may still be in the log.
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
