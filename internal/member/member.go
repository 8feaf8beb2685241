package member

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/fleetsize"
	"tamarackchute/infra"
	"tamarackchute/internal/boottime"
	"tamarackchute/internal/daemonstatus"
	"tamarackchute/internal/entry/shutdown"
	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/graceful"
	"tamarackchute/internal/relay"
	"tamarackchute/internal/telemetry"
	"tamarackchute/internal/transfer"
	"tamarackchute/internal/wire"
	"tamarackchute/placement"
	"tamarackchute/rolepolicy"
	"tamarackchute/stopplan"
	"tamarackchute/usage"
)

const (
	// directoryTTL is how long callers may cache a directory answer. It is short so that a
	// failed daemon soon gets no new callers; an answer costs little.
	directoryTTL = time.Second
	// directoryTTLFactor allows for callers that cache an answer longer than its TTL.
	directoryTTLFactor = 3
	// stopMargin is the part of the grace period reserved for the exit of the process: it covers
	// the limits of the stop of the background services, the last responses and the servers.
	stopMargin = 550 * time.Millisecond
	// backgroundTimeout limits the stop of the background services before the last connections are
	// closed.
	backgroundTimeout = 150 * time.Millisecond
	// minAssumedDaemons is the minimum divisor for limits that all daemons share: a daemon that
	// has just started knows too few peers and would take too large a share.
	minAssumedDaemons = 10
	// peerSecret isn't confidential: the platform's network is closed, and its settings hold
	// nothing known only to the system's processes. It rejects other protocols.
	peerSecret = "tamarackchute member exchange, protocol 8"
	// replacedTimeout is how long all daemons avoid an upstream whose address now belongs to
	// another one: its store entry lapses after three missed heartbeats.
	replacedTimeout = 3 * time.Second
	// minRetryAfter is the minimum retry delay that a refusal names.
	minRetryAfter = 400 * time.Millisecond
)

// Config holds the dependencies of a Member.
type Config struct {
	Settings Settings
	Store    Store
	Decoder  Decoder
	Dialect  relay.Dialect
	// Log is used for role changes, QuarantineLog for requests that crash upstreams.
	Log, QuarantineLog infra.Log
	// Dial opens connections to upstreams for callers' requests; nil means TCP connections.
	Dial exchange.Dialer
	// Engines returns the control calls of model engines behind a gate.
	Engines func(Gate) Engines
	// Provider makes the calls to the platform; nil if the settings name none.
	Provider Provider
	// DirectoryHandler and ReadyHandler create the platform's HTTP handlers.
	DirectoryHandler func(*Member) http.Handler
	ReadyHandler     func(ready func() bool) http.Handler
	Logger           *slog.Logger
	Metrics          *telemetry.Metrics
}

// Member is the daemon.
type Member struct {
	cfg     Config
	log     *slog.Logger
	state   *fleet.State
	tracker *placement.Tracker
	relay   *relay.Relay
	engines Engines
	// callerConns are the connections to the callers' address, otherConns those to all other
	// addresses.
	callerConns, otherConns *graceful.Connections
	requestLimits           requestLimits
	peers                   *Peers
	upstreams               *upstreamFeed
	// readers are the readers of the store's topics, by the constants below.
	readers []*topicReader
	// daemons is the reader of the other daemons' entries.
	daemons *topicReader
	// longPolls are restarted when the store is reachable again.
	longPolls    []interface{ restartRead() }
	retryBudget  *relay.RetryBudget
	self         wire.MemberAddress
	shuttingDown atomic.Bool
	// settings are the current ones, lease is this daemon's lease status.
	settings atomic.Pointer[Settings]
	lease    atomic.Pointer[daemonstatus.Lease]
	// leadership is this daemon's part in the lease for the whole site.
	leadership *leadership
	// usage counts requests; nil if usage isn't reported. usageSync passes the counts on.
	usage     *usageMeter
	usageSync *usageSync
	// configs applies configurations, configAge says how old the one in force may be.
	configs   *configFeed
	configAge *configFreshness
	// fetches logs fetches of the configuration, peerFetch is the one from a peer in progress, if any.
	fetches   *fetchLog
	peerFetch atomic.Pointer[transfer.Transfer]
	// backoff is shared by all services that retry failed calls to the store.
	backoff *backoff
	// quarantine shares with the other daemons which requests crash upstreams, limits the limits that
	// upstreams name.
	quarantine *quarantineExchange
	limits     *limitExchange
	// streamVersions knows at which software version streams began.
	streamVersions *streamVersions
	streamHandover *streamHandover
}

