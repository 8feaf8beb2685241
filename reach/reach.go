// Package reach decides from failed and successful connections whether this process has lost its
// path to the upstreams of a pool. A single upstream that fails or falls silent is no lost path; a
// path is lost while hardly any upstream of the pool can be connected to. Whether the upstreams
// themselves are gone isn't decided here: then all processes come to the same result.
package reach

import (
	"slices"
	"sync"
	"time"
)

// Config holds the limits of a Tracker; zero values stand for the defaults.
type Config struct {
	// QuietLimit is the time without any answer of a pool, while requests are in flight there, from
	// which its path is checked.
	QuietLimit time.Duration
	// MinCheckInterval is the minimum time between two checks of a pool.
	MinCheckInterval time.Duration
	// LostCheckInterval is the time between two checks of a lost path.
	LostCheckInterval time.Duration
}

const (
	defaultQuietLimit        = 300 * time.Millisecond
	defaultMinCheckInterval  = 100 * time.Millisecond
	defaultLostCheckInterval = 200 * time.Millisecond
	// minReachedShare is the share of the upstreams of a check that must be reached.
	minReachedShare = 0.26
	// minGoodChecks is the number of successful checks in a row that end a loss. It doubles with each
	// loss within lossMemory, up to maxGoodChecks, so that a path that comes and goes isn't followed
	// each time.
	minGoodChecks = 2
	maxGoodChecks = 8
	maxDoublings  = 8
	lossMemory    = 20 * time.Second
)

// Change is what a check changed.
type Change uint8

// The changes of a path.
const (
	// Unchanged means that the path is as before.
	Unchanged Change = iota
	// Lost means that the path has just been found lost.
	Lost
	// Regained means that a lost path has just been found working again.
	Regained
)

// CheckKind says what a check of a path has to try.
type CheckKind uint8

// The kinds of checks.
const (
	// NoCheck means that none is due.
	NoCheck CheckKind = iota
	// CheckConnections connects to upstreams.
	CheckConnections
	// CheckResponses also awaits a response on each connection: what stands between may accept
	// connections although the path behind it is cut. Responses of busy upstreams take long, so this
	// is due only where the pool has not answered for a while, or its path is lost.
	CheckResponses
)

// Check is the result of a check of some upstreams of a pool.
type Check struct {
	Tried, Reached int
}

// good reports whether enough upstreams were reached.
func (c Check) good() bool { return float64(c.Reached) >= minReachedShare*float64(c.Tried) }

// Tracker tracks the paths to all pools. It is safe for concurrent use.
type Tracker struct {
	cfg Config
	now func() time.Time

	mu    sync.Mutex
	pools map[string]*path
}

// path is the state of the path to one pool.
type path struct {
	inFlight int
	// answered is when the pool last answered, or a request was sent while none was in flight.
	answered  time.Time
	suspected bool
	doubted   bool
	checking  bool
	checked   time.Time

	lost   bool
	lostAt time.Time
	// noneSince is when the first of the checks ended that have reached no upstream since, zero if the last
	// one has reached some.
	noneSince  time.Time
	losses     int
	goodChecks int
}

// NewTracker returns a tracker to which all paths work. now is the clock; nil means time.Now.
func NewTracker(cfg Config, now func() time.Time) *Tracker {
	setDefault(&cfg.QuietLimit, defaultQuietLimit)
	setDefault(&cfg.MinCheckInterval, defaultMinCheckInterval)
	setDefault(&cfg.LostCheckInterval, defaultLostCheckInterval)
	if now == nil {
		now = time.Now
	}
	return &Tracker{cfg: cfg, now: now, pools: make(map[string]*path)}
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// path returns the state of a pool. t.mu is held.
func (t *Tracker) path(pool string) *path {
	p := t.pools[pool]
	if p == nil {
		p = &path{}
		t.pools[pool] = p
	}
	return p
}

// Sent records that a request is sent to an upstream of a pool.
func (t *Tracker) Sent(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(pool)
	if p.inFlight == 0 {
		p.answered = t.now()
	}
	p.inFlight++
}

// Ended records that a request that was sent is no longer in flight.
func (t *Tracker) Ended(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(pool).inFlight--
}

// Answered records that an upstream of a pool has sent something.
func (t *Tracker) Answered(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(pool).answered = t.now()
}

// Failed records that a connection to an upstream of a pool could not be made, or broke.
func (t *Tracker) Failed(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(pool).suspected = true
}

// Doubt records that another process has lost its path to a pool: if the upstreams are silent, this one
// finds its path lost as well, also without requests of its own.
func (t *Tracker) Doubt(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(pool).doubted = true
}

// HasDue reports whether a check of any path is due now.
func (t *Tracker) HasDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, p := range t.pools {
		if !p.checking && t.due(p, now) != NoCheck {
			return true
		}
	}
	return false
}

