package relay

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
)

// Config sets a Relay.
type Config struct {
	DataCentre string
	Dialect    Dialect
	State      *fleet.State
	Books      *placement.Tracker
	Budget     *Budget
	Logger     *slog.Logger
	// Refresh brings the books up to date with other daemons' work before a request is
	// placed; it takes some milliseconds at most. Nil does nothing.
	Refresh func(context.Context)
	// Replaced is told of an upstream whose address belongs to another one; nil
	// tells nobody.
	Replaced func(id string)
	// Metrics takes counters and histograms; nil drops them.
	Metrics tally.Scope
	// MinRetryAfter is the least time to come back that a refusal names.
	MinRetryAfter time.Duration
}

// Relay serves callers. It is an http.Handler.
type Relay struct {
	cfg      Config
	active   atomic.Int64
	metrics  *metrics
	patience patienceBook
	demand   demandMeter
	// leave is set once the process is to end.
	leave atomic.Pointer[leave]

	mu     sync.Mutex
	queues map[string]*queue
	conns  map[string]connections
	// followed is the configuration that queues were last looked at for.
	followed *fleet.Config
}

// New returns a relay. It follows the state's upstreams from then on, so it must
// be made before the state's first change.
func New(cfg Config) *Relay {
	r := &Relay{cfg: cfg, metrics: newMetrics(cfg.Metrics), queues: make(map[string]*queue), conns: make(map[string]connections)}
	cfg.State.Watch(r.follow)
	return r
}

// Active returns the number of requests in progress.
func (r *Relay) Active() int64 { return r.active.Load() }

// Waiting reports whether requests wait for a place.
func (r *Relay) Waiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.queues {
		if !q.empty() {
			return true
		}
	}
	return false
}

// Changed wakes the requests that wait: a place may have come free elsewhere.
func (r *Relay) Changed() {
	r.mu.Lock()
	queues := make([]*queue, 0, len(r.queues))
	for _, q := range r.queues {
		queues = append(queues, q)
	}
	r.mu.Unlock()
	for _, q := range queues {
		q.wake()
	}
}

func (r *Relay) queue(rule string) *queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[rule]
	if q == nil {
		q = &queue{}
		r.queues[rule] = q
	}
	return q
}

// follow takes over a new list of upstreams: books for the new ones, and no
// kept connections to those that are gone.
func (r *Relay) follow(s *fleet.Snapshot) {
	members := make([]placement.Member, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		members = append(members, member(s, u))
	}
	r.cfg.Books.Sync(members)
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Config != r.followed {
		r.followed = s.Config
		r.forgetRules(s.Config)
	}
	for id, c := range r.conns {
		if u := s.Upstreams[id]; u == nil || !u.SameStart(c.to) {
			c.pool.Close()
			delete(r.conns, id)
		}
	}
}

// forgetRules drops what was kept for rules that aren't in force any more. r.mu is
// held.
func (r *Relay) forgetRules(c *fleet.Config) {
	inForce := make(map[string]bool)
	for _, rule := range c.Rules.Rules() {
		inForce[rule.Name] = true
	}
	r.patience.keep(inForce)
	for name, q := range r.queues {
		if !inForce[name] && q.empty() {
			delete(r.queues, name)
		}
	}
}

func member(s *fleet.Snapshot, u *fleet.Upstream) placement.Member {
	m := placement.Member{ID: u.ID, DataCentre: u.DataCentre, Started: u.Started, Pool: u.Pool, Role: u.Role, Slots: u.Slots, Draining: u.Leaving}
	if s.Config == nil {
		return m
	}
	if p := s.Config.Pools[u.Pool]; p != nil && p.Engine != nil {
		m.KVTokens = p.Engine.KVTokens
		if rate := p.Engine.LinkBytesPerSecond; rate > 0 {
			m.TransferMillisPerToken = float64(p.Engine.KVTokenBytes) / rate * 1000
		}
	}
	return m
}

func (r *Relay) connections(u *fleet.Upstream) *exchange.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, known := r.conns[u.ID]
	if !known || !u.SameStart(c.to) {
		if known {
			c.pool.Close()
		}
		c = connections{to: u, pool: exchange.NewPool(u.Address, exchange.Options{})}
		r.conns[u.ID] = c
	}
	return c.pool
}

// connections are those to one start of an upstream.
type connections struct {
	to   *fleet.Upstream
	pool *exchange.Pool
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	if r.leave.Load() != nil || slices.Contains(in.TransferEncoding, "chunked") {
		// A request with both a length and chunks can hide another one behind
		// its body. The standard library follows the chunks; what is left of the
		// connection must not be read as a request.
		w.Header().Set("Connection", "close")
	}
	c, f := r.accept(w, in)
	if f != nil {
		r.refuse(w, in, c, f)
		return
	}
	c.serve()
}

// accept reads a request and finds its rule.
func (r *Relay) accept(w http.ResponseWriter, in *http.Request) (*call, *failure) {
	c := &call{relay: r, out: w, in: in, arrived: time.Now(), log: r.cfg.Logger}
	var err error
	if c.Call, err = r.cfg.Dialect.ParseCall(in); err != nil {
		return c, refused(http.StatusBadRequest, reasonBadHead, err.Error())
	}
	s := r.cfg.State.Snapshot()
	if s.Config == nil {
		return c, refused(http.StatusServiceUnavailable, reasonNoConfig, "no configuration is known yet").after(r.cfg.MinRetryAfter)
	}
	c.version = s.Config.Version
	rule, ok := s.Config.Rules.Match(hostOf(in.Host), pathOf(in.RequestURI))
	if !ok {
		return c, refused(http.StatusNotFound, reasonNoRule, "no rule matches")
	}
	c.rule = rule
	c.pool = rule.Pool()
	return c, c.readBody(s.Config.Limits)
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pathOf returns the path of a request target as it was sent: decoding it could
// make two different paths equal.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if i := strings.Index(path, "://"); i > 0 {
		if j := strings.IndexByte(path[i+3:], '/'); j >= 0 {
			return path[i+3+j:]
		}
	}
	return path
}
