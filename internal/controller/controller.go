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

// Timing of the controller.
const (
	// bindRetryInterval is the time between two attempts to bind the peer address.
	bindRetryInterval = 250 * time.Millisecond
	// stopTimeout bounds the release of the leases at shutdown.
	stopTimeout = 5 * time.Second
	// claimStagger is the delay between the lease claims of a data centre's instances.
	claimStagger = 50 * time.Millisecond
	// drainTimeoutFactor is the maximum duration of a drain, as a multiple of a change's
	// duration.
	drainTimeoutFactor = 30
	// An engine's state is read readsPerChange times in the duration of a change, at
	// intervals from minReadInterval to maxReadInterval.
	readsPerChange  = 8
	minReadInterval = 50 * time.Millisecond
	maxReadInterval = 500 * time.Millisecond
	// orderTimeoutFactor is the maximum duration of an order, as a multiple of a change's
	// duration.
	orderTimeoutFactor = 10
)

// Engine combines the control and load-report interfaces of an engine.
type Engine interface {
	upstream.Controlled
	LoadReporter
}

// Config holds the dependencies and settings of a controller.
type Config struct {
	Deployment *settings.Deployment
	// Instance is the name of the instance on which the controller runs.
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

// Controller is a running chute-controller.
type Controller struct {
	cfg         Config
	self        settings.Instance
	incarnation string
	log         *slog.Logger

	journal       *journal.Journal
	leases        *lease.View
	changes       *orders.View
	instances     *Presence
	entryStatuses *StatusTracker
	loadReports   *LoadPoller
	keepers       map[string]*lease.Keeper
	executors     map[string]*Executor
	peerServer    *wire.Server
	recorder      *auditRecorder
	leadership    *LeadershipWatcher
}

// New returns a controller; Run starts it.
func New(cfg Config) (*Controller, error) {
	self, ok := cfg.Deployment.Instance(cfg.Instance)
	if !ok {
		return nil, eris.Errorf("the settings name no instance %q", cfg.Instance)
	}
	c := &Controller{
		cfg: cfg, self: self, incarnation: uuid.NewString(), log: cfg.Logger,
		leases: lease.NewView(), entryStatuses: NewStatusTracker(),
		keepers: map[string]*lease.Keeper{}, executors: map[string]*Executor{},
	}
	c.changes = orders.NewView(c.leases)
	c.journal = journal.New(cfg.Log, journal.Config{
		Writer: c.writerName(), Retention: seconds(cfg.Deployment.Platform.RetentionSeconds),
		Linger: commitLinger, Logger: cfg.Logger,
	})
	c.journal.Register(journal.KindLease, c.leases)
	c.journal.Register(journal.KindOrder, c.changes)
	c.instances = NewPresence(cfg.List, seconds(cfg.Deployment.Lease.TermSeconds), cfg.Logger)
	wireCfg := wire.Config{
		Name: cfg.Instance + "/controller", Secret: cfg.Secret,
		ClientTLS: cfg.ClientTLS, ServerTLS: cfg.ServerTLS,
	}
	c.peerServer = wire.NewServer(wireCfg, self.ControllerPeers, c.entryStatuses, cfg.Logger)
	c.recorder = newAuditRecorder(c.journal, cfg.Instance, cfg.Metrics.Scope, cfg.Logger)
	c.initEngines()
	c.leadership = &LeadershipWatcher{
		instance: cfg.Instance, incarnation: c.incarnation,
		scopes: c.scopeNames(), view: c.leases, recorder: c.recorder,
	}
	return c, nil
}

// commitLinger is the batching delay that lets the renewals of several scopes share one
// append.
const commitLinger = 2 * time.Millisecond

func (c *Controller) writerName() string {
	return fmt.Sprintf("%s/controller/%s", c.cfg.Instance, c.incarnation)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ScopeOf returns the name of an engine's scope. Engines that don't check fencing tokens
// have a separate scope: its lease is never taken over on expiry alone, and in a scope of
// its own it doesn't delay the takeover of the other engines, which takes seconds.
func ScopeOf(u settings.Upstream) string {
	if u.Fencing == settings.FencingChecked {
		return u.DataCentre + "/fenced"
	}
	return u.DataCentre + "/unfenced"
}

// initEngines creates the executors and the load poller.
func (c *Controller) initEngines() {
	reporters := map[string]LoadReporter{}
	for _, u := range c.allEngines() {
		reporters[u.Name] = c.cfg.Engines[u.Name]
		if u.DataCentre == c.self.DataCentre {
			c.executors[u.Name] = c.newExecutor(u)
		}
	}
	c.loadReports = NewLoadPoller(reporters, c.leading, decisionInterval(c.cfg.Deployment.Roles))
}

func (c *Controller) newExecutor(u settings.Upstream) *Executor {
	return &Executor{
		engine: u.Name, enforcesFencing: u.Fencing == settings.FencingChecked,
		control: c.cfg.Engines[u.Name], keeper: c.keeper(u),
		journal: c.journal, writer: c.writerName(), view: c.changes,
		instances: c.instances, entryStatuses: c.entryStatuses, limits: c.limits(),
		recorder: c.recorder, log: c.log.With("engine", u.Name),
	}
}

func (c *Controller) limits() orders.Limits {
	change := seconds(c.cfg.Deployment.Roles.ChangeSeconds)
	read := min(maxReadInterval, max(minReadInterval, change/readsPerChange))
	return orders.Limits{
		DrainTimeout: drainTimeoutFactor * change, OrderTimeout: orderTimeoutFactor * change,
		SettleTime:   seconds(c.cfg.Deployment.Lease.SettleSeconds),
		ReadInterval: read, MaxStateAge: 2 * read, RetryDelay: read,
	}
}

// keeper returns the lease keeper of an engine's scope and creates it on first use.
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
			Settle: seconds(l.SettleSeconds), ClaimDelay: c.claimDelay(),
			Retention: seconds(c.cfg.Deployment.Platform.RetentionSeconds),
		},
		Writer: c.writerName(), AddressBound: true,
	}, c.journal, c.leases, c.instances, c.log)
	c.keepers[scope] = k
	return k
}