// The places of Member.readers. All but the first wait for changes.
const (
	upstreamReader = iota
	configReader
)

// New returns a daemon; Run starts it.
func New(cfg Config) *Member {
	s := cfg.Settings
	m := &Member{cfg: cfg, log: cfg.Logger, state: fleet.NewState(), tracker: placement.NewTracker(nil), callerConns: graceful.New(cfg.Logger), otherConns: graceful.New(cfg.Logger)}
	m.self = wire.MemberAddress{Instance: s.Instance, DataCentre: s.DataCentre, Callers: s.Callers, Peers: s.PeerAddress, Forwards: s.ForwardAddress, Capacity: s.Capacity}
	m.otherConns.LimitWait(graceful.AcceptReserve)
	cfg.Store.Eras().SetLogger(m.log)
	m.settings.Store(&s)
	m.retryBudget = relay.NewRetryBudget(s.RetryRatio, m.retrySlack, s.RetryWindow, nil)
	m.retryBudget.AssumeSlackSpent()
	m.configAge = newConfigFreshness(s, m.state, cfg.Store.Eras(), m.log)
	m.peers = newPeers(m.self, m.wireConfig(), m.tracker, m.log)
	m.quarantine = newQuarantineExchange(m, cfg.QuarantineLog)
	m.limits = newLimitExchange(m)
	m.streamVersions = newStreamVersions(m)
	m.streamHandover = newStreamHandover(m)
	m.requestLimits = newRequestLimits(&s)
	m.relay = relay.New(relay.Config{
		Instance:      s.Instance,
		DataCentre:    s.DataCentre,
		Dialect:       cfg.Dialect,
		State:         m.state,
		Tracker:       m.tracker,
		RetryBudget:   m.retryBudget,
		Logger:        m.log,
		Metrics:       cfg.Metrics.Scope,
		RequestBodies: m.requestLimits.bodies, ResponseBodies: m.requestLimits.responses,
		Refresh:       func(ctx context.Context) { m.peers.Refresh(ctx) },
		Dial:          cfg.Dial,
		ForwardPeers:  m.peers.forwardPeers,
		LeavingPeers:  m.peers.leavingPeers,
		OnPathChange:  m.peers.reportNow,
		PeerSilent:    m.peers.silent,
		PeerPaths:     m.peers.pathsTo,
		OnReplaced:    func(id string) { m.peers.MarkUnavailable(id, "", replacedTimeout) },
		MinRetryAfter: minRetryAfter,
		KeysUsable:    m.configAge.keysUsable,
		Configuration: m.configAge,
		OnBegun:       m.recordBegun,
		Crashes:       m.quarantine.detector,
		Limits:        m.limits.forRelay(),
		Versions:      m.streamVersions,
	})
	m.engines = cfg.Engines(m.relay)
	m.peers.localDemand = m.localDemand
	m.peers.requestsWaiting = m.relay.HasWaiting
	m.peers.onPeerList = func(position Position, digest uint64, age time.Duration) {
		// What arrives after a standstill may have waited all the while.
		if m.peers.beat.unbroken(m.readers[upstreamReader].ownRead()) {
			m.confirmList(position, digest, age)
		}
	}
	m.peers.configProof, m.peers.onConfigProof = m.configAge.reply, m.configAge.recordReply
	m.peers.onConfigNamed = m.configAge.RecordNamed
	m.peers.summary, m.peers.view, m.peers.onUpdate = m.summaryForPeers, m.view, m.relay.WakeWaiting
	m.peers.onPathLost = m.relay.DoubtPath
	m.leadership = &leadership{member: m, log: cfg.Log, logger: m.log}
	if s.Provider.ReportsUsage {
		m.buildUsage(s)
	}
	m.buildFeeds()
	m.upstreams.onEntry, m.upstreams.onReplace = m.streamVersions.see, m.streamVersions.listReplaced
	m.quarantine.reader.backoff = m.backoff.another()
	m.longPolls = append(m.longPolls, m.quarantine.reader)
	return m
}

// buildUsage creates what counts and reports usage.
func (m *Member) buildUsage(s Settings) {
	clock := usage.NewClock(boottime.Now, time.Now)
	m.usage = &usageMeter{settings: s.Provider, clock: clock, table: usage.NewTable(), instance: s.Instance, incarnation: m.peers.incarnation}
	m.leadership.ledger = usage.NewLedger(clock.Now, m.cfg.Store.Eras().Age)
	m.usageSync = &usageSync{meter: m.usage, peers: m.peers, leadership: m.leadership, cfg: m.wireConfig(), log: m.log}
	m.peers.onClock, m.peers.onForget = clock.Observe, clock.Forget
	m.peers.onUsage, m.peers.onUsageAck = m.usage.table.Merge, m.usageSync.confirm
	m.peers.usageReply = m.usageSync.reply
	m.peers.leaving = m.shuttingDown.Load
}

