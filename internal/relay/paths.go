package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/pathwatch"
	"tamarackchute/reach"
)

// verifyOpen is how long a new connection must stay open. Within a site a reset arrives in less.
const verifyOpen = 10 * time.Millisecond

// paths knows to which pools this daemon has lost its path, and the attempts that go over them.
type paths struct {
	*pathwatch.Watcher
	relay *Relay

	mu sync.Mutex
	// attempts are those in progress.
	attempts map[*stallWatchdog]struct{}
}

func newPaths(r *Relay) *paths {
	p := &paths{relay: r, attempts: make(map[*stallWatchdog]struct{})}
	p.Watcher = pathwatch.New(pathwatch.Config{Pools: p.pools, Reaches: p.reaches, OnCheck: p.checked, OnChange: p.changed})
	return p
}

// pools returns the IDs of the upstreams that aren't draining, by pool.
func (p *paths) pools() map[string][]string {
	snapshot := p.relay.cfg.State.Snapshot()
	pools := make(map[string][]string, len(snapshot.Pools))
	for name, upstreams := range snapshot.Pools {
		for _, u := range upstreams {
			if !u.Draining {
				pools[name] = append(pools[name], u.ID)
			}
		}
	}
	return pools
}

// changed implements pathwatch.Config.OnChange.
func (p *paths) changed(pool string, change reach.Change, result reach.Check) {
	r := p.relay
	r.metrics.recordPath(pool, change)
	attrs := []any{"pool", pool, "tried", result.Tried, "reached", result.Reached}
	if change == reach.Lost {
		r.cfg.Logger.Warn("path to upstreams lost", attrs...)
		time.AfterFunc(settleTime, func() { p.abortIfCut(pool) })
	} else {
		r.cfg.Logger.Info("path to upstreams works again", attrs...)
		r.cfg.Tracker.ReadmitUnreachable(pool)
	}
	if r.cfg.OnPathChange != nil {
		r.cfg.OnPathChange()
	}
	r.WakeWaiting()
}

// checked implements pathwatch.Config.OnCheck.
func (p *paths) checked(pool string) {
	p.abortIfCut(pool)
	p.relay.forwarder.closeUnknown(p.relay.cfg.ForwardPeers)
}

// settleTime is how long no upstream must be reached until attempts over a lost path are given up: if the
// upstreams themselves are silent, all daemons that use them find their paths lost within that time.
const settleTime = 350 * time.Millisecond

// abortIfCut aborts the silent attempts over a path that is lost here alone.
func (p *paths) abortIfCut(pool string) {
	if p.othersReach(pool) {
		p.abortSilent(pool)
	}
}

// othersReach reports whether the path to a pool is cut here, and most other daemons have one.
func (p *paths) othersReach(pool string) bool {
	if p.relay.cfg.PeerPaths == nil || p.Tracker.CutFor(pool) < settleTime {
		return false
	}
	with, without := p.relay.cfg.PeerPaths(pool)
	return with > without
}

// watch adds an attempt that is aborted if it is silent while its path is lost, unwatch removes it.
func (p *paths) watch(w *stallWatchdog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[w] = struct{}{}
}

func (p *paths) unwatch(w *stallWatchdog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.attempts, w)
}

// abortSilent aborts the silent attempts at a pool's upstreams. Connections from before a cut may
// live on.
func (p *paths) abortSilent(pool string) {
	p.mu.Lock()
	var lost []*stallWatchdog
	for w := range p.attempts {
		if w.call.pool == pool {
			lost = append(lost, w)
		}
	}
	p.mu.Unlock()
	for _, w := range lost {
		w.pathLost()
	}
}

// reaches implements pathwatch.Config.Reaches.
func (p *paths) reaches(ctx context.Context, id string, kind reach.CheckKind) bool {
	u := p.relay.cfg.State.Snapshot().Upstreams[id]
	if u == nil {
		return false
	}
	if path := p.healthPath(u.Pool); kind == reach.CheckResponses && path != "" {
		return p.responds(ctx, u, path)
	}
	return p.relay.connsTo(u).Verify(ctx, verifyOpen) == nil
}

// responds reports whether an upstream answers a request for its health, whatever it says.
func (p *paths) responds(ctx context.Context, u *fleet.Upstream, path string) bool {
	h := http.Header{}
	p.relay.cfg.Dialect.SetAttemptHeaders(h, Attempt{Upstream: u.ID, Urgency: -1})
	resp, err := p.relay.connsTo(u).Do(ctx, &exchange.Request{Method: http.MethodGet, Target: path, Host: u.Address, Header: h, Admit: p.relay.admit(u)})
	if err != nil {
		return errors.Is(err, ErrHeldBack) // which says nothing of the path
	}
	resp.Close()
	return true
}

func (p *paths) healthPath(pool string) string {
	config := p.relay.cfg.State.Snapshot().Config
	if config == nil || config.Pools[pool] == nil {
		return ""
	}
	return config.Pools[pool].HealthPath
}

// PathService returns the service that watches the paths to upstreams.
func (r *Relay) PathService() *pathwatch.Watcher { return r.paths.Watcher }

// DoubtPath has the path to a pool checked, since another daemon has lost its own.
func (r *Relay) DoubtPath(pool string) { r.paths.Doubt(pool) }

// LostPools returns the pools to whose upstreams this daemon has lost its path.
func (r *Relay) LostPools() []string { return r.paths.Tracker.LostPools() }

// HasPath reports whether this daemon has a path to the upstreams of any pool.
func (r *Relay) HasPath() bool { return r.paths.HasPath() }
