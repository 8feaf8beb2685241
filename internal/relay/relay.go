package relay

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"tamarackchute/apikey"
	"tamarackchute/freshness"
	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/machine"
	"tamarackchute/internal/reqtarget"
	"tamarackchute/placement"
)

// Config holds the settings and dependencies of a Relay.
type Config struct {
	// Instance is the daemon's name.
	Instance    string
	DataCentre  string
	Dialect     Dialect
	State       *fleet.State
	Tracker     *placement.Tracker
	RetryBudget *RetryBudget
	Logger      *slog.Logger
	// Refresh updates the tracker with other daemons' work before a request is
	// placed; it must return within milliseconds. Nil does nothing.
	Refresh func(context.Context)
	// KeysUsable reports whether the API keys of the configuration in force may be used now. Nil
	// means that they always may.
	KeysUsable func() bool
	// Configuration says how current the configuration in force is; nil if it always is.
	Configuration Configuration
	// OnBegun is called once for each request of an organisation that has begun to run at an
	// upstream, with the time since then; nil does nothing.
	OnBegun func(organisation string, ago time.Duration)
	// Dial opens connections to upstreams; nil means TCP connections.
	Dial exchange.Dialer
	// ForwardPeers returns the daemons to which a request for a pool can be forwarded, the preferred
	// ones first; nil forwards none. OnPathChange is called when a path to upstreams is lost or works again.
	ForwardPeers func(pool string) []ForwardPeer
	// LeavingPeers returns those that take no new requests and have a path to a pool: until their exit they go on with
	// streams. nil knows none.
	LeavingPeers func(pool string) []ForwardPeer
	OnPathChange func()
	// PeerSilent reports whether nothing was heard lately of a daemon to which requests are forwarded;
	// nil means that it isn't known.
	PeerSilent func(instance string) bool
	// PeerPaths returns how many other daemons have told lately that they have a path to a pool, and how many
	// that they have lost it; nil means that none has told.
	PeerPaths func(pool string) (with, without int)
	// OnReplaced is called for an upstream whose address now belongs to another
	// incarnation; nil does nothing.
	OnReplaced func(id string)
	// Limits keeps the limits that upstreams name; nil keeps none.
	Limits *Limits
	// Crashes refuses requests that have crashed upstreams; nil refuses none.
	Crashes CrashDetector
	// Versions knows at which software version streams began; nil if upstreams have one only.
	Versions StreamVersions
	// Metrics receives counters and histograms; nil drops them.
	Metrics tally.Scope
	// RequestBodies and ResponseBodies limit what bodies hold in memory together; nil means those of a machine whose memory
	// isn't known.
	RequestBodies, ResponseBodies *bodylimit.Limit
	// MinRetryAfter is the retry delay that error responses name; they name a shorter one
	// if the caller's remaining time is too short for it.
	MinRetryAfter time.Duration
}

// Configuration knows how current the configuration in force is.
type Configuration interface {
	Standing() freshness.Standing
	// RecordNamed records that another daemon has named a version.
	RecordNamed(version uint64, by string)
}

// Relay forwards callers' requests to upstreams. It is an http.Handler.
type Relay struct {
	cfg      Config
	active   atomic.Int64
	metrics  *metrics
	timeouts timeoutStats
	demand   demandMeter
	paths    *paths
	outages  *outages
	silences silences
	// responseTimes are those of requests that aren't placed by a prediction.
	responseTimes responseTimes
	// forwarder passes requests on to other daemons.
	forwarder *forwarder
	// newestConfig is the newest version of the configuration by which another daemon has decided a
	// request of this one's callers: none may be decided by an older one any more.
	newestConfig atomic.Uint64
	// shutdown is set once the process begins to shut down.
	shutdown atomic.Pointer[shutdown]
	// ending ends right before the process exits; endRequests ends it.
	ending      context.Context
	endRequests context.CancelFunc

	mu sync.Mutex
	// queues holds the requests that wait for capacity, by rule, streamQueues the streams that callers take up, by pool.
	queues, streamQueues map[string]*queue
	conns                map[string]upstreamConns
	// config is the configuration by which unused rules were last dropped.
	config *fleet.Config
}

