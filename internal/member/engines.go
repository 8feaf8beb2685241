package member

import (
	"context"
	"time"

	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
	"tamarackchute/upstream"
)

// EngineState is an engine's own word on its role.
type EngineState struct {
	Role upstream.Role
	// Changing says that an order is being carried out.
	Changing bool
	// Orders counts the orders that it has accepted since its start.
	AcceptedOrders uint64
	// Started tells its starts apart; zero if it doesn't say.
	Started time.Time
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	Role upstream.Role
	// Holder names the process that gives the order, Fence is its fencing
	// number.
	Holder       string
	FencingToken uint64
	// After is the number of orders that the engine must have accepted before
	// this one: an order that is carried out late, after a newer one, has no
	// effect.
	ExpectedOrders uint64
}

// OrderOutcome is what became of an order.
type OrderOutcome uint8

// The outcomes.
const (
	// OrderOpen: no answer; it may be carried out, now or later.
	OrderUnknown OrderOutcome = iota
	// OrderTaken: it is being carried out.
	OrderAccepted
	// OrderHolds: the engine has the role already.
	OrderAlreadyInRole
	// OrderRefused: it has no effect.
	OrderRefused
	// OrderFenced: a newer holder has given orders.
	OrderFenced
)

func (o OrderOutcome) String() string {
	return [...]string{"open", "taken", "holds", "refused", "fenced"}[o]
}

// Engines are the control calls of model engines.
type Engines interface {
	// CachedParts returns the parts of prompts that an engine keeps in its KV cache, by its
	// own word. It costs the engine some time.
	CachedParts(ctx context.Context, u *fleet.Upstream) ([]placement.Part, error)
	State(ctx context.Context, u *fleet.Upstream) (EngineState, error)
	SetRole(ctx context.Context, u *fleet.Upstream, o RoleOrder) (OrderOutcome, error)
}
