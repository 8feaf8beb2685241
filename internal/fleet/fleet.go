// Package fleet holds a daemon's view of the site: the rules in force, the pools and
// their upstreams. State keeps the current view; requests use an immutable snapshot of it.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"tamarackchute/apikey"
	"tamarackchute/rules/pathset"
	"tamarackchute/upstream"
)

// Upstream is one incarnation of a server. A server that restarts is another upstream,
// under another ID or under the same one.
type Upstream struct {
	ID string
	// Started is the start time by the server's clock, which distinguishes incarnations
	// under one ID. Zero if unknown.
	Started    time.Time
	Pool       string
	Address    string
	DataCentre string
	// Version is that of its software. What two versions write to a stream doesn't fit together.
	Version string
	// Slots is how many requests it runs concurrently.
	Slots int
	// Role is empty for a plain service.
	Role upstream.Role
	// Draining says that it is about to stop and takes no new work.
	Draining bool
	// Spot says that the platform may reclaim it.
	Spot bool
	// Revision never decreases between successive entries of one incarnation.
	Revision uint64
}

// EqualExceptRevision reports whether two entries are equal but for their revisions.
func (u *Upstream) EqualExceptRevision(o *Upstream) bool {
	a, b := *u, *o
	a.Revision, b.Revision = 0, 0
	return a == b
}

// EngineSpec holds the properties that the model engines of a pool share.
type EngineSpec struct {
	Slots int
	// KVTokens is the size of an engine's KV memory in tokens, KVTokenBytes the size of
	// a token's KV cache in a transfer.
	KVTokens, KVTokenBytes int
	// LinkBytesPerSecond is the rate of KV transfers.
	LinkBytesPerSecond float64
	// HandoffRetention is how long an engine holds a KV cache for another to transfer.
	HandoffRetention time.Duration
	// RoleSwitchTime is how long an engine is out of service while its role changes.
	RoleSwitchTime time.Duration
}

// Pool is a named group of upstreams that serve the same requests.
type Pool struct {
	Name       string
	HealthPath string
	MaxConns   int
	// Engine is nil for plain services.
	Engine *EngineSpec
	// Scaling is nil if the number of the pool's upstreams is fixed.
	Scaling *Scaling
}

// Scaling holds what the platform offers to change the number of a pool's upstreams.
type Scaling struct {
	// Min and Max limit the number in each data centre, both kinds together.
	Min, Max int
	// BootTime is the time from an order until a new upstream serves.
	BootTime time.Duration
	// Prices are the prices of a regular upstream by data centre, SpotRatio the price of a spot
	// upstream as a share of that; 0 if there are none.
	Prices    map[string]float64
	SpotRatio float64
}

// Limits holds the limits on what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Rules   *pathset.Set
	Pools   map[string]*Pool
	Limits  Limits
	// Keys are the organisations and their API keys; nil if no rule needs a key.
	Keys *apikey.Set
	// Document is the published document, which peers that can't reach the store get
	// from this daemon.
	Document []byte
}

// Snapshot is the view at one moment. It is immutable.
type Snapshot struct {
	// Config is nil until the first version is received.
	Config *Config
	// Upstreams by ID.
	Upstreams map[string]*Upstream
	// Pools lists the upstreams of each pool, ordered by ID.
	Pools map[string][]*Upstream
}

// SameIncarnation reports whether two entries describe the same incarnation of a server.
func (u *Upstream) SameIncarnation(o *Upstream) bool {
	return u.ID == o.ID && u.Started.Equal(o.Started)
}

// State holds the current snapshot.
type State struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	watch   []func(*Snapshot)
	// leaving are the incarnations that have said themselves that they are draining.
	leaving leavingSet
}

// NewState returns a state without configuration and upstreams.
func NewState() *State {
	s := &State{leaving: make(leavingSet)}
	s.current.Store(&Snapshot{})
	return s
}

// Snapshot returns the current snapshot.
func (s *State) Snapshot() *Snapshot { return s.current.Load() }

// Watch registers f to be called after each change, in the order of the changes. It must
// be called before the first change; f must not change the state.
func (s *State) Watch(f func(*Snapshot)) { s.watch = append(s.watch, f) }

// ApplyConfig makes c the current version and returns true, unless the current one is as
// new: a delayed or repeated message must never bring an older version back.
func (s *State) ApplyConfig(c *Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if old.Config != nil && c.Version <= old.Config.Version {
		return false
	}
	next := *old
	next.Config = c
	s.swap(&next)
	return true
}

// SetUpstreams replaces the list of upstreams, which must not be changed afterwards. Those
// that have said themselves that they are draining stay so, whatever their entries say.
func (s *State) SetUpstreams(list map[string]*Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving.forget(s.current.Load().Upstreams, list, time.Now())
	s.setUpstreams(list)
}

// setUpstreams makes a list the current one. The caller holds s.mu.
func (s *State) setUpstreams(list map[string]*Upstream) {
	list = s.leaving.apply(list)
	next := *s.current.Load()
	next.Upstreams = list
	next.Pools = byPool(list)
	s.swap(&next)
}

// MarkDraining records that an incarnation has said itself that it is draining: its entry,
// which is older, can't take that back. It returns false if that was known.
func (s *State) MarkDraining(u *Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving.add(u, time.Now()) {
		return false
	}
	current := s.current.Load().Upstreams
	listed := current[u.ID]
	if listed == nil || !listed.SameIncarnation(u) {
		return true
	}
	if listed.Draining {
		return false
	}
	s.setUpstreams(current)
	return true
}

// swap makes next the current snapshot and calls the watchers. The caller holds s.mu.
func (s *State) swap(next *Snapshot) {
	s.current.Store(next)
	for _, f := range s.watch {
		f(next)
	}
}