// recordBegun counts a request that began to run at an upstream some time ago.
func (m *Member) recordBegun(organisation string, ago time.Duration) {
	if m.usage != nil {
		m.usage.add(organisation, ago)
	}
}

func (m *Member) localDemand() map[string]wire.MemberDemand {
	all := make(map[string]wire.MemberDemand)
	for pool, d := range m.relay.Demand() {
		all[pool] = wire.MemberDemand{PrefillEngines: d.PrefillEngines, DecodeEngines: d.DecodeEngines}
	}
	return all
}

// confirmList records that a peer has read the same list of upstreams as this daemon. It is
// ignored while upstreams are unconfirmed: the peer confirms that the list is unchanged, not that
// they have written.
func (m *Member) confirmList(position Position, digest uint64, age time.Duration) {
	if position == 0 || !m.cfg.Store.Eras().Observe(position.Era(), "another daemon") {
		return
	}
	if !m.readers[upstreamReader].applying.TryLock() {
		return // a reading is being processed; messages of peers don't wait for it
	}
	defer m.readers[upstreamReader].applying.Unlock()
	if m.upstreams.current().unconfirmed {
		return
	}
	age += transitAllowance
	if digest == m.upstreams.current().digest && digest != 0 && age+minAgeGain < m.readers[upstreamReader].age() {
		m.upstreams.onReplace()
		m.readers[upstreamReader].adopt(position, age)
	}
}

func (m *Member) wireConfig() wire.Config {
	return wire.Config{
		Name: m.cfg.Settings.Instance, Secret: []byte(peerSecret),
		Limits: wire.Limits{Ping: time.Second, Idle: 3 * time.Second, RetryMax: time.Second},
	}
}

func (m *Member) buildFeeds() {
	store, decoder := m.cfg.Store, m.cfg.Decoder
	m.backoff = newBackoff(m.peers.KnownCount)
	m.fetches = &fetchLog{scope: m.cfg.Metrics.Scope, log: m.log}
	m.configAge.rejects = func() bool { return m.configs.lastRejection.Load() != nil }
	m.configs = newConfigFeed(decoder, m.state, m.cfg.Metrics.Scope, m.log)
	m.upstreams = newUpstreamFeed(decoder, m.state, m.cfg.Settings.LapsedEntryGrace, m.log)
	daemons := &memberFeed{peers: m.peers, log: m.log}
	upstreams := &topicReader{
		store: store, topic: TopicUpstreams, name: "upstreams", interval: upstreamsInterval, jitter: upstreamsJitter, readsFirst: m.peers.IsRoot,
		applyAll: m.upstreams.reset, applyRestored: m.upstreams.resetRestored, applyChanges: m.upstreams.apply, backoff: m.backoff.another(), log: m.log,
	}
	m.upstreams.age = upstreams.age
	m.upstreams.restored = func() bool { return store.Eras().Current() > 0 }
	m.upstreams.hasReadSince, m.upstreams.recoveredAt = upstreams.hasReadSince, upstreams.recoveredTime
	upstreams.onRecovered = func() {
		for _, r := range m.longPolls {
			r.restartRead()
		}
	}
	m.daemons = &topicReader{
		store: store, topic: TopicMembers, name: "daemons", longPoll: longPollTimeout, interval: time.Second, triggered: m.peers.ReportsInDataCentre,
		applyAll: daemons.apply, applyChanges: daemons.apply, backoff: m.backoff.another(), log: m.log,
	}
	m.readers = []*topicReader{
		upstreams,
		{
			store: store, topic: TopicConfig, name: "configuration", longPoll: longPollTimeout, triggered: m.configAge.enforcesKeys, onRead: m.recordConfigRead,
			onFetch:  func(p transfer.Progress, err error) { m.fetches.record(sourceStore, p, err) },
			applyAll: m.configs.apply, applyChanges: m.configs.apply, backoff: m.backoff.another(), log: m.log,
		},
		m.daemons,
	}
	m.configAge.receiving, m.configAge.onChanging = m.readers[configReader].receiving, m.expediteConfig
	for _, r := range m.readers[configReader:] {
		m.longPolls = append(m.longPolls, r)
	}
}

