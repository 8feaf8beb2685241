package relay

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"tamarackchute/internal/fleet"
	"tamarackchute/upstream"
)

// outageInterval is how long a pool's requests all fail before that is logged, and how often it is
// logged again.
const outageInterval = time.Second

// outages tells for each pool whether this daemon's callers are served at all.
type outages struct {
	relay   *Relay
	started time.Time

	mu    sync.Mutex
	pools map[string]*poolOutage
}

// poolOutage counts the requests of a pool that failed since one was last answered.
type poolOutage struct {
	// served says that a request has been answered since the start.
	served bool
	// since is when the first of the failed requests ended; zero if there are none.
	since time.Time
	// loggedAt is when the outage was last logged, zero if it wasn't.
	loggedAt time.Time
	reasons  map[reason]int
}

func newOutages(r *Relay) *outages {
	return &outages{relay: r, started: time.Now(), pools: make(map[string]*poolOutage)}
}

// record notes the end of a request; a nil failure means that an upstream answered.
func (o *outages) record(pool string, f *failure) {
	if pool == "" || f != nil && f.reason == reasonCallerGone {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[pool]
	if p == nil {
		p = &poolOutage{reasons: make(map[reason]int)}
		o.pools[pool] = p
	}
	now := time.Now()
	if f == nil {
		o.end(pool, p, now)
		return
	}
	if p.since.IsZero() {
		p.since = now
	}
	p.reasons[f.reason]++
	if now.Sub(p.since) >= outageInterval && now.Sub(p.loggedAt) >= outageInterval {
		p.loggedAt = now
		o.relay.cfg.Logger.Warn("pool not served", o.attrs(pool, p, now)...)
	}
}

// end ends the outage of a pool, if there is one. The caller holds o.mu.
func (o *outages) end(pool string, p *poolOutage, now time.Time) {
	switch {
	case !p.served:
		o.relay.cfg.Logger.Info("pool served for the first time", o.attrs(pool, p, now)...)
	case !p.loggedAt.IsZero():
		o.relay.cfg.Logger.Info("pool served again", o.attrs(pool, p, now)...)
	}
	p.served, p.since, p.loggedAt = true, time.Time{}, time.Time{}
	clear(p.reasons)
}

// attrs describes a pool's outage: what failed for which reason, and what is known of its upstreams.
func (o *outages) attrs(pool string, p *poolOutage, now time.Time) []any {
	reasons := make([]any, 0, len(p.reasons))
	for _, r := range slices.Sorted(maps.Keys(p.reasons)) {
		reasons = append(reasons, slog.Int(string(r), p.reasons[r]))
	}
	var lasted time.Duration
	if !p.since.IsZero() {
		lasted = now.Sub(p.since)
	}
	health := o.relay.cfg.Tracker.PoolHealth(pool)
	prefill, draining := countRoles(o.relay.cfg.State.Snapshot().Pools[pool])
	return []any{
		"pool", pool, "after_start_ms", now.Sub(o.started).Milliseconds(), "lasted_ms", lasted.Milliseconds(),
		slog.Group("failed", reasons...), "listed", health.Listed, "ejected", health.Ejected,
		"unreachable", health.Unreachable, "prefill_only", prefill, "draining", draining, "path_lost", o.relay.paths.IsLost(pool),
	}
}

// countRoles returns how many upstreams only prefill, and how many are draining.
func countRoles(upstreams []*fleet.Upstream) (prefill, draining int) {
	for _, u := range upstreams {
		switch {
		case u.Draining:
			draining++
		case u.Role == upstream.RolePrefill:
			prefill++
		}
	}
	return prefill, draining
}
