// Package entry assembles chute-entry: the servers for callers and operators, the
// feeds from the log, the instance list and the engines, and the supervisor tree.
package entry

import (
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tamarackchute/admission"
	"tamarackchute/claim"
	"tamarackchute/freshness"
	"tamarackchute/infra"
	"tamarackchute/internal/audit"
	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/boottime"
	"tamarackchute/internal/crash"
	"tamarackchute/internal/entry/answer"
	"tamarackchute/internal/entry/callerwatch"
	"tamarackchute/internal/entry/discovery"
	"tamarackchute/internal/entry/forward"
	"tamarackchute/internal/entry/gateway"
	"tamarackchute/internal/entry/inflight"
	"tamarackchute/internal/entry/protect"
	"tamarackchute/internal/entry/shutdown"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/internal/machine"
	"tamarackchute/internal/pathwatch"
	"tamarackchute/internal/settings"
	"tamarackchute/internal/status"
	"tamarackchute/internal/telemetry"
	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/orders"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/rules"
)

// Fixed limits of an entry.
const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// engineWait bounds how long a request that has lost its engine waits for another
	// one; its deadline may be earlier.
	engineWait   = 30 * time.Second
	heartbeat    = 2 * time.Second
	writeTimeout = 30 * time.Second
	readTimeout  = 30 * time.Second
	idleTimeout  = 60 * time.Second
)

// Config holds an entry's settings and its connections to other components.
type Config struct {
	Deployment *settings.Deployment
	// Instance is the name of the instance that the entry runs on.
	Instance string
	Log      infra.Log
	List     infra.InstanceList
	// Upstreams holds an adapter for each engine and service.
	Upstreams *Upstreams
	Secret    []byte
	// ServerTLS and ClientTLS are nil if TLS is off.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Metrics   *telemetry.Metrics
	Logger    *slog.Logger
}

// Entry is one running chute-entry.
type Entry struct {
	cfg         Config
	self        settings.Instance
	incarnation string
	log         *slog.Logger

	journal *journal.Journal
	replica *rules.Replica
	// rulesRead says when the log was last read to its end: older rules may not be the newest.
	rulesRead  freshness.Tracker
	ruleSource ruleSource
	trail      *audit.Trail
	leases     *lease.View
	orders     *orders.View
	drains     *peerDrains
	quarantine *quarantine.Guard
	// serviceQuarantine is that of calls of plain services, which can't be isolated from each other.
	serviceQuarantine *quarantine.Guard
	crashDetector     *crash.Detector
	// serviceCrashes is the detector of plain services.
	serviceCrashes *crash.Detector
	tracker        *router.Tracker
	admission      *admission.Controller
	inflight       *inflight.Counter
	demand         *demandMeter
	load           *loadFraction
	node           *status.Node
	// paths knows to which pools this instance has lost its path.
	paths *pathwatch.Watcher
	// forwarder passes requests on to other instances.
	forwarder     *forwarder
	directory     *discovery.Directory
	answers       *answer.Runner
	callerWatcher *callerwatch.Watcher
	gateway       *gateway.Gateway
	claims        *claim.Guard
	// shares are the parts of the machine that requests may take.
	shares    machine.Shares
	listeners []*listener
	shutdown  shutdown.State
}

// New returns an entry; Run runs it.
func New(cfg Config) (*Entry, error) {
	self, ok := cfg.Deployment.Instance(cfg.Instance)
	if !ok {
		return nil, eris.Errorf("the settings name no instance %q", cfg.Instance)
	}
	e := &Entry{
		cfg:         cfg,
		self:        self,
		incarnation: uuid.NewString(),
		log:         cfg.Logger,
		shares:      machine.SharesOf(machine.Memory(), machine.Descriptors()),
		shutdown: shutdown.State{
			DiscoveryTTL: seconds(cfg.Deployment.Discovery.TTLSeconds),
			Grace:        seconds(cfg.Deployment.Discovery.GraceSeconds),
		},
	}
	if err := e.buildJournal(); err != nil {
		return nil, err
	}
	e.buildRouting()
	e.buildExchange()
	e.buildGateway()
	return e, nil
}

