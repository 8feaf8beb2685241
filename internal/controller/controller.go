package controller

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"tamarackchute/infra"
	"tamarackchute/internal/settings"
	"tamarackchute/internal/telemetry"
	"tamarackchute/internal/wire"
	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/orders"
	"tamarackchute/rolepolicy"
	"tamarackchute/upstream"
)

// Times of the whole controller.
const (
	// rebind is the time between two tries to take the peers' address.
	rebind = 250 * time.Millisecond
	// stopTimeout bounds the release of the leases at the end.
	stopTimeout = 5 * time.Second
	// claimStagger sets apart the claims of a data centre's instances.
	claimStagger = 50 * time.Millisecond
	// drainChanges is how many times the length of a change a drain may take.
	drainChanges = 30
	// An engine's state is read readsPerChange times in the length of a
	// change, within bounds.
	readsPerChange = 8
	fastestRead    = 50 * time.Millisecond
	slowestRead    = 500 * time.Millisecond
	// orderChanges is how many times the length of a change an order may take.
	orderChanges = 10
)

// Engine is both sides of an engine that a controller needs.
type Engine interface {
	upstream.Controlled
	LoadReporter
}

// Config is what a controller works with.
type Config struct {
	Deployment *settings.Deployment
	// Instance is the name of the instance that it runs on.
	Instance string
	Log      infra.Log
	List     infra.InstanceList
	Weights  infra.WeightStore
	// Engines holds an adapter for each engine of the deployment.
	Engines map[string]Engine
	Secret  []byte
	// ServerTLS and ClientTLS are nil if TLS is off.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Metrics   *telemetry.Metrics
	Logger    *slog.Logger
}

// Controller is one running chute-controller.
type Controller struct {
	cfg         Config
	self        settings.Instance
	incarnation string
	log         *slog.Logger

	journal    *journal.Journal
	leases     *lease.View
	changes    *orders.View
	presence   *Presence
	statuses   *Statuses
	loads      *Loads
	keepers    map[string]*lease.Keeper
	executors  map[string]*Executor
	peers      *wire.Server
	trail      *auditTrail
	leadership *Leadership
}

// New returns a controller; Run runs it.
func New(cfg Config) (*Controller, error) {
	self, ok := cfg.Deployment.Instance(cfg.Instance)
	if !ok {
		return nil, eris.Errorf("the settings name no instance %q", cfg.Instance)
	}
	c := &Controller{
		cfg: cfg, self: self, incarnation: uuid.NewString(), log: cfg.Logger,
		leases: lease.NewView(), statuses: NewStatuses(),
		keepers: map[string]*lease.Keeper{}, executors: map[string]*Executor{},
	}
	c.changes = orders.NewView(c.leases)
	c.journal = journal.New(cfg.Log, journal.Config{
		Writer: c.writer(), Retention: seconds(cfg.Deployment.Platform.RetentionSeconds),
		Linger: commitLinger, Logger: cfg.Logger,
	})
	c.journal.Register(journal.KindLease, c.leases)
	c.journal.Register(journal.KindOrder, c.changes)
	c.presence = NewPresence(cfg.List, seconds(cfg.Deployment.Lease.TermSeconds), cfg.Logger)
	wireCfg := wire.Config{
		Name: cfg.Instance + "/controller", Secret: cfg.Secret,
		ClientTLS: cfg.ClientTLS, ServerTLS: cfg.ServerTLS,
	}
	c.peers = wire.NewServer(wireCfg, self.ControllerPeers, c.statuses, cfg.Logger)
	c.trail = newTrail(c.journal, cfg.Instance, cfg.Metrics.Scope, cfg.Logger)
	c.build()
	c.leadership = &Leadership{
		instance: cfg.Instance, incarnation: c.incarnation,
		scopes: c.scopeNames(), view: c.leases, trail: c.trail,
	}
	return c, nil
}

// commitLinger lets the renewals of one process's scopes share an append.
const commitLinger = 2 * time.Millisecond

