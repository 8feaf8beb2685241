// Package fleet holds what a daemon believes of its surroundings: the rules in
// force, the pools and their upstreams. Feeds change it; requests read an
// immutable snapshot.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"tamarackchute/rules/pathset"
	"tamarackchute/upstream"
)

// Upstream is one start of a server. A server that starts again is another upstream,
// under another ID or under the same one.
type Upstream struct {
	ID string
	// Started is when it was started, by its own clock; it tells the starts under one ID
	// apart. Zero if it doesn't say.
	Started    time.Time
	Pool       string
	Address    string
	DataCentre string
	// Slots is how many requests it runs at a time.
	Slots int
	// Role is empty for a plain service.
	Role upstream.Role
	// Draining says that it is about to stop and takes no new work.
	Draining bool
	// Revision never falls from one entry to the next of the same start.
	Revision uint64
}

// EqualExceptRevision reports whether two entries say the same of a server, whichever is newer.
func (u *Upstream) EqualExceptRevision(o *Upstream) bool {
	a, b := *u, *o
	a.Revision, b.Revision = 0, 0
	return a == b
}

// EngineSpec is what a pool's model engines have in common.
type EngineSpec struct {
	Slots int
	// KVTokens is the size of an engine's KV memory in tokens, KVTokenBytes
	// what a token takes when it is moved.
	KVTokens, KVTokenBytes int
	// LinkBytesPerSecond is the rate of KV transfers.
	LinkBytesPerSecond float64
	// HandoffRetention is how long an engine keeps a KV cache for another to fetch.
	HandoffRetention time.Duration
	// RoleSwitchTime is how long an engine is out of service when its role changes.
	RoleSwitchTime time.Duration
}

// Pool is a named group of upstreams that serve the same requests.
type Pool struct {
	Name       string
	HealthPath string
	MaxConns   int
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// Limits bound what a caller may send.
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
	// Document is the configuration as it was published, for peers that can't
	// reach the store.
	Document []byte
}

// Snapshot is what is believed at one moment. It never changes.
type Snapshot struct {
	// Config is nil until the first version is known.
	Config *Config
	// Upstreams by ID.
	Upstreams map[string]*Upstream
	// Pools lists the upstreams of each pool, ordered by ID.
	Pools map[string][]*Upstream
}

// SameIncarnation reports whether two descriptions are of one start of a server.
func (u *Upstream) SameIncarnation(o *Upstream) bool {
	return u.ID == o.ID && u.Started.Equal(o.Started)
}

// State holds the current snapshot.
type State struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	watch   []func(*Snapshot)
}

// NewState returns a state that knows nothing.
func NewState() *State {
	s := &State{}
	s.current.Store(&Snapshot{})
	return s
}

// Snapshot returns what is believed now.
func (s *State) Snapshot() *Snapshot { return s.current.Load() }

// Watch has f called after each change, in order. It must be set up before the
// first change; f must not change the state.
func (s *State) Watch(f func(*Snapshot)) { s.watch = append(s.watch, f) }

// ApplyConfig puts a version into force unless the one in force is as new: a
// late or repeated message must never bring an older version back.
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

// SetUpstreams replaces the list of upstreams.
func (s *State) SetUpstreams(list map[string]*Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current.Load()
	next.Upstreams = list
	next.Pools = byPool(list)
	s.swap(&next)
}

func (s *State) swap(next *Snapshot) {
	s.current.Store(next)
	for _, f := range s.watch {
		f(next)
	}
}
