package member

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/infra"
	"tamarackchute/internal/daemonstatus"
	"tamarackchute/internal/fleet"
	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/rolepolicy"
	"tamarackchute/upstream"
)

const (
	// roleCheckInterval is how often the roles are checked.
	roleCheckInterval = 500 * time.Millisecond
	// maxCandidates is the number of daemons that compete for the lease; the others neither read
	// nor write the journal.
	maxCandidates = 2
	// renewRatio is the time between renewals as a share of the lease's term.
	renewRatio = 0.35
	// maxClockDrift is the maximum difference between the rates of two clocks.
	maxClockDrift = 0.01
	// claimDelay is the delay per rank that separates competing claims.
	claimDelay = 400 * time.Millisecond
	// quietMargin is added to the time for which a new lease holder gives no orders.
	quietMargin = 500 * time.Millisecond
	// orderTimeout limits one control call to an engine.
	orderTimeout = 500 * time.Millisecond
	// changeTimeout is the time after which an engine that hasn't changed its role gets work
	// again: it first finishes its running streams, which takes seconds. unknownOrderTimeout is
	// that after an order without an answer.
	changeTimeout       = 12 * time.Second
	unknownOrderTimeout = 2 * time.Second
	// clockJump is the difference between the monotonic and the wall clock from which the
	// process may have been suspended.
	clockJump  = 700 * time.Millisecond
	leaseScope = "roles"
)

// director changes the roles of engines while this daemon holds the lease. Only a few daemons
// compete for it, so that its cost doesn't grow with their number.
type director struct {
	member    *Member
	log       infra.Log
	engines   Engines
	balancers map[string]*rolepolicy.Balancer
	logger    *slog.Logger

	keeper    *lease.Keeper
	stopLease func()
	// heldSince is when the lease was acquired; it has been held without interruption since.
	heldSince time.Time
	// blockedUntil is when orders are allowed again after a clock jump or a fenced order.
	blockedUntil  time.Time
	lastMonotonic time.Time
	lastWall      time.Time
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
	defer d.setCandidate(false)
	for ctx.Err() == nil {
		sleep(ctx, roleCheckInterval)
		d.checkClock()
		d.setCandidate(d.member.Ready() && d.member.peers.Rank() < maxCandidates)
		mayOrder := d.mayOrder()
		d.publishLease()
		if mayOrder {
			d.balance(ctx)
		}
	}
	return ctx.Err()
}

// publishLease updates the lease status shown to operators.
func (d *director) publishLease() {
	l := daemonstatus.Lease{Candidate: d.keeper != nil}
	if d.keeper != nil {
		authority, held := d.keeper.Authority()
		l.Held, l.FencingToken = held, authority.FencingToken
	}
	d.member.lease.Store(&l)
}

// checkClock detects a suspension of the process: the monotonic clock, on which the lease
// depends, stands still meanwhile, and another daemon may have taken the lease.
func (d *director) checkClock() {
	now := time.Now()
	wall := now.Round(0)
	if !d.lastMonotonic.IsZero() {
		if skew := wall.Sub(d.lastWall) - now.Sub(d.lastMonotonic); skew > clockJump || skew < -clockJump {
			d.blockedUntil = now.Add(d.term())
			d.logger.Warn("clock jump detected; no orders for a term", "by_ms", skew.Milliseconds())
		}
	}
	d.lastMonotonic, d.lastWall = now, wall
}

func (d *director) term() time.Duration { return d.member.cfg.Settings.LeaseTerm }

// setCandidate starts or stops competing for the lease.
func (d *director) setCandidate(candidate bool) {
	switch {
	case candidate && d.stopLease == nil:
		d.startLease()
	case !candidate && d.stopLease != nil:
		d.stopLease()
		d.stopLease, d.keeper = nil, nil
		d.heldSince = time.Time{}
		d.logger.Info("no longer a lease candidate")
	}
}

func (d *director) startLease() {
	s := d.member.cfg.Settings
	incarnation := strconv.FormatUint(d.member.peers.incarnation, 36)
	writer := s.Instance + "/member/" + incarnation
	entries := journal.New(d.log, journal.Config{Writer: writer, Retention: s.StoreRetention, LongPoll: 10 * time.Second, Logger: d.logger})
	view := lease.NewView()
	entries.Register(journal.KindLease, view)
	d.keeper = lease.NewKeeper(lease.KeeperConfig{
		Config: lease.Config{
			Scope: leaseScope, Instance: s.Instance, Incarnation: incarnation,
			Term: d.term(), Renew: time.Duration(renewRatio * float64(d.term())), Drift: maxClockDrift,
			ClaimDelay: claimDelay * time.Duration(d.member.peers.Rank()), Retention: s.StoreRetention,
		},
		Writer: writer,
	}, entries, view, alwaysPresent{}, d.logger)
	ctx, cancel := context.WithCancel(context.Background())
	tree := suture.New("lease", suture.Spec{EventHook: d.member.logEvent, FailureBackoff: time.Second})
	tree.Add(entries)
	tree.Add(d.keeper)
	done := tree.ServeBackground(ctx)
	d.stopLease = func() {
		cancel()
		<-done
	}
	d.logger.Info("lease candidate")
}

// alwaysPresent makes leases expire by time alone: the platform's engines check fencing tokens.
type alwaysPresent struct{}

// Gone implements lease.Presence.
func (alwaysPresent) Gone(string, time.Time) bool { return false }

// Listed implements lease.Presence.
func (alwaysPresent) Listed(string) bool { return true }

// mayOrder reports whether this daemon may give orders. A new holder waits for a term first: the
// former one may have given its last order at the very end of its term.
func (d *director) mayOrder() bool {
	now := time.Now()
	if d.keeper == nil {
		return false
	}
	if _, ok := d.keeper.Authority(); !ok {
		d.heldSince = time.Time{}
		return false
	}
	if d.heldSince.IsZero() {
		d.heldSince = now
		d.logger.Info("lease for role changes acquired", "quiet_ms", (d.term() + quietMargin).Milliseconds())
	}
	return now.Sub(d.heldSince) > d.term()+quietMargin && now.After(d.blockedUntil)
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
		state, engines := d.poolState(s, name, pool)
		change, ok := balancer.Decide(state, time.Now())
		d.logPool(name, state)
		if !ok {
			continue
		}
		d.orderAll(ctx, chooseEngines(s, engines, change), change)
	}
}