// recordConfigRead records a read of the configuration that was sent at a time and brought nothing newer.
func (m *Member) recordConfigRead(sentAt time.Duration) {
	if m.configs.upToDate() {
		m.configAge.recordRead(sentAt)
	}
}

// Ready reports whether the daemon accepts callers.
func (m *Member) Ready() bool {
	return !m.shuttingDown.Load() && m.state.Snapshot().Config != nil
}

func (m *Member) summary() Summary {
	summary, _ := m.summarize()
	return summary
}

// summaryForPeers returns the summary that peers get. While upstreams are unconfirmed, it names the
// first position of the era and another digest: a peer with the same list must neither take it for
// confirmed nor go on at this position, which may lie behind a removal that the peer hasn't read.
// Only a peer that knows less takes the list.
func (m *Member) summaryForPeers() Summary {
	summary, unconfirmed := m.summarize()
	if unconfirmed {
		summary.ListPosition = min(summary.ListPosition, infra.NewOffset(summary.ListPosition.Era(), 1))
		summary.ListDigest = ^summary.ListDigest
	}
	return summary
}

// summarize returns the summary and whether upstreams are unconfirmed. The list is read after its
// position: it may be newer, never older.
func (m *Member) summarize() (Summary, bool) {
	snapshot := m.state.Snapshot()
	position := m.readers[upstreamReader].position()
	list := m.upstreams.current()
	summary := Summary{
		Serving: m.Ready(), LostPools: m.relay.LostPools(), PathLost: !m.relay.HasPath(), KeysStale: !m.configAge.keysUsable(), Overdue: m.configAge.Standing().Overdue(), ListAge: m.readers[upstreamReader].age(),
		ListPosition: position, ListDigest: list.digest,
		ListSize: len(snapshot.Upstreams),
	}
	if c := snapshot.Config; c != nil {
		summary.Config, summary.ConfigBytes = c.Version, len(c.Document)
	}
	return summary, list.unconfirmed
}

// view returns what a peer asks for.
func (m *Member) view(request wire.ViewRequest) wire.ViewReply {
	v := wire.ViewReply{Position: uint64(m.readers[upstreamReader].position()), Age: m.readers[upstreamReader].age()}
	if !request.ConfigOnly {
		v.Upstreams, v.Unconfirmed = m.upstreams.entries() // read last: the list may be newer than its position, never older
	}
	if c := m.state.Snapshot().Config; c != nil && !request.ListOnly && c.Version > request.ConfigVersion {
		v.Config = c.Document
	}
	return v
}

// Run serves until the context ends, then stops gracefully.
func (m *Member) Run(ctx context.Context) error {
	m.applySettings(m.settings.Load())
	servers, err := m.listen()
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	root, background := m.supervisorTree(servers)
	done := root.ServeBackground(work)
	m.log.Info("started", "instance", m.self.Instance, "data_centre", m.self.DataCentre, "callers", m.self.Callers)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	m.drain(func() { m.stopBackground(root, background) })
	stopWork()
	select {
	case <-done:
	case <-time.After(shutdownTimeout):
	}
	return nil
}

