package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/reach"
)

const (
	// pathsInterval is how often paths are looked at without a failed connection.
	pathsInterval = 100 * time.Millisecond
	// maxCheckedUpstreams is the number of upstreams that a check of a path tries.
	maxCheckedUpstreams = 8
	// pathCheckTimeout limits the time of a check. Within a site a connection takes a few milliseconds;
	// an upstream that takes longer isn't reached in time for most requests.
	pathCheckTimeout = 250 * time.Millisecond
	// verifyOpen is how long a connection must stay open. Within a site a reset arrives in less.
	verifyOpen = 10 * time.Millisecond
)

// paths finds out whether this daemon's path to the upstreams of a pool is lost. It is a
// suture.Service.
type paths struct {
	relay   *Relay
	tracker *reach.Tracker
	// failed gets a token when a connection has failed.
	failed chan struct{}
	checks conc.WaitGroup

	mu sync.Mutex
	// attempts are those in progress.
	attempts map[*stallWatchdog]struct{}
}

func newPaths(r *Relay) *paths {
	return &paths{relay: r, tracker: reach.NewTracker(reach.Config{}, nil), failed: make(chan struct{}, 1), attempts: make(map[*stallWatchdog]struct{})}
}

// String implements fmt.Stringer; the supervisor logs it.
func (p *paths) String() string { return "paths to upstreams" }

// Serve implements suture.Service.
func (p *paths) Serve(ctx context.Context) error {
	ticker := time.NewTicker(pathsInterval)
	defer ticker.Stop()
	defer p.checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			p.relay.forwarder.closeUnknown(p.relay.cfg.ForwardPeers)
		case <-p.failed:
		}
		pools := p.relay.cfg.State.Snapshot().Pools
		p.tracker.Retain(func(pool string) bool { return len(pools[pool]) > 0 })
		for pool, upstreams := range pools {
			if kind := p.tracker.BeginCheck(pool); kind != reach.NoCheck {
				p.checks.Go(func() { p.check(ctx, pool, upstreams, kind) })
			}
		}
	}
}

// recordFailure records that a connection to a pool's upstream could not be made, or broke.
func (p *paths) recordFailure(pool string) {
	p.tracker.Failed(pool)
	select {
	case p.failed <- struct{}{}:
	default:
	}
}

// check checks the path to a pool.
func (p *paths) check(ctx context.Context, pool string, upstreams []*fleet.Upstream, kind reach.CheckKind) {
	result := p.try(ctx, upstreams, kind)
	change := p.tracker.EndCheck(pool, result)
	if p.tracker.IsLost(pool) {
		p.abortSilent(pool)
	}
	if change == reach.Unchanged {
		return
	}
	p.relay.metrics.recordPath(pool, change)
	attrs := []any{"pool", pool, "tried", result.Tried, "reached", result.Reached}
	if change == reach.Lost {
		p.relay.cfg.Logger.Warn("path to upstreams lost", attrs...)
		for other := range p.relay.cfg.State.Snapshot().Pools {
			if other != pool {
				p.recordFailure(other)
			}
		}
	} else {
		p.relay.cfg.Logger.Info("path to upstreams works again", attrs...)
		p.relay.cfg.Tracker.ReadmitUnreachable(pool)
	}
	if p.relay.cfg.OnPathChange != nil {
		p.relay.cfg.OnPathChange()
	}
	p.relay.WakeWaiting()
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

// try tries to reach some of the given upstreams.
func (p *paths) try(ctx context.Context, upstreams []*fleet.Upstream, kind reach.CheckKind) reach.Check {
	sample := slices.DeleteFunc(slices.Clone(upstreams), func(u *fleet.Upstream) bool { return u.Draining })
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	sample = sample[:min(len(sample), maxCheckedUpstreams)]
	reaches := p.connects
	if kind == reach.CheckResponses {
		reaches = p.responds
	}
	ctx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
	defer cancel()
	reached := make([]bool, len(sample))
	var wg conc.WaitGroup
	for i, u := range sample {
		wg.Go(func() { reached[i] = reaches(ctx, u) })
	}
	wg.Wait()
	check := reach.Check{Tried: len(sample)}
	for _, ok := range reached {
		if ok {
			check.Reached++
		}
	}
	return check
}

// connects reports whether an upstream accepts a connection and leaves it open.
func (p *paths) connects(ctx context.Context, u *fleet.Upstream) bool {
	return p.relay.connsTo(u).Verify(ctx, verifyOpen) == nil
}

// responds reports whether an upstream answers a request for its health, whatever it says.
func (p *paths) responds(ctx context.Context, u *fleet.Upstream) bool {
	path := p.healthPath(u.Pool)
	if path == "" {
		return p.connects(ctx, u)
	}
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
func (r *Relay) PathService() interface{ Serve(context.Context) error } { return r.paths }

// LostPools returns the pools to whose upstreams this daemon has lost its path.
func (r *Relay) LostPools() []string { return r.paths.tracker.LostPools() }

// HasPath reports whether this daemon has a path to the upstreams of a pool, or of any if there
// are several. A daemon that knows no upstreams has one.
func (r *Relay) HasPath() bool {
	lost := r.LostPools()
	if len(lost) == 0 {
		return true
	}
	for pool := range r.cfg.State.Snapshot().Pools {
		if !slices.Contains(lost, pool) {
			return true
		}
	}
	return false
}
