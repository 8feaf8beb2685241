package member

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"tamarackchute/fleetsize"
	"tamarackchute/internal/fleet"
)

// sizeCheckInterval is how often the number of upstreams is checked.
const sizeCheckInterval = 500 * time.Millisecond

// maxListAge is the age of the list of upstreams up to which servers are ordered by it.
const maxListAge = 2 * time.Second

// sizeDirector orders upstreams from the platform while this daemon holds the lease. It is a
// suture.Service.
type sizeDirector struct {
	member     *Member
	leadership *leadership
	provider   Provider
	logger     *slog.Logger
	sizers     map[string]*fleetsize.Sizer
	lastLogged map[string]time.Time
}

// String implements fmt.Stringer; the supervisor logs it.
func (d *sizeDirector) String() string { return "director of fleet size" }

// Serve implements suture.Service.
func (d *sizeDirector) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, sizeCheckInterval)
		if !d.leadership.mayOrder(d.heldFor()) {
			// Another holder may give orders meanwhile: the next term begins with what it left.
			clear(d.sizers)
			continue
		}
		if d.listCurrent() {
			d.check(ctx)
		}
	}
	return ctx.Err()
}

func (d *sizeDirector) heldFor() time.Duration {
	if d.member.cfg.Settings.Provider.Fenced {
		return 0
	}
	return d.leadership.quietTime()
}

// listCurrent reports whether the list of upstreams is complete and recent: a part of it would
// look like a loss of upstreams.
func (d *sizeDirector) listCurrent() bool {
	return d.member.readers[upstreamReader].age() < maxListAge && !d.member.upstreams.current().unconfirmed
}

// check orders upstreams for each pool that the platform scales.
func (d *sizeDirector) check(ctx context.Context) {
	s := d.member.state.Snapshot()
	if s.Config == nil {
		return
	}
	for name, pool := range s.Config.Pools {
		if pool.Scaling == nil {
			continue
		}
		sizer := d.sizers[name]
		if sizer == nil {
			sizer = fleetsize.NewSizer(fleetsize.Config{})
			d.sizers[name] = sizer
		}
		input := d.poolSize(s, name, pool.Scaling)
		d.logSize(name, input)
		for _, o := range sizer.Decide(input, time.Now()) {
			d.order(ctx, sizer, name, o)
		}
	}
}

// poolSize returns the input of the decision on a pool.
func (d *sizeDirector) poolSize(s *fleet.Snapshot, name string, scaling *fleet.Scaling) fleetsize.Pool {
	p := fleetsize.Pool{
		Min: scaling.Min, Max: scaling.Max, SpotRatio: scaling.SpotRatio, BootTime: scaling.BootTime,
		Demand: d.demand(s, name),
	}
	centres := make(map[string]*fleetsize.Centre)
	for centre, price := range scaling.Prices {
		centres[centre] = &fleetsize.Centre{Name: centre, Price: price}
	}
	for _, u := range s.Pools[name] {
		c := centres[u.DataCentre]
		if c == nil || u.Draining {
			continue
		}
		if u.Spot {
			c.Spot++
		} else {
			c.Regular++
		}
	}
	for _, c := range centres {
		p.Centres = append(p.Centres, *c)
	}
	slices.SortFunc(p.Centres, func(a, b fleetsize.Centre) int { return cmp.Compare(a.Name, b.Name) })
	return p
}

// demand returns the work that callers ask of a pool, refused requests included, in upstreams.
func (d *sizeDirector) demand(s *fleet.Snapshot, name string) float64 {
	pool := s.Config.Pools[name]
	if pool.Engine == nil {
		return 0
	}
	state, _ := poolState(d.member, s, name, pool)
	offered := d.member.peers.Demand(name).DecodeEngines
	return state.PrefillDemand + max(state.DecodeLoad, offered)
}

// order gives one order.
func (d *sizeDirector) order(ctx context.Context, sizer *fleetsize.Sizer, pool string, o fleetsize.Order) {
	authority, done, ok := d.leadership.use(d.heldFor())
	if !ok {
		return
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, providerTimeout)
	defer cancel()
	holder := Holder{Instance: d.member.self.Instance, FencingToken: authority.FencingToken}
	outcome, err := d.provider.OrderServers(ctx, holder, ServerOrder{Pool: pool, DataCentre: o.Centre, Spot: o.Spot, Count: o.Count})
	d.logger.Info("servers ordered", "pool", pool, "data_centre", o.Centre, "spot", o.Spot, "count", o.Count, "reason", o.Reason,
		"fence", authority.FencingToken, "outcome", outcome.String(), "err", err)
	switch outcome {
	case ProviderAccepted:
		sizer.Placed(o, true, time.Now())
	case ProviderConflict:
		if o.Spot {
			sizer.Refused(o.Centre, time.Now())
			return
		}
		d.leadership.fenced()
	case ProviderFenced:
		d.leadership.fenced()
	default:
		sizer.Placed(o, false, time.Now())
	}
}

// sizeLogInterval is how often the lease holder logs the size of a pool.
const sizeLogInterval = 2 * time.Second

func (d *sizeDirector) logSize(pool string, p fleetsize.Pool) {
	if now := time.Now(); now.Sub(d.lastLogged[pool]) >= sizeLogInterval {
		d.lastLogged[pool] = now
		d.logger.Info("fleet size checked", "pool", pool, "centres", p.Centres, "demand", round(p.Demand))
	}
}