// BeginCheck returns the check of the path to a pool that is due now. EndCheck must follow unless it
// is NoCheck.
func (t *Tracker) BeginCheck(pool string) CheckKind {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, now := t.path(pool), t.now()
	if p.checking {
		return NoCheck
	}
	kind := t.due(p, now)
	if kind != NoCheck {
		p.checking, p.suspected, p.doubted, p.checked = true, false, false, now
	}
	return kind
}

func (t *Tracker) due(p *path, now time.Time) CheckKind {
	since := now.Sub(p.checked)
	quiet := p.inFlight > 0 && now.Sub(p.answered) >= t.cfg.QuietLimit
	switch {
	case p.lost && since >= t.cfg.LostCheckInterval, !p.lost && quiet && since >= t.cfg.QuietLimit,
		!p.lost && p.doubted && since >= t.cfg.MinCheckInterval:
		return CheckResponses
	case !p.lost && p.suspected && since >= t.cfg.MinCheckInterval:
		return CheckConnections
	default:
		return NoCheck
	}
}

// EndCheck records the result of a check. One that tried nothing says nothing.
func (t *Tracker) EndCheck(pool string, c Check) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, now := t.path(pool), t.now()
	p.checking = false
	if c.Reached > 0 {
		p.noneSince = time.Time{}
	} else if c.Tried > 0 && p.noneSince.IsZero() {
		p.noneSince = now
	}
	switch {
	case c.Tried == 0:
		return Unchanged
	case !c.good():
		p.goodChecks = 0
		return p.lose(now)
	case p.lost:
		p.goodChecks++
		return p.regain()
	default:
		return Unchanged
	}
}

func (p *path) lose(now time.Time) Change {
	if p.lost {
		return Unchanged
	}
	if now.Sub(p.lostAt) > lossMemory {
		p.losses = 0
	}
	p.lost, p.lostAt = true, now
	p.losses++
	return Lost
}

func (p *path) regain() Change {
	if p.goodChecks < min(maxGoodChecks, minGoodChecks<<min(p.losses-1, maxDoublings)) {
		return Unchanged
	}
	p.lost, p.goodChecks = false, 0
	return Regained
}

// IsLost reports whether the path to a pool is lost.
func (t *Tracker) IsLost(pool string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	return p != nil && p.lost
}

// CutFor returns how long the path to a pool has been lost with no upstream reached at all, 0 if it works or
// some are reached.
func (t *Tracker) CutFor(pool string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil || !p.lost || p.noneSince.IsZero() {
		return 0
	}
	return max(1, t.now().Sub(p.noneSince))
}

// LostPools returns the pools whose paths are lost, ordered by name.
func (t *Tracker) LostPools() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lost []string
	for pool, p := range t.pools {
		if p.lost {
			lost = append(lost, pool)
		}
	}
	slices.Sort(lost)
	return lost
}

// Retain drops the state of pools that are no longer used, except where requests are in flight.
func (t *Tracker) Retain(used func(pool string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for pool, p := range t.pools {
		if p.inFlight == 0 && !p.checking && !used(pool) {
			delete(t.pools, pool)
		}
	}
}
