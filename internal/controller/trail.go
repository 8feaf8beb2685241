package controller

import (
	"github.com/uber-go/tally/v4"

	"tamarackchute/lease"
	"tamarackchute/orders"
)

// Trail takes note of what the controller does, for the audit trail and the
// metrics. Its methods don't block.
type Trail interface {
	// Change reports an accepted step of a change.
	Change(c orders.Change, reason string)
	// Order reports that an order was sent, and the error of the reply.
	Order(err error)
	// Leads reports a term that this process has begun or ended.
	Leads(s lease.ScopeState)
}

// metricsTrail counts.
type metricsTrail struct{ scope tally.Scope }

// Change implements Trail.
func (t metricsTrail) Change(c orders.Change, _ string) {
	t.scope.Tagged(map[string]string{"phase": c.Phase.String()}).Counter("changes").Inc(1)
}

// Order implements Trail.
func (t metricsTrail) Order(err error) {
	reply := "ok"
	if err != nil {
		reply = "error"
	}
	t.scope.Tagged(map[string]string{"reply": reply}).Counter("orders").Inc(1)
}

// Leads implements Trail.
func (t metricsTrail) Leads(s lease.ScopeState) {
	if s.Held {
		t.scope.Tagged(map[string]string{"ground": s.Ground.String()}).Counter("terms").Inc(1)
		return
	}
	t.scope.Counter("releases").Inc(1)
}