func (c *Controller) writer() string {
	return fmt.Sprintf("%s/controller/%s", c.cfg.Instance, c.incarnation)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ScopeOf names the scope of an engine. Engines that don't check fencing
// numbers have a scope of their own, which never passes on by time alone, so
// that the others pass on within seconds.
func ScopeOf(u settings.Upstream) string {
	if u.Fencing == settings.FencingChecked {
		return u.DataCentre + "/fenced"
	}
	return u.DataCentre + "/unfenced"
}

// build makes the parts that depend on the engines.
func (c *Controller) build() {
	reporters := map[string]LoadReporter{}
	for _, u := range c.allEngines() {
		reporters[u.Name] = c.cfg.Engines[u.Name]
		if u.DataCentre == c.self.DataCentre {
			c.executors[u.Name] = c.newExecutor(u)
		}
	}
	c.loads = NewLoads(reporters, c.leading, pace(c.cfg.Deployment.Roles))
}

func (c *Controller) newExecutor(u settings.Upstream) *Executor {
	return &Executor{
		engine: u.Name, checked: u.Fencing == settings.FencingChecked,
		control: c.cfg.Engines[u.Name], keeper: c.keeper(u),
		journal: c.journal, writer: c.writer(), view: c.changes,
		presence: c.presence, statuses: c.statuses, limits: c.limits(),
		trail: c.trail, log: c.log.With("engine", u.Name),
	}
}

func (c *Controller) limits() orders.Limits {
	change := seconds(c.cfg.Deployment.Roles.ChangeSeconds)
	read := min(slowestRead, max(fastestRead, change/readsPerChange))
	return orders.Limits{
		Drain: drainChanges * change, Order: orderChanges * change,
		Settle: seconds(c.cfg.Deployment.Lease.SettleSeconds),
		Read:   read, Fresh: 2 * read, Retry: read,
	}
}

// keeper returns the keeper of an engine's scope.
func (c *Controller) keeper(u settings.Upstream) *lease.Keeper {
	scope := ScopeOf(u)
	if k, ok := c.keepers[scope]; ok {
		return k
	}
	l := c.cfg.Deployment.Lease
	k := lease.NewKeeper(lease.KeeperConfig{
		Config: lease.Config{
			Scope: scope, Instance: c.cfg.Instance, Incarnation: c.incarnation,
			Term: seconds(l.TermSeconds), Renew: seconds(l.RenewSeconds),
			Drift: l.DriftFraction, Unfenced: u.Fencing != settings.FencingChecked,
			Settle: seconds(l.SettleSeconds), ClaimDelay: c.stagger(),
			Retention: seconds(c.cfg.Deployment.Platform.RetentionSeconds),
		},
		Writer: c.writer(), AddressBound: true,
	}, c.journal, c.leases, c.presence, c.log)
	c.keepers[scope] = k
	return k
}

// stagger is this instance's place among those of its data centre, in time.
func (c *Controller) stagger() time.Duration {
	var before time.Duration
	for _, in := range c.cfg.Deployment.Instances {
		if in.DataCentre == c.self.DataCentre && in.Name < c.self.Name {
			before += claimStagger
		}
	}
	return before
}

// leading reports whether this process leads any scope now.
func (c *Controller) leading() bool {
	for _, k := range c.keepers {
		if _, ok := k.Authority(); ok {
			return true
		}
	}
	return false
}

// Run works until the context ends. Then it finishes the steps in hand,
// releases its leases and returns nil. Its error means that the controller
// could not go on.
//
// Before anything else it takes the peers' address, which the kernel gives to
// one living process only: a former controller of the instance is dead from
// then on. The address is kept until the very end.
func (c *Controller) Run(ctx context.Context) error {
	if !c.bind(ctx) {
		return nil
	}
	base, stopBase := context.WithCancel(context.Background())
	defer stopBase()
	baseDone := c.baseTree().ServeBackground(base)

	work, stopWork := context.WithCancel(ctx)
	defer stopWork()
	workDone := c.workTree().ServeBackground(work)
	select {
	case <-ctx.Done():
	case err := <-baseDone:
		return eris.Wrap(err, "the peers' address was lost")
	}
	<-workDone
	c.release()
	stopBase()
	<-baseDone
	return nil
}

func (c *Controller) bind(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := c.peers.Bind()
		if err == nil {
			return true
		}
		c.log.Warn("waiting for the peers' address", "error", err)
		sleep(ctx, rebind)
	}
	return false
}

