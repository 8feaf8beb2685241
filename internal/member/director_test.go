package member

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/fleet"
	"tamarackchute/rolepolicy"
	"tamarackchute/upstream"
)

// restartedEngine reports its start, and fails the test if it gets an order.
type restartedEngine struct {
	Engines
	t       *testing.T
	started time.Time
	calls   int
}

func (e *restartedEngine) State(context.Context, *fleet.Upstream) (EngineState, error) {
	e.calls++
	return EngineState{Role: upstream.RoleDecode, AcceptedOrders: 0, Started: e.started}, nil
}

func (e *restartedEngine) SetRole(context.Context, *fleet.Upstream, RoleOrder) (OrderOutcome, error) {
	e.t.Error("order to a restarted engine")
	return OrderRefused, nil
}

// Guards against an order to an engine that has restarted under its ID while the list still has
// the earlier start: its order count may match by chance.
func TestNoOrderToRestartedEngine(t *testing.T) {
	e := &restartedEngine{t: t, started: time.UnixMilli(200)}
	d := &director{engines: e, logger: discardLogger}
	d.order(t.Context(), &fleet.Upstream{ID: "e", Started: time.UnixMilli(100)}, rolepolicy.Change{To: upstream.RolePrefill})
	require.Equal(t, 1, e.calls)
}

// unresponsiveEngines never answer.
type unresponsiveEngines struct {
	Engines
	calls int
}

func (e *unresponsiveEngines) State(ctx context.Context, _ *fleet.Upstream) (EngineState, error) {
	e.calls++
	<-ctx.Done()
	return EngineState{}, ctx.Err()
}

// Guards against a lease holder that calls two dozen unreachable engines until each call times
// out, and checks the roles again only half a minute later. The rest must be postponed to its
// next check.
func TestUnresponsiveEnginesDoNotDelayLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &unresponsiveEngines{}
		d := &director{engines: e, logger: discardLogger}
		engines := make([]*fleet.Upstream, 24)
		for i := range engines {
			engines[i] = &fleet.Upstream{ID: "e"}
		}
		start := time.Now()
		d.orderAll(t.Context(), engines, rolepolicy.Change{To: upstream.RolePrefill, Engines: len(engines)})
		require.LessOrEqual(t, time.Since(start), roleCheckInterval+2*orderTimeout)
		require.Equal(t, 1, e.calls)
	})
}
