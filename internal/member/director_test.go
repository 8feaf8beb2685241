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

// startedEngine is an engine that tells its start, and takes no order in this test.
type startedEngine struct {
	Engines
	t       *testing.T
	started time.Time
	asked   int
}

func (e *startedEngine) State(context.Context, *fleet.Upstream) (EngineState, error) {
	e.asked++
	return EngineState{Role: upstream.RoleDecode, AcceptedOrders: 0, Started: e.started}, nil
}

func (e *startedEngine) SetRole(context.Context, *fleet.Upstream, RoleOrder) (OrderOutcome, error) {
	e.t.Error("an order to another start")
	return OrderRefused, nil
}

// An engine has crashed and started again under its ID, with no orders counted. The
// list still tells of the former start: an order for that one, whose count happens to
// fit, would send the new one into a change that nobody decided on.
func TestNoOrderToAnotherStart(t *testing.T) {
	e := &startedEngine{t: t, started: time.UnixMilli(200)}
	d := &director{engines: e, logger: discardLogger}
	d.order(t.Context(), &fleet.Upstream{ID: "e", Started: time.UnixMilli(100)}, rolepolicy.Change{To: upstream.RolePrefill})
	require.Equal(t, 1, e.asked)
}

// silentEngines take a call and don't answer it.
type silentEngines struct {
	Engines
	asked int
}

func (e *silentEngines) State(ctx context.Context, _ *fleet.Upstream) (EngineState, error) {
	e.asked++
	<-ctx.Done()
	return EngineState{}, ctx.Err()
}

// The leader has ordered two dozen engines to change, and they can't be reached. Each
// call takes until its timeout: the leader looks at the roles again half a minute later,
// when the load has changed twice. It must leave the rest for its next look.
func TestSilentEnginesDontHoldTheLeaderUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &silentEngines{}
		d := &director{engines: e, logger: discardLogger}
		engines := make([]*fleet.Upstream, 24)
		for i := range engines {
			engines[i] = &fleet.Upstream{ID: "e"}
		}
		start := time.Now()
		d.orderAll(t.Context(), engines, rolepolicy.Change{To: upstream.RolePrefill, Engines: len(engines)})
		require.LessOrEqual(t, time.Since(start), roleCheckInterval+2*orderTimeout)
		require.Equal(t, 1, e.asked)
	})
}