// baseTree holds what has to outlive the work: the journal, the keepers that
// renew while the steps in hand end, and the peers' address. Losing that
// address ends the process, as another could lead in its place.
func (c *Controller) baseTree() *suture.Supervisor {
	s := suture.New("controller", suture.Spec{EventHook: c.hook})
	s.Add(fatal{c.peers})
	s.Add(c.journal)
	s.Add(c.presence)
	s.Add(c.trail)
	for _, k := range c.keepers {
		s.Add(k)
	}
	s.Add(c.page())
	s.Add(c.checkpointer())
	s.Add(c.leadership)
	return s
}

// workTree holds what gives orders.
func (c *Controller) workTree() *suture.Supervisor {
	s := suture.New("work", suture.Spec{EventHook: c.hook, Timeout: stopTimeout})
	for _, x := range c.executors {
		s.Add(x)
	}
	s.Add(c.loads)
	s.Add(c.loader())
	s.Add(c.chooser())
	return s
}

func (c *Controller) checkpointer() *Checkpointer {
	return &Checkpointer{
		engines: slices.Sorted(maps.Keys(c.executors)), delay: 100 * c.stagger(),
		retention: seconds(c.cfg.Deployment.Platform.RetentionSeconds),
		journal:   c.journal, writer: c.writer(), view: c.changes, log: c.log,
	}
}

// allEngines returns the engines of all data centres.
func (c *Controller) allEngines() []settings.Upstream {
	var engines []settings.Upstream
	for _, u := range c.cfg.Deployment.Upstreams {
		if u.Kind == settings.KindEngine {
			engines = append(engines, u)
		}
	}
	return engines
}

func (c *Controller) loader() *Loader {
	return &Loader{
		engines: c.allEngines(), executors: c.executors, loads: c.loads, view: c.changes,
		presence: c.presence, weights: c.cfg.Weights, log: c.log,
		limit: c.cfg.Deployment.Platform.WeightBytesPerSecond,
		fresh: seconds(c.cfg.Deployment.Roles.MaxReportAgeSeconds),
	}
}

func (c *Controller) chooser() *Chooser {
	return &Chooser{
		dataCentre: c.self.DataCentre, engines: c.allEngines(), newPolicy: c.newPolicy, every: pace(c.cfg.Deployment.Roles),
		executors: c.executors, leading: c.leading, view: c.changes,
		presence: c.presence, statuses: c.statuses, loads: c.loads, log: c.log,
	}
}

func (c *Controller) newPolicy() (rolepolicy.Policy, error) {
	r := c.cfg.Deployment.Roles
	var plan rolepolicy.Plan
	for _, step := range r.Schedule {
		at := time.UnixMilli(int64(step.AtUnixSeconds * 1000))
		split := rolepolicy.Split{Prefill: step.Prefill, Decode: step.Decode, Mixed: step.Mixed}
		plan = append(plan, rolepolicy.Step{At: at, Split: split})
	}
	return rolepolicy.New(r.Policy, rolepolicy.Config{
		ChangeWeight: r.ChangeWeight, Dwell: seconds(r.DwellSeconds),
		ChangeDuration: seconds(r.ChangeSeconds), MaxAtOnce: r.MaxAtOnce,
		MaxReportAge: seconds(r.MaxReportAgeSeconds), Schedule: plan,
	})
}

func (c *Controller) release() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, k := range c.keepers {
		if err := k.Release(ctx); err != nil {
			c.log.Warn("lease not released", "scope", k.Scope(), "error", err)
		}
	}
	c.leadership.look()
	c.trail.drain(ctx)
}

func (c *Controller) hook(e suture.Event) { c.log.Debug("supervisor", "event", e.String()) }

// fatal makes the end of a service, other than by the context, the end of its
// supervisor's whole tree.
type fatal struct{ service suture.Service }

// Serve implements suture.Service.
func (f fatal) Serve(ctx context.Context) error {
	err := f.service.Serve(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return eris.Wrapf(suture.ErrTerminateSupervisorTree, "%v", err)
}