// keyPollShare is the share of the revocation bound for which a read of the log may wait for a
// record: the age of what is known of the rules counts from when the read was sent.
const keyPollShare = 0.2

// keyPollInterval returns how long a read of the log may wait; 0 for the default.
func keyPollInterval(d *settings.Deployment) time.Duration {
	return seconds(keyPollShare * d.Keys.RevocationSeconds)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// keysUsable reports whether the rules are known to be recent enough for the use of API keys.
func (e *Entry) keysUsable() bool {
	limit := freshness.NewLimit(seconds(e.cfg.Deployment.Keys.RevocationSeconds))
	return limit.Allows(e.rulesRead.Age(boottime.Now()))
}

func (e *Entry) writer() string { return e.cfg.Instance + "/entry/" + e.incarnation }

// buildJournal creates the journal and the views that are built from its entries.
func (e *Entry) buildJournal() error {
	d := e.cfg.Deployment
	e.journal = journal.New(e.cfg.Log, journal.Config{
		LongPoll:         keyPollInterval(d),
		OnRead:           func(sentAt time.Duration) { e.rulesRead.Record(freshness.Proof{SentAt: sentAt}, 0) },
		Writer:           e.writer(),
		Linger:           time.Duration(d.Protected.LingerMillis * float64(time.Millisecond)),
		AppendsPerSecond: d.Platform.AppendsPerSecond / float64(len(d.Instances)),
		Retention:        seconds(d.Platform.RetentionSeconds),
		Logger:           e.log,
	})
	e.trail = audit.NewTrail(0, e.log)
	e.replica = rules.NewReplica(rules.ReplicaOptions{Logger: e.log, Observe: e.trail.ObserveRules})
	e.ruleSource = ruleSource{e.replica, e.journal.CaughtUp()}
	e.leases = lease.NewView()
	e.orders = orders.NewView(e.leases)
	e.quarantine = quarantine.NewGuard(quarantine.DefaultConfig(), e.journal, e.writer(), nil)
	e.quarantine.Observe(e.trail.ObserveQuarantine)
	e.serviceQuarantine = quarantine.NewGuard(serviceQuarantineConfig(), e.journal, e.writer(), nil)
	e.serviceQuarantine.Observe(e.trail.ObserveQuarantine)
	e.journal.Register(journal.KindRules, e.replica)
	e.journal.Register(journal.KindAudit, e.trail)
	e.journal.Register(journal.KindLease, e.leases)
	e.journal.Register(journal.KindOrder, e.orders)
	e.journal.Register(journal.KindQuarantine, e.quarantine)
	e.journal.Register(journal.KindServiceQuarantine, e.serviceQuarantine)
	var err error
	e.claims, err = claim.NewGuard(e.journal, e.claimConfig())
	if err != nil {
		return err
	}
	e.journal.Register(journal.KindClaim, e.claims)
	return nil
}

// serviceRestartTime is less than a crashed service takes to start again, and more than all entries
// take to report one crash: their reports name no incarnation.
const serviceRestartTime = 2 * time.Second

func serviceQuarantineConfig() quarantine.Config {
	c := quarantine.NoIsolationConfig()
	c.Kind = journal.KindServiceQuarantine
	c.CrashDedupWindow = serviceRestartTime
	return c
}

func (e *Entry) claimConfig() claim.Config {
	d := e.cfg.Deployment
	c := claim.Config{
		Writer:           e.writer(),
		ClaimTimeout:     time.Duration(d.Protected.ClaimTimeoutMillis * float64(time.Millisecond)),
		KeyTTL:           seconds(d.Protected.KeyTTLSeconds),
		Retention:        seconds(d.Platform.RetentionSeconds),
		MaxRecordedBytes: d.Protected.MaxRecordedBytes,
	}
	if c.MaxRecordedBytes == 0 {
		c.MaxRecordedBytes = -1 // record none; in claim.Config 0 selects the default
	}
	return c
}

// buildRouting creates the components that decide where and when a request runs.
func (e *Entry) buildRouting() {
	d := e.cfg.Deployment
	e.cfg.Upstreams.shareLimits(e.cfg.Instance, instanceNames(d))
	routing := routerConfig(d, e.self.DataCentre)
	routing.Limited = e.cfg.Upstreams.limited
	e.tracker = router.NewTracker(routing, routerUpstreams(d), nil)
	e.paths = e.newPaths()
	e.cfg.Upstreams.watch(e.paths)
	a := admission.DefaultConfig()
	a.MaxQueued = d.Admission.MaxQueued
	a.ShortReserve = d.Admission.ShortReserve
	a.RetryBudgetRatio = d.Admission.RetryBudget
	e.admission = admission.New(a, nil)
	e.drains = newPeerDrains(e.orders, e.journal.CaughtUp())
	e.inflight = inflight.NewCounter(e.drains, e.journal.Applied, engineNames(d))
	e.demand = newDemandMeter(time.Now, demandWindow(d.Roles))
	e.load = &loadFraction{}
	e.crashDetector = crash.New(e.quarantine, crash.ProbeByID(e.probe))
	e.serviceCrashes = crash.New(e.serviceQuarantine, crash.ProbeByID(e.probe))
}

// buildGateway creates the gateway and what it depends on.
func (e *Entry) buildGateway() {
	e.directory = discovery.New(e.cfg.Deployment, e.self, e.node)
	e.directory.HasPath = e.paths.HasPath
	e.callerWatcher = callerwatch.New()
	e.forwarder = e.newForwarder()
	e.answers = &answer.Runner{
		Tracker:          e.tracker,
		Engines:          e.cfg.Upstreams,
		InFlight:         e.inflight,
		CrashDetector:    e.crashDetector,
		RetryBudget:      retryBudget{e.admission},
		MemoryBudget:     stream.NewMemoryBudget(e.cfg.Deployment.Streams.MaxTotalBufferedBytes),
		MaxBufferedBytes: e.cfg.Deployment.Streams.MaxBufferedBytes,
		MaxAttempts:      maxAttempts,
		MaxEngineWait:    engineWait,
		NewID:            uuid.NewString,
	}
	e.gateway = gateway.New(e.gatewayOptions(), gateway.Dependencies{
		Rules:     e.ruleSource,
		Admission: e.admission,
		Estimator: e.tracker,
		Answers:   e.answers,
		Services: &forward.Runner{
			Tracker:       e.tracker,
			Services:      e.cfg.Upstreams,
			RetryBudget:   retryBudget{e.admission},
			CrashDetector: e.serviceCrashes,
			MaxAttempts:   maxAttempts,
			NewID:         uuid.NewString,
		},
		Protected:   protect.New(e.claims),
		Directory:   e.directory,
		Forwarder:   e.forwarder,
		Reaches:     e.cfg.Upstreams.Reaches,
		Signer:      stream.NewSigner(e.cfg.Secret),
		CallerWatch: e.callerWatcher,
		Demand:      e.demand,
		Ready:       e.ready,
		Load:        e.load.get,
		KeysUsable:  e.keysUsable,
		RulesAge:    func() time.Duration { return e.rulesRead.Age(boottime.Now()) },
		NewID:       uuid.NewString,
		Scope:       e.cfg.Metrics.Scope,
		Log:         e.log,
	})
}

func (e *Entry) gatewayOptions() gateway.Options {
	d := e.cfg.Deployment
	return gateway.Options{
		DataCentre:      e.self.DataCentre,
		MaxBodyBytes:    d.Admission.MaxBodyBytes,
		DefaultDeadline: seconds(d.Streams.DefaultDeadlineSeconds),
		Heartbeat:       heartbeat,
		WriteTimeout:    writeTimeout,
		ReadTimeout:     readTimeout,
		IdleTimeout:     idleTimeout,
		Models:          modelNames(d),
		RulesLimit:      freshness.NewLimit(seconds(d.Rules.ApplySeconds)),
		ServicePools:    servicePools(d),
		Bodies:          bodylimit.NewOf(e.shares.SmallResponses, e.shares.LargeResponses),
		RequestBodies:   bodylimit.NewOf(e.shares.SmallBodies, e.shares.LargeBodies),
	}
}
