package member

import (
	"context"
	"log/slog"
	"time"

	"tamarackchute/internal/fleet"
	"tamarackchute/rolepolicy"
	"tamarackchute/upstream"
)

const (
	// roleCheckInterval is how often the roles are checked.
	roleCheckInterval = 500 * time.Millisecond
	// orderTimeout limits one control call to an engine.
	orderTimeout = 500 * time.Millisecond
	// changeTimeout is the time after which an engine that hasn't changed its role gets work
	// again: it first finishes its running streams, which takes seconds. unknownOrderTimeout is
	// that after an order without an answer.
	changeTimeout       = 12 * time.Second
	unknownOrderTimeout = 2 * time.Second
)

// director changes the roles of engines while this daemon holds the lease.
type director struct {
	member     *Member
	leadership *leadership
	engines    Engines
	balancers  map[string]*rolepolicy.Balancer
	logger     *slog.Logger
	// changes are the accepted orders that aren't completed yet.
	changes map[string]roleChange
	// lastLogged is when the state of each pool was last logged.
	lastLogged map[string]time.Time
}

// roleChange is a role change in progress.
type roleChange struct {
	engine *fleet.Upstream
	to     upstream.Role
	since  time.Time
}

// String implements fmt.Stringer; the supervisor logs it.
func (d *director) String() string { return "director of roles" }

// Serve implements suture.Service.
func (d *director) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, roleCheckInterval)
		if d.leadership.mayOrder(d.leadership.quietTime()) {
			d.balance(ctx)
		}
	}
	return ctx.Err()
}

// balance checks the roles of each pool of engines.
func (d *director) balance(ctx context.Context) {
	s := d.member.state.Snapshot()
	if s.Config == nil {
		return
	}
	d.trackChanges(s)
	for name, pool := range s.Config.Pools {
		if pool.Engine == nil || len(s.Pools[name]) == 0 {
			continue
		}
		balancer := d.balancers[name]
		if balancer == nil {
			balancer = rolepolicy.NewBalancer(rolepolicy.DefaultBalancerConfig())
			d.balancers[name] = balancer
		}
		state, engines := poolState(d.member, s, name, pool)
		change, ok := balancer.Decide(state, time.Now())
		d.logPool(name, state)
		if !ok {
			continue
		}
		d.orderAll(ctx, chooseEngines(s, engines, change), change)
	}
}