// claimDelay returns this instance's claim delay: claimStagger times its rank among the
// data centre's instances by name.
func (c *Controller) claimDelay() time.Duration {
	var delay time.Duration
	for _, in := range c.cfg.Deployment.Instances {
		if in.DataCentre == c.self.DataCentre && in.Name < c.self.Name {
			delay += claimStagger
		}
	}
	return delay
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

// Run runs the controller until the context ends. It then finishes the steps in progress,
// releases its leases and returns nil. An error means that the controller could not
// continue.
//
// Run first binds the peer address, which the kernel grants to one living process at a
// time: once bound, any earlier controller of the instance is dead. The address stays bound
// until Run returns.
func (c *Controller) Run(ctx context.Context) error {
	if !c.bindPeers(ctx) {
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
		return eris.Wrap(err, "peer listener failed")
	}
	<-workDone
	c.releaseLeases()
	stopBase()
	<-baseDone
	return nil
}

func (c *Controller) bindPeers(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := c.peerServer.Bind()
		if err == nil {
			return true
		}
		c.log.Warn("peer address not available, retrying", "error", err)
		sleep(ctx, bindRetryInterval)
	}
	return false
}

// baseTree supervises the services that must outlive the work tree: the journal, the
// keepers that renew leases while the steps in progress end, and the peer listener. Losing
// the peer address ends the process, because another controller could then bind it and
// lead.
func (c *Controller) baseTree() *suture.Supervisor {
	s := suture.New("controller", suture.Spec{EventHook: c.logEvent})
	s.Add(terminateOnExit{c.peerServer})
	s.Add(c.journal)
	s.Add(c.instances)
	s.Add(c.recorder)
	for _, k := range c.keepers {
		s.Add(k)
	}
	s.Add(c.operatorServer())
	s.Add(c.checkpointer())
	s.Add(c.leadership)
	return s
}

// workTree supervises the services that give orders.
func (c *Controller) workTree() *suture.Supervisor {
	s := suture.New("work", suture.Spec{EventHook: c.logEvent, Timeout: stopTimeout})
	for _, x := range c.executors {
		s.Add(x)
	}
	s.Add(c.loadReports)
	s.Add(c.modelLoader())
	s.Add(c.policyRunner())
	return s
}

func (c *Controller) checkpointer() *Checkpointer {
	return &Checkpointer{
		engines: slices.Sorted(maps.Keys(c.executors)), delay: 100 * c.claimDelay(),
		retention: seconds(c.cfg.Deployment.Platform.RetentionSeconds),
		journal:   c.journal, writer: c.writerName(), view: c.changes, log: c.log,
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

func (c *Controller) modelLoader() *ModelLoader {
	return &ModelLoader{
		engines: c.allEngines(), executors: c.executors, loadReports: c.loadReports, view: c.changes,
		instances: c.instances, weights: c.cfg.Weights, log: c.log,
		bytesPerSecond: c.cfg.Deployment.Platform.WeightBytesPerSecond,
		maxReportAge:   seconds(c.cfg.Deployment.Roles.MaxReportAgeSeconds),
	}
}

func (c *Controller) policyRunner() *PolicyRunner {
	return &PolicyRunner{
		dataCentre: c.self.DataCentre, engines: c.allEngines(), newPolicy: c.newPolicy, interval: decisionInterval(c.cfg.Deployment.Roles),
		executors: c.executors, leading: c.leading, view: c.changes,
		instances: c.instances, entryStatuses: c.entryStatuses, loadReports: c.loadReports, log: c.log,
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

func (c *Controller) releaseLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, k := range c.keepers {
		if err := k.Release(ctx); err != nil {
			c.log.Warn("lease not released", "scope", k.Scope(), "error", err)
		}
	}
	c.leadership.report()
	c.recorder.flush(ctx)
}

func (c *Controller) logEvent(e suture.Event) { c.log.Debug("supervisor", "event", e.String()) }

// terminateOnExit terminates the supervisor's whole tree when the service ends for a reason
// other than its context.
type terminateOnExit struct{ service suture.Service }

// Serve implements suture.Service.
func (f terminateOnExit) Serve(ctx context.Context) error {
	err := f.service.Serve(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return eris.Wrapf(suture.ErrTerminateSupervisorTree, "%v", err)
}