// New returns a relay. It watches the state for changes, so it must be called before
// the state's first change.
func New(cfg Config) *Relay {
	shares := machine.SharesOf(0, 0)
	if cfg.RequestBodies == nil {
		cfg.RequestBodies = bodylimit.NewOf(shares.SmallBodies, shares.LargeBodies)
	}
	if cfg.ResponseBodies == nil {
		cfg.ResponseBodies = bodylimit.NewOf(shares.SmallResponses, shares.LargeResponses)
	}
	r := &Relay{
		cfg: cfg, metrics: newMetrics(cfg.Metrics), queues: make(map[string]*queue), streamQueues: make(map[string]*queue), conns: make(map[string]upstreamConns),
		forwarder: newForwarder(cfg.ResponseBodies),
	}
	r.ending, r.endRequests = context.WithCancel(context.Background())
	r.paths = newPaths(r)
	r.outages = newOutages(r)
	if cfg.Limits != nil {
		cfg.Tracker.SetLimits(func(id string, started time.Time) time.Duration {
			return cfg.Limits.Limiter.Wait(limitKey(id, started))
		})
	}
	cfg.State.Watch(r.update)
	return r
}

// Active returns the number of requests in progress.
func (r *Relay) Active() int64 { return r.active.Load() }

// HasWaiting reports whether requests are queued for an upstream.
func (r *Relay) HasWaiting() bool {
	return slices.ContainsFunc(r.allQueues(), func(q *queue) bool { return !q.empty() })
}

// allQueues returns the queues of taken-up streams, then those of other requests.
func (r *Relay) allQueues() []*queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.AppendSeq(slices.Collect(maps.Values(r.streamQueues)), maps.Values(r.queues))
}

// WakeWaiting lets queued requests try again, because an upstream may have free capacity. Requests that
// were sent to an upstream which is silent come first.
func (r *Relay) WakeWaiting() {
	r.silences.wake()
	for _, q := range r.allQueues() {
		q.wake()
	}
}

func (r *Relay) queue(rule string) *queue { return r.queueIn(r.queues, rule) }

func (r *Relay) streamQueue(pool string) *queue { return r.queueIn(r.streamQueues, pool) }

func (r *Relay) queueIn(queues map[string]*queue, name string) *queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := queues[name]
	if q == nil {
		q = &queue{}
		queues[name] = q
	}
	return q
}

// update applies a new snapshot: it syncs the tracker, closes the connections to
// upstreams that are gone and drops what was kept for removed rules.
func (r *Relay) update(s *fleet.Snapshot) {
	members := make([]placement.Member, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		members = append(members, placementMember(s, u))
	}
	r.cfg.Tracker.Sync(members)
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Config != r.config {
		r.config = s.Config
		r.dropUnused(s.Config)
	}
	for id, c := range r.conns {
		if u := s.Upstreams[id]; u == nil || !u.SameIncarnation(c.to) {
			c.pool.Close()
			delete(r.conns, id)
		}
	}
}

// dropUnused drops the state of rules and pools that a configuration no longer has. The
// caller holds r.mu.
func (r *Relay) dropUnused(c *fleet.Config) {
	inForce := make(map[string]bool)
	for _, rule := range c.Rules.Rules() {
		inForce[rule.Name] = true
	}
	r.timeouts.retain(inForce)
	r.responseTimes.retain(func(k responseKind) bool { return inForce[k.rule] })
	maps.DeleteFunc(r.queues, func(rule string, q *queue) bool { return !inForce[rule] && q.empty() })
	maps.DeleteFunc(r.streamQueues, func(pool string, q *queue) bool { return c.Pools[pool] == nil && q.empty() })
}

