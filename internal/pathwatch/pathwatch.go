// Package pathwatch checks this process's paths to upstreams whenever reach asks for it.
package pathwatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/internal/patience"
	"tamarackchute/reach"
)

const (
	// interval is how often paths are looked at without a failed connection.
	interval = 100 * time.Millisecond
	// maxUpstreams is the number of upstreams that a check tries.
	maxUpstreams = 8
	// checkTimeout limits the time of a check. Within a site a connection takes a few milliseconds; an
	// upstream that takes longer isn't reached in time for most requests.
	checkTimeout = 250 * time.Millisecond
)

// Config holds the dependencies of a Watcher.
type Config struct {
	// Pools returns the names of the upstreams in use, by pool.
	Pools func() map[string][]string
	// Reaches tries to reach an upstream.
	Reaches func(ctx context.Context, upstream string, kind reach.CheckKind) bool
	// OnCheck is called after each check, OnChange before that if the check found the path lost or
	// working again. Either may be nil.
	OnCheck  func(pool string)
	OnChange func(pool string, change reach.Change, result reach.Check)
}

// Watcher finds out which paths are lost. It is a suture.Service and safe for concurrent use.
type Watcher struct {
	cfg Config
	// Tracker decides.
	Tracker *reach.Tracker
	// failed gets a token when a connection has failed, or a path is doubted.
	failed chan struct{}
	checks conc.WaitGroup
}

// New returns a watcher.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, Tracker: reach.NewTracker(reach.Config{}, nil), failed: make(chan struct{}, 1)}
}

// String implements fmt.Stringer; the supervisor logs it.
func (w *Watcher) String() string { return "paths to upstreams" }

// Serve implements suture.Service.
func (w *Watcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer w.checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-w.failed:
		}
		if !w.Tracker.HasDue() {
			continue // a list of all upstreams is costly in a large site
		}
		pools := w.cfg.Pools()
		w.Tracker.Retain(func(pool string) bool { return len(pools[pool]) > 0 })
		for pool, upstreams := range pools {
			if kind := w.Tracker.BeginCheck(pool); kind != reach.NoCheck {
				w.checks.Go(func() { w.check(ctx, pool, upstreams, kind) })
			}
		}
	}
}

// Failed records that a connection to a pool's upstream could not be made, or broke.
func (w *Watcher) Failed(pool string) {
	w.Tracker.Failed(pool)
	select {
	case w.failed <- struct{}{}:
	default:
	}
}

// Doubt records that another process has lost its path to a pool. This one checks its own.
func (w *Watcher) Doubt(pool string) {
	w.Tracker.Doubt(pool)
	select {
	case w.failed <- struct{}{}:
	default:
	}
}

// IsLost reports whether the path to a pool is lost.
func (w *Watcher) IsLost(pool string) bool { return w.Tracker.IsLost(pool) }

// HasPath reports whether there is a path to the upstreams of any pool. A process that knows no
// upstreams has one.
func (w *Watcher) HasPath() bool {
	lost := w.Tracker.LostPools()
	if len(lost) == 0 {
		return true
	}
	for pool := range w.cfg.Pools() {
		if !slices.Contains(lost, pool) {
			return true
		}
	}
	return false
}

func (w *Watcher) check(ctx context.Context, pool string, upstreams []string, kind reach.CheckKind) {
	result := w.try(ctx, upstreams, kind)
	change := w.Tracker.EndCheck(pool, result)
	if change != reach.Unchanged && w.cfg.OnChange != nil {
		w.cfg.OnChange(pool, change, result)
	}
	if change == reach.Lost {
		// What has cut off one pool may have cut off the others.
		for other := range w.cfg.Pools() {
			if other != pool {
				w.Failed(other)
			}
		}
	}
	if w.cfg.OnCheck != nil {
		w.cfg.OnCheck(pool)
	}
}

// try tries to reach some of the given upstreams.
func (w *Watcher) try(ctx context.Context, upstreams []string, kind reach.CheckKind) reach.Check {
	sample := slices.Clone(upstreams)
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	sample = sample[:min(len(sample), maxUpstreams)]
	ctx, cancel := patience.WithTimeout(ctx, checkTimeout)
	defer cancel()
	results := make(chan bool, len(sample))
	for _, upstream := range sample {
		go func() { results <- w.cfg.Reaches(ctx, upstream, kind) }()
	}
	check := reach.Check{Tried: len(sample)}
	for range sample {
		select {
		case <-ctx.Done():
			return check // a call may not heed the context
		case ok := <-results:
			if ok {
				check.Reached++
			}
		}
	}
	return check
}
