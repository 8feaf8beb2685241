package relay

import (
	"time"

	"tamarackchute/internal/fleet"
	"tamarackchute/upstreamlimit"
)

// Limits keeps the limits that upstreams name.
type Limits struct {
	Book    *upstreamlimit.Book
	Limiter *upstreamlimit.Limiter
	// OnNews is called after a response that other daemons should hear of.
	OnNews func()
}

func limitKey(id string, started time.Time) upstreamlimit.Upstream {
	return upstreamlimit.Upstream{ID: id, Started: started.UnixMilli()}
}

// observeLimit records what a response says of its upstream's limit.
func (r *Relay) observeLimit(u *fleet.Upstream, advice Advice, sentAt time.Time) {
	if r.cfg.Limits == nil || advice.Limit == NothingStated {
		return
	}
	s := upstreamlimit.Statement{Limited: advice.Limit == Limited, PerSecond: advice.PerSecond, SentAt: sentAt, ReceivedAt: time.Now()}
	if !r.cfg.Limits.Book.Observe(limitKey(u.ID, u.Started), s) {
		return
	}
	r.metrics.recordLimit(u.Pool, s.Limited)
	r.cfg.Logger.Info("upstream limit", "upstream", u.ID, "started", u.Started, "pool", u.Pool, "limited", s.Limited, "per_second", s.PerSecond)
	r.cfg.Limits.OnNews()
	r.WakeWaiting()
}

// takeOrderFromLimit counts the requests of an order towards its upstream's limit, and reports whether
// it may be given.
func (r *Relay) takeOrderFromLimit(u *fleet.Upstream) bool {
	return r.cfg.Limits == nil || r.cfg.Limits.Limiter.TakeOrder(limitKey(u.ID, u.Started))
}

// takeOrderedFromLimit is takeOrderFromLimit for the second request of an order.
func (r *Relay) takeOrderedFromLimit(u *fleet.Upstream) bool {
	return r.cfg.Limits == nil || r.cfg.Limits.Limiter.TakeOrdered(limitKey(u.ID, u.Started))
}

// takeFromLimit counts a request towards its upstream's limit, and reports whether it may be sent.
func (r *Relay) takeFromLimit(u *fleet.Upstream) bool {
	return r.cfg.Limits == nil || r.cfg.Limits.Limiter.Take(limitKey(u.ID, u.Started))
}
