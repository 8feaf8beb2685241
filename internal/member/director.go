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
	// directEvery is how often roles are looked at.
	roleCheckInterval = 500 * time.Millisecond
	// candidates is the number of daemons that try to lead at a time; the
	// others neither read nor write the journal.
	maxCandidates = 2
	// renewShare is the time between renewals as a share of the lease's term.
	renewRatio = 0.35
	// clockDrift is the most by which clocks' rates may differ.
	maxClockDrift = 0.01
	// claimDelay sets claimants apart.
	claimDelay = 400 * time.Millisecond
	// quietMargin is added to the time for which a new leader gives no order.
	quietMargin = 500 * time.Millisecond
	// orderTimeout bounds one control call to an engine.
	orderTimeout = 500 * time.Millisecond
	// changeLimit is the time after which an engine that hasn't changed is given
	// work again: it ends its running streams first, which takes seconds.
	// openLimit is that for an order without an answer.
	changeTimeout       = 12 * time.Second
	unknownOrderTimeout = 2 * time.Second
	// clockJump is the difference between the steady clock and the time of day
	// from which the process may have been suspended.
	clockJump  = 700 * time.Millisecond
	leaseScope = "roles"
)

// director changes the roles of engines, if this daemon leads. Only a few daemons
// take part at a time, so that its cost doesn't grow with their number.
type director struct {
	member  *Member
	log     infra.Log
	engines Engines
	policy  map[string]*rolepolicy.Balancer
	logger  *slog.Logger

	keeper    *lease.Keeper
	stopLease func()
	// leadsSince is when the present authority began without a break.
	heldSince time.Time
	// distrust is the time until which a clock that has jumped forbids orders.
	blockedUntil  time.Time
	lastMonotonic time.Time
	lastWall      time.Time
	// changes are the orders given and not seen to be done.
	changes map[string]roleChange
	// logged is when the picture of each pool was logged last.
	lastLogged map[string]time.Time
}

// roleChange is an order under way.
type roleChange struct {
	engine *fleet.Upstream
	to     upstream.Role
	since  time.Time
}

// String names the service for the supervisor.
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

// tellLease keeps this daemon's part in the lease for operators.
func (d *director) publishLease() {
	l := daemonstatus.Lease{Candidate: d.keeper != nil}
	if d.keeper != nil {
		authority, held := d.keeper.Authority()
		l.Held, l.FencingToken = held, authority.FencingToken
	}
	d.member.lease.Store(&l)
}

// checkClock notices that the process was suspended: the steady clock stands
// still meanwhile, and the lease with it, while others may have taken it.
func (d *director) checkClock() {
	now := time.Now()
	wall := now.Round(0)
	if !d.lastMonotonic.IsZero() {
		if skew := wall.Sub(d.lastWall) - now.Sub(d.lastMonotonic); skew > clockJump || skew < -clockJump {
			d.blockedUntil = now.Add(d.term())
			d.logger.Warn("clock jumped; no orders for a term", "by_ms", skew.Milliseconds())
		}
	}
	d.lastMonotonic, d.lastWall = now, wall
}

func (d *director) term() time.Duration { return d.member.cfg.Settings.LeaseTerm }

// stand begins or ends the part in the lease.
func (d *director) setCandidate(candidate bool) {
	switch {
	case candidate && d.stopLease == nil:
		d.startLease()
	case !candidate && d.stopLease != nil:
		d.stopLease()
		d.stopLease, d.keeper = nil, nil
		d.heldSince = time.Time{}
		d.logger.Info("no candidate for the lease any more")
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
	d.logger.Info("candidate for the lease")
}

// everyonePresent makes the lease pass by time alone: the engines of the platform
// check fencing numbers.
type alwaysPresent struct{}

// Gone implements lease.Presence.
func (alwaysPresent) Gone(string, time.Time) bool { return false }

// Listed implements lease.Presence.
func (alwaysPresent) Listed(string) bool { return true }

// leads reports whether this daemon may give orders. A new leader stays quiet for
// a term first: the former one's last order may have been given at the very end
// of its term.
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
		d.logger.Info("leads the roles", "quiet_ms", (d.term() + quietMargin).Milliseconds())
	}
	return now.Sub(d.heldSince) > d.term()+quietMargin && now.After(d.blockedUntil)
}

// direct looks at each pool of engines.
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
		policy := d.policy[name]
		if policy == nil {
			policy = rolepolicy.NewBalancer(rolepolicy.DefaultBalancerConfig())
			d.policy[name] = policy
		}
		state, engines := d.poolState(s, name, pool)
		change, ok := policy.Decide(state, time.Now())
		d.logPool(name, state)
		if !ok {
			continue
		}
		d.orderAll(ctx, chooseEngines(s, engines, change), change)
	}
}
