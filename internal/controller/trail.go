package controller

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"tamarackchute/internal/audit"
	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/orders"
	"tamarackchute/upstream"
)

// EventRecorder takes note of what the controller does, for the audit trail and the
// metrics. Its methods don't block.
type EventRecorder interface {
	// RecordChange reports an accepted step of a change, with what the engine was
	// before it.
	RecordChange(c orders.Change, was orders.Settings, reason string)
	// RecordOrder reports that an order was sent, and the error of the reply.
	RecordOrder(err error)
	// RecordTerm reports a term that this process has begun or ended.
	RecordTerm(s lease.ScopeState)
}

// Bounds of the writing of audit records.
const (
	// trailBacklog is the most records that wait. Beyond it the newest are
	// left out: the journal's own order and lease records still tell all.
	trailBacklog = 256
	// trailTimeout bounds the writing of one record.
	trailTimeout = 5 * time.Second
	// drainPoll is the time between two looks whether all is written.
	drainPoll = 10 * time.Millisecond
)

// auditRecorder writes audit records and counts. It is a suture service.
type auditRecorder struct {
	journal journal.Writer
	who     string
	scope   tally.Scope
	log     *slog.Logger
	waiting chan audit.Record
	// open counts the records that are not written yet.
	open atomic.Int64
}

func newAuditRecorder(w journal.Writer, instance string, scope tally.Scope, log *slog.Logger) *auditRecorder {
	return &auditRecorder{
		journal: w, who: instance + "/controller", scope: scope, log: log,
		waiting: make(chan audit.Record, trailBacklog),
	}
}

// String names the service for the supervisor's log.
func (t *auditRecorder) String() string { return "audit trail" }

// Serve writes records until the context ends.
func (t *auditRecorder) Serve(ctx context.Context) error {
	for {
		select {
		case r := <-t.waiting:
			t.write(r)
			t.open.Add(-1)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// drain waits until all records have been written, or for the context's end.
func (t *auditRecorder) drain(ctx context.Context) {
	for ctx.Err() == nil && t.open.Load() > 0 {
		sleep(ctx, drainPoll)
	}
}

func (t *auditRecorder) write(r audit.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), trailTimeout)
	defer cancel()
	if err := audit.Append(ctx, t.journal, r); err != nil {
		t.log.Warn("audit record not confirmed", "what", r.What, "target", r.Target, "error", err)
	}
}

func (t *auditRecorder) add(r audit.Record) {
	r.Who = t.who
	t.open.Add(1)
	select {
	case t.waiting <- r:
	default:
		t.open.Add(-1)
		t.log.Warn("audit record left out", "what", r.What, "target", r.Target)
	}
}

// RecordChange implements EventRecorder. Only the ends of a change go to the audit trail:
// its other steps stand in the journal.
func (t *auditRecorder) RecordChange(c orders.Change, was orders.Settings, reason string) {
	t.scope.Tagged(map[string]string{"phase": c.Phase.String()}).Counter("changes").Inc(1)
	if c.Phase.Open() && c.Phase != orders.PhaseDraining {
		return
	}
	r := audit.Record{
		What: actionOf(c), Target: c.Engine, From: describe(c.Kind, was), To: describe(c.Kind, c.Target),
		Reason: fmt.Sprintf("%s: %s", c.Phase, c.Reason),
	}
	if c.Outcome != "" {
		r.Reason = fmt.Sprintf("%s (%s): %s", c.Phase, c.Outcome, c.Reason)
	}
	t.add(r)
}

// The actions of a change that has not been confirmed.
const (
	changeBegun  audit.Action = "change begun"
	changeUndone audit.Action = "change undone"
)

func actionOf(c orders.Change) audit.Action {
	switch {
	case c.Phase == orders.PhaseDraining:
		return changeBegun
	case c.Phase == orders.PhaseUndone:
		return changeUndone
	case c.Kind == upstream.OrderRole:
		return audit.RoleChanged
	default:
		return audit.ModelLoaded
	}
}

// describe tells the part of an engine's settings that an order of a kind
// changes.
func describe(k upstream.OrderKind, s orders.Settings) string {
	switch k {
	case upstream.OrderRole:
		return string(s.Role)
	case upstream.OrderAdapter:
		return s.Adapter
	default:
		return s.Model + " " + s.Version
	}
}

// RecordOrder implements EventRecorder.
func (t *auditRecorder) RecordOrder(err error) {
	reply := "ok"
	if err != nil {
		reply = "error"
	}
	t.scope.Tagged(map[string]string{"reply": reply}).Counter("orders").Inc(1)
}

// RecordTerm implements EventRecorder.
func (t *auditRecorder) RecordTerm(s lease.ScopeState) {
	r := audit.Record{What: audit.LeadershipEnded, Target: s.Scope, Reason: "released", From: s.Holder}
	if s.Held {
		t.scope.Tagged(map[string]string{"ground": s.Basis.String()}).Counter("terms").Inc(1)
		r = audit.Record{
			What: audit.LeadershipTaken, Target: s.Scope, To: s.Holder,
			Reason: fmt.Sprintf("%s, fencing number %d", s.Basis, s.FencingToken),
		}
	}
	t.add(r)
}