// supervisorTree builds the supervisor tree, and returns its root and the token of background:
//
//	member
//	├── background
//	│   ├── learning
//	│   │   ├── readers of upstreams, configuration, daemons
//	│   │   ├── restarts of the readers in a new era of the store
//	│   │   ├── proofs that the configuration is current, reports that it isn't
//	│   │   ├── updates from peers that have newer data; the configuration from further ones
//	│   │   ├── initial cache state of the engines
//	│   │   ├── engine parameters, for operators, and their copy in the store
//	│   │   ├── quarantine: its journal, reports and checkpoints
//	│   │   └── announcer
//	│   ├── exchange
//	│   │   ├── wire server
//	│   │   ├── upstreams' limits
//	│   │   ├── paths to upstreams
//	│   │   └── peers
//	│   └── directing
//	│       ├── leadership, with journal and lease while it is a candidate
//	│       ├── usage reports
//	│       ├── director of fleet size
//	│       └── director of roles
//	└── serving
//	    └── callers, directory, ready, metrics
func (m *Member) supervisorTree(servers []*httpService) (*suture.Supervisor, suture.ServiceToken) {
	spec := suture.Spec{EventHook: m.logEvent, FailureBackoff: time.Second, Timeout: 2 * time.Second}
	learning := suture.New("learning", spec)
	for _, r := range m.readers {
		learning.Add(r)
	}
	learning.Add(&eraFollower{eras: m.cfg.Store.Eras(), readers: m.readers, daemons: m.peers.KnownCount})
	learning.Add(&configProver{view: m.configAge, peers: m.peers, confirmRead: m.readers[configReader].confirm, isFirst: m.peers.ReadsFirst})
	learning.Add(&configLag{freshness: m.configAge, configs: m.configs, storeDown: m.readers[configReader].isDown, log: m.log})
	learning.Add(newPeerView(m))
	learning.Add(newConfigHedge(m))
	learning.Add(&catchUp{member: m, log: m.log})
	learning.Add(&observationSync{store: m.cfg.Store, tracker: m.tracker, peers: m.peers, backoff: m.backoff.another(), log: m.log})
	learning.Add(&parametersReporter{tracker: m.tracker, scope: m.cfg.Metrics.Scope, log: m.log})
	learning.Add(&announcer{store: m.cfg.Store, self: m.self, backoff: m.backoff.another(), daemons: m.peers.KnownCount, log: m.log})
	for _, service := range m.quarantine.services(m.cfg.Settings.StoreRetention) {
		learning.Add(service)
	}
	links := suture.New("exchange", spec)
	links.Add(wire.NewServer(m.wireConfig(), m.self.Peers, m.peers, m.log))
	links.Add(m.peers)
	links.Add(m.limits)
	links.Add(m.streamVersions)
	links.Add(m.streamVersions.claims)
	links.Add(m.streamVersions.records)
	links.Add(m.streamHandover)
	links.Add(m.relay.PathService())
	serving := suture.New("serving", spec)
	for _, s := range servers {
		serving.Add(s)
	}
	directing := suture.New("directing", spec)
	directing.Add(m.leadership)
	if m.usage != nil {
		links.Add(m.usageSync)
		directing.Add(&usageReporter{
			meter: m.usage, leadership: m.leadership, provider: m.cfg.Provider, log: m.log,
			planner: usage.NewPlanner(m.usage.schedule(), m.leadership.ledger),
		})
	}
	if s := m.cfg.Settings.Provider; s.OrdersServers {
		directing.Add(&sizeDirector{
			member: m, leadership: m.leadership, provider: m.cfg.Provider, logger: m.log,
			sizers: make(map[string]*fleetsize.Sizer), lastLogged: make(map[string]time.Time),
		})
	}
	directing.Add(&director{
		member: m, leadership: m.leadership, engines: m.engines, logger: m.log,
		balancers: make(map[string]*rolepolicy.Balancer), changes: make(map[string]roleChange),
		lastLogged: make(map[string]time.Time),
	})
	background := suture.New("background", spec)
	background.Add(directing)
	background.Add(learning)
	background.Add(links)
	root := suture.New("member", spec)
	token := root.Add(background)
	root.Add(serving)
	return root, token
}

// stopBackground stops all services but the servers.
func (m *Member) stopBackground(root *suture.Supervisor, background suture.ServiceToken) {
	if err := root.RemoveAndWait(background, backgroundTimeout); err != nil {
		m.log.Warn("background services still running", "err", err)
	}
}

func (m *Member) logEvent(e suture.Event) {
	m.log.Warn("supervisor", "event", e.String())
}

// drain stops accepting callers and returns once the process may exit. beforeClose is called
// before the last connections are closed.
func (m *Member) drain(beforeClose func()) {
	m.shuttingDown.Store(true)
	conns := graceful.All{m.otherConns, m.callerConns}
	ttl, drain := drainTimes(m.settings.Load().Grace)
	stop := shutdown.State{
		DiscoveryTTL:  ttl,
		Grace:         drain,
		AcceptReserve: graceful.AcceptReserve,
		StopAccepting: conns.StopAccepting,
		BeforeClose:   beforeClose,
		CloseIdle:     conns.CloseIdle,
	}
	plan := stopplan.Begin(time.Now(), stop.DiscoveryTTL, stop.Grace)
	m.relay.BeginShutdown(plan.Noticed, plan.Exit, func() bool { return len(m.peers.Serving()) > 0 })
	stop.Drain(nil, conns.Active, m.log)
	conns.Wait()
}

// drainTimes divides a grace period, less stopMargin: directory answers that name the daemon may
// be used for the first part, requests end in the second.
func drainTimes(grace time.Duration) (directories, drain time.Duration) {
	available := max(0, grace-stopMargin)
	directories = min(directoryTTLFactor*directoryTTL, available/2)
	return directories, available - directories
}
