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

// EventRecorder records the controller's actions in the audit trail and the metrics. Its
// methods don't block.
type EventRecorder interface {
	// RecordChange records an accepted step of a change; previous holds the engine settings
	// before the step.
	RecordChange(c orders.Change, previous orders.Settings, reason string)
	// RecordOrder records that an order was sent, and the error of its reply.
	RecordOrder(err error)
	// RecordTerm records a term that this process has begun or ended.
	RecordTerm(s lease.ScopeState)
}

// Bounds on writing audit records.
const (
	// maxPendingRecords is the queue length. Records beyond it are dropped, which loses no
	// state: the journal's order and lease records hold the same facts.
	maxPendingRecords = 256
	// recordTimeout bounds the writing of one record.
	recordTimeout = 5 * time.Second
	// flushPollInterval is the polling interval of flush.
	flushPollInterval = 10 * time.Millisecond
)

// auditRecorder implements EventRecorder. It queues audit records and writes them to the
// journal. It is a suture service.
type auditRecorder struct {
	journal journal.Writer
	actor   string
	scope   tally.Scope
	log     *slog.Logger
	pending chan audit.Record
	// unwritten counts the records that are queued or being written.
	unwritten atomic.Int64
}

func newAuditRecorder(w journal.Writer, instance string, scope tally.Scope, log *slog.Logger) *auditRecorder {
	return &auditRecorder{
		journal: w, actor: instance + "/controller", scope: scope, log: log,
		pending: make(chan audit.Record, maxPendingRecords),
	}
}

// String names the service for the supervisor's log.
func (t *auditRecorder) String() string { return "audit trail" }

// Serve writes records until the context ends.
func (t *auditRecorder) Serve(ctx context.Context) error {
	for {
		select {
		case r := <-t.pending:
			t.write(r)
			t.unwritten.Add(-1)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// flush waits until all records have been written or the context ends.
func (t *auditRecorder) flush(ctx context.Context) {
	for ctx.Err() == nil && t.unwritten.Load() > 0 {
		sleep(ctx, flushPollInterval)
	}
}

func (t *auditRecorder) write(r audit.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := audit.Append(ctx, t.journal, r); err != nil {
		t.log.Warn("audit record not confirmed", "what", r.What, "target", r.Target, "error", err)
	}
}

func (t *auditRecorder) add(r audit.Record) {
	r.Who = t.actor
	t.unwritten.Add(1)
	select {
	case t.pending <- r:
	default:
		t.unwritten.Add(-1)
		t.log.Warn("audit queue full; record dropped", "what", r.What, "target", r.Target)
	}
}

// RecordChange implements EventRecorder. Only a change's begin and end go to the audit
// trail; its other steps are in the journal.
func (t *auditRecorder) RecordChange(c orders.Change, previous orders.Settings, reason string) {
	t.scope.Tagged(map[string]string{"phase": c.Phase.String()}).Counter("changes").Inc(1)
	if c.Phase.Open() && c.Phase != orders.PhaseDraining {
		return
	}
	r := audit.Record{
		What: auditAction(c), Target: c.Engine, From: describeSettings(c.Kind, previous), To: describeSettings(c.Kind, c.Target),
		Reason: fmt.Sprintf("%s: %s", c.Phase, c.Reason),
	}
	if c.Outcome != "" {
		r.Reason = fmt.Sprintf("%s (%s): %s", c.Phase, c.Outcome, c.Reason)
	}
	t.add(r)
}

// Audit actions for a change that isn't confirmed.
const (
	changeBegun  audit.Action = "change begun"
	changeUndone audit.Action = "change undone"
)

func auditAction(c orders.Change) audit.Action {
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

// describeSettings returns the part of an engine's settings that an order of kind k
// changes.
func describeSettings(k upstream.OrderKind, s orders.Settings) string {
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