func placementMember(s *fleet.Snapshot, u *fleet.Upstream) placement.Member {
	m := placement.Member{ID: u.ID, DataCentre: u.DataCentre, Started: u.Started, Pool: u.Pool, Role: u.Role, Slots: u.Slots, Draining: u.Draining}
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

// connsTo returns the connections to an upstream. Those to an earlier incarnation are
// closed.
func (r *Relay) connsTo(u *fleet.Upstream) *exchange.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, known := r.conns[u.ID]
	if !known || !u.SameIncarnation(c.to) {
		if known {
			c.pool.Close()
		}
		observe := func(response exchange.ObservedResponse) {
			r.paths.Tracker.Answered(u.Pool)
			r.recordHeard(r.cfg.Tracker.Heard(u.ID), u, "")
			r.Observe(u, response)
		}
		options := exchange.Options{Dial: r.cfg.Dial, OnMismatch: r.mismatchRecorder(u), OnResponse: observe, Bodies: r.cfg.ResponseBodies}
		c = upstreamConns{to: u, pool: exchange.NewPool(u.Address, options)}
		r.conns[u.ID] = c
	}
	return c.pool
}

// upstreamConns holds the connections to one incarnation of an upstream.
type upstreamConns struct {
	to   *fleet.Upstream
	pool *exchange.Pool
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, in *http.Request) { r.serve(w, in, nil) }

// serve serves a request of a caller, or one that another daemon has forwarded.
func (r *Relay) serve(w http.ResponseWriter, in *http.Request, forwarded *forwardedCall) {
	r.active.Add(1)
	defer r.active.Add(-1)
	defer r.logPanic(in)
	if r.shutdown.Load() != nil || slices.Contains(in.TransferEncoding, "chunked") {
		// Guards against request smuggling: a request with both Content-Length and
		// chunked encoding can hide another one after its body. net/http uses the
		// chunks; the rest of the connection must not be parsed as a request.
		w.Header().Set("Connection", "close")
	}
	share := r.cfg.RequestBodies.Share()
	defer share.Release()
	c, f := r.accept(w, in, forwarded, share)
	if f != nil {
		r.writeFailure(w, in, c, f)
		return
	}
	c.serve()
}

// logPanic logs a panic of a request's handler before net/http ends it, which closes the connection.
func (r *Relay) logPanic(in *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		r.metrics.recordPanic()
		r.cfg.Logger.Error("panic", "request", in.Header.Get(r.cfg.Dialect.RequestIDHeader()), "cause", cause, "stack", string(debug.Stack()))
	}
	panic(cause)
}

// accept parses a request, matches its rule and reads its body.
func (r *Relay) accept(w http.ResponseWriter, in *http.Request, forwarded *forwardedCall, share *bodylimit.Share) (*call, *failure) {
	c := &call{relay: r, out: w, in: in, target: reqtarget.Parse(in.RequestURI), arrived: time.Now(), log: r.cfg.Logger, forwarded: forwarded, bodyShare: share}
	var err error
	if c.Call, err = r.cfg.Dialect.ParseCall(in); err != nil {
		return c, newFailure(http.StatusBadRequest, reasonBadHeaders, err.Error())
	}
	s := r.cfg.State.Snapshot()
	if s.Config == nil {
		return c, newFailure(http.StatusServiceUnavailable, reasonNoConfig, "no configuration is known yet").withRetryAfter(r.cfg.MinRetryAfter)
	}
	c.version = s.Config.Version
	if forwarded != nil {
		r.recordNamed(forwarded.ConfigVersion, forwarded.From)
	}
	if f := c.checkForwarded(s.Config); f != nil {
		return c, f
	}
	rule, ok := s.Config.Rules.Match(reqtarget.Host(in.Host), c.target.Path)
	if !ok {
		return c, newFailure(http.StatusNotFound, reasonNoRule, "no rule matches")
	}
	c.rule = rule
	c.pool = rule.Pool()
	c.key, c.keyErr = apikey.FromHeader(in.Header[apikey.Header])
	if f := c.identify(s.Config); f != nil {
		return c, f
	}
	return c, c.readBody(s.Config.Limits)
}
