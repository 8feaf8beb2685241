package member

import (
	"context"
	"time"

	"tamarackchute/internal/fleet"
	"tamarackchute/rolepolicy"
)

// orderAll gives a change's orders one after the other, until the next check is due: engines
// that don't answer must not delay it.
func (d *director) orderAll(ctx context.Context, engines []*fleet.Upstream, c rolepolicy.Change) {
	start := time.Now()
	for i, u := range engines {
		if time.Since(start) > roleCheckInterval {
			d.logger.Warn("orders postponed to the next check", "left", len(engines)-i, "of", len(engines), "to", c.To)
			return
		}
		d.order(ctx, u, c)
	}
}

// order gives one order. Its precondition is the engine's state just read, so that it has no
// effect after any other order.
func (d *director) order(ctx context.Context, u *fleet.Upstream, c rolepolicy.Change) {
	ctx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
	defer cancel()
	state, err := d.engines.State(ctx, u)
	if err != nil || state.Changing || state.Role == c.To {
		d.logger.Info("role not changed", "engine", u.ID, "to", c.To, "changing", state.Changing, "role", state.Role, "err", err)
		return
	}
	if !state.Started.Equal(u.Started) && !state.Started.IsZero() {
		// The order would be meant for the listed start but carry the order count of another.
		d.logger.Info("role not changed: the engine has restarted", "engine", u.ID, "listed", u.Started, "started", state.Started)
		return
	}
	authority, done, ok := d.leadership.use(d.leadership.quietTime())
	if !ok {
		return
	}
	defer done()
	outcome, err := d.engines.SetRole(ctx, u, RoleOrder{
		Role: c.To, Holder: d.member.self.Instance, FencingToken: authority.FencingToken, ExpectedOrders: state.AcceptedOrders,
	})
	d.logger.Info("role ordered", "engine", u.ID, "from", u.Role, "to", c.To, "fence", authority.FencingToken,
		"after", state.AcceptedOrders, "outcome", outcome.String(), "reason", c.Reason, "err", err)
	switch outcome {
	case OrderAccepted:
		// The engine refuses work until its entry shows the new role. Each daemon ends the
		// unavailability by itself, whichever holds the lease then.
		d.changes[u.ID] = roleChange{engine: u, to: c.To, since: time.Now()}
		d.member.peers.MarkUnavailable(u.ID, c.To, changeTimeout)
	case OrderUnknown:
		d.member.peers.MarkUnavailable(u.ID, c.To, unknownOrderTimeout)
	case OrderFenced:
		d.leadership.fenced()
	}
}

// trackChanges checks the progress of the accepted orders.
func (d *director) trackChanges(s *fleet.Snapshot) {
	for id, c := range d.changes {
		took := time.Since(c.since)
		u := s.Upstreams[id]
		switch {
		case u == nil || u.Draining || !u.SameIncarnation(c.engine):
			delete(d.changes, id)
		case u.Role == c.to:
			delete(d.changes, id)
			d.logger.Info("role changed", "engine", id, "to", c.to, "took_ms", took.Milliseconds())
		case took > changeTimeout:
			delete(d.changes, id)
			d.logger.Warn("role change timed out", "engine", id, "to", c.to)
		}
	}
}
