package member

import (
	"context"
	"time"

	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
	"tamarackchute/upstream"
)

// EngineState is an engine's state as it reports it.
type EngineState struct {
	Role upstream.Role
	// Changing means that it is carrying out a role change.
	Changing bool
	// AcceptedOrders counts the orders accepted since its start.
	AcceptedOrders uint64
	// Started identifies the start of its process; zero if not reported.
	Started time.Time
}

// RoleOrder orders an engine to change its role.
type RoleOrder struct {
	Role upstream.Role
	// Holder names the process that holds the lease, FencingToken is the lease's token.
	Holder       string
	FencingToken uint64
	// ExpectedOrders is the number of orders that the engine must have accepted so far. It
	// prevents a delayed order from taking effect after a newer one.
	ExpectedOrders uint64
}

// OrderOutcome is the result of an order.
type OrderOutcome uint8

// The outcomes.
const (
	// OrderUnknown means no answer: the order may be carried out, now or later.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderAlreadyInRole means that the engine already has the role.
	OrderAlreadyInRole
	// OrderRefused means that the order has no effect.
	OrderRefused
	// OrderFenced means that a newer lease holder has given orders.
	OrderFenced
)

// String returns the name of the outcome in log lines.
func (o OrderOutcome) String() string {
	return [...]string{"open", "taken", "holds", "refused", "fenced"}[o]
}

// Gate decides whether an upstream may be called, and learns from its responses.
type Gate interface {
	// Admit returns an error if nothing may be sent to an upstream now. It is asked right
	// before the first byte is written.
	Admit(u *fleet.Upstream) error
	// AdmitOrder is Admit for the first of the two calls of an order, which the limit of an upstream
	// must leave room for, and AdmitOrdered for the second one.
	AdmitOrder(u *fleet.Upstream) error
	AdmitOrdered(u *fleet.Upstream) error
	// Observe is called for the headers of each response.
	Observe(u *fleet.Upstream, r exchange.ObservedResponse)
}

// Engines calls the control interface of model engines.
type Engines interface {
	// CachedParts returns the prompt parts in an engine's KV cache, as listed by the engine. The
	// call takes some of the engine's time.
	CachedParts(ctx context.Context, u *fleet.Upstream) ([]placement.Part, error)
	// State returns the state that an engine reports.
	State(ctx context.Context, u *fleet.Upstream) (EngineState, error)
	// SetRole sends an order to an engine and returns its outcome.
	SetRole(ctx context.Context, u *fleet.Upstream, o RoleOrder) (OrderOutcome, error)
}
