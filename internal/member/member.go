package member

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/infra"
	"tamarackchute/internal/daemonstatus"
	"tamarackchute/internal/entry/shutdown"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/graceful"
	"tamarackchute/internal/relay"
	"tamarackchute/internal/telemetry"
	"tamarackchute/internal/wire"
	"tamarackchute/placement"
	"tamarackchute/rolepolicy"
)

const (
	// keepAnswer is how long callers may keep an answer of where to connect.
	// Short, so that a daemon that falls silent is soon left alone; each answer
	// costs little.
	keepAnswer = time.Second
	// keepFactor covers callers that keep an answer longer than they are told.
	keepFactor = 3
	// stopMargin is the part of the grace kept back for the end of the process.
	stopMargin = 450 * time.Millisecond
	// expectedDaemons is the least number by which what all daemons share is
	// divided: one that has just started knows too few peers, and would take too
	// large a part.
	expectedDaemons = 10
	// peerSecret isn't secret: the platform's network is closed, and its
	// settings hold nothing that only the system's processes know. It keeps
	// other protocols apart.
	peerSecret = "tamarackchute member exchange, protocol 3"
	// replacedFor is how long all daemons leave an upstream alone whose address
	// belongs to another one: its entry lapses after three heartbeats.
	replacedFor = 3 * time.Second
	// minRetryAfter is the time to come back that a refusal names at least.
	minRetryAfter = 400 * time.Millisecond
)

// Config is what a Member is built of.
type Config struct {
	Settings Settings
	Store    Store
	Formats  Formats
	Dialect  relay.Dialect
	// Log and Engines are for the changes of roles.
	Log     infra.Log
	Engines Engines
	// DirectoryHandler and ReadyHandler make the outer interfaces.
	DirectoryHandler func(*Member) http.Handler
	ReadyHandler     func(ready func() bool) http.Handler
	Logger           *slog.Logger
	Metrics          *telemetry.Metrics
}

// Member is the daemon.
type Member struct {
	cfg   Config
	log   *slog.Logger
	state *fleet.State
	books *placement.Tracker
	relay *relay.Relay
	// callers are connections to the callers' address, pages those to the others.
	callers, pages *graceful.Connections
	peers          *Peers
	upstreams      *upstreamFeed
	readers        []*topicReader
	budget         *relay.RetryBudget
	self           wire.MemberAddress
	leaving        atomic.Bool
	// settings are those in force, lease is this daemon's part in it.
	settings atomic.Pointer[Settings]
	lease    atomic.Pointer[daemonstatus.Lease]
	// backoff is of calls to the store.
	backoff *backoff
}

// New builds a daemon.
func New(cfg Config) *Member {
	s := cfg.Settings
	m := &Member{cfg: cfg, log: cfg.Logger, state: fleet.NewState(), books: placement.NewTracker(nil), callers: graceful.New(cfg.Logger), pages: graceful.New(cfg.Logger)}
	m.self = wire.MemberAddress{Instance: s.Instance, DataCentre: s.DataCentre, Callers: s.Callers, Peers: s.PeerAddress, Capacity: s.Capacity}
	cfg.Store.Eras().LogTo(m.log)
	m.settings.Store(&s)
	m.budget = relay.NewRetryBudget(s.RetryRatio, m.retrySlack, s.RetryWindow, nil)
	m.relay = relay.New(relay.Config{
		DataCentre:    s.DataCentre,
		Dialect:       cfg.Dialect,
		State:         m.state,
		Tracker:       m.books,
		RetryBudget:   m.budget,
		Logger:        m.log,
		Metrics:       cfg.Metrics.Scope,
		Refresh:       func(ctx context.Context) { m.peers.Refresh(ctx) },
		OnReplaced:    func(id string) { m.peers.SendAway(id, "", replacedFor) },
		MinRetryAfter: minRetryAfter,
	})
	m.peers = newPeers(m.self, m.wireConfig(), m.books, m.log)
	m.peers.demand = m.demand
	m.peers.waiting = m.relay.HasWaiting
	m.peers.sameList = m.readSame
	m.peers.about, m.peers.view, m.peers.change = m.about, m.view, m.relay.WakeWaiting
	m.buildFeeds()
	return m
}

func (m *Member) demand() map[string]wire.MemberDemand {
	all := make(map[string]wire.MemberDemand)
	for pool, d := range m.relay.Demand() {
		all[pool] = wire.MemberDemand{PrefillEngines: d.PrefillEngines}
	}
	return all
}

// readSame takes over that a peer has read the list of upstreams that this daemon
// has. Where entries are doubted it has to read for itself: a peer says that the list is
// the same, not that they were written again.
func (m *Member) readSame(at Position, digest uint64, age time.Duration) {
	if at == 0 || !m.cfg.Store.Eras().Note(at.Era(), "another daemon") {
		return
	}
	if m.upstreams.doubts() {
		return
	}
	age += transit
	if digest == m.upstreams.digest.Load() && digest != 0 && age+youngerBy < m.readers[0].age() {
		m.readers[0].heard(at, age)
	}
}

// retrySlack is this daemon's part of the repeats that all may make beyond their
// share of requests.
func (m *Member) retrySlack() float64 {
	return m.settings.Load().RetrySlack / float64(max(expectedDaemons, m.peers.Known()))
}

func (m *Member) wireConfig() wire.Config {
	return wire.Config{
		Name: m.cfg.Settings.Instance, Secret: []byte(peerSecret),
		Limits: wire.Limits{Ping: time.Second, Idle: 3 * time.Second, RetryMax: time.Second},
	}
}

func (m *Member) buildFeeds() {
	store, formats := m.cfg.Store, m.cfg.Formats
	m.backoff = newBackoff(m.peers.Known)
	configs := &configFeed{formats: formats, state: m.state, log: m.log}
	m.upstreams = newUpstreamFeed(formats, m.state, m.cfg.Settings.ReturnWithin, m.log)
	members := &memberFeed{peers: m.peers, log: m.log}
	upstreams := &topicReader{
		store: store, topic: TopicUpstreams, name: "upstreams", every: upstreamsEvery, spread: upstreamsSpread, first: m.peers.Collects,
		reset: m.upstreams.reset, resetCopy: m.upstreams.resetCopy, apply: m.upstreams.apply, backoff: m.backoff, log: m.log,
	}
	m.upstreams.age = upstreams.age
	upstreams.returned = func() {
		for _, r := range m.readers[1:] {
			r.restart()
		}
	}
	m.readers = []*topicReader{
		upstreams,
		{store: store, topic: TopicConfig, name: "configuration", wait: longWait, reset: configs.take, apply: configs.take, backoff: m.backoff, log: m.log},
		{
			store: store, topic: TopicMembers, name: "daemons", wait: longWait, every: time.Second, rests: m.peers.ReportsNearby,
			reset: members.take, apply: members.take, backoff: m.backoff, log: m.log,
		},
	}
}

// Ready reports whether callers may be sent here.
func (m *Member) Ready() bool {
	return !m.leaving.Load() && m.state.Snapshot().Config != nil
}

func (m *Member) about() About {
	s := m.state.Snapshot()
	a := About{
		Serving: m.Ready(), ReadAge: m.readers[0].age(),
		ListPosition: m.readers[0].position(), ListDigest: m.upstreams.digest.Load(),
		ListSize: len(s.Upstreams),
	}
	if c := s.Config; c != nil {
		a.Config = c.Version
	}
	return a
}

func (m *Member) view(configOnly bool) wire.ViewReply {
	v := wire.ViewReply{Position: uint64(m.readers[0].position()), Age: m.readers[0].age()}
	if !configOnly {
		v.Upstreams = m.upstreams.entries() // read last: the list may be newer than its position, never older
	}
	if c := m.state.Snapshot().Config; c != nil {
		v.Config = c.Document
	}
	return v
}

// Where returns where callers of a data centre may connect: to the daemons
// there if there are two or more, since each crossing costs time and bytes, and
// to all otherwise.
func (m *Member) Where(dataCentre string) ([]string, time.Duration) {
	up := m.peers.Up()
	if m.Ready() {
		up = append(up, m.self)
	}
	var near, all []string
	for _, a := range up {
		all = append(all, a.Callers)
		if a.DataCentre == dataCentre {
			near = append(near, a.Callers)
		}
	}
	keep := keepAnswer
	if limit := m.settings.Load().DirectoryTTL; limit > 0 {
		keep = min(keep, limit)
	}
	if len(near) >= minNear {
		return near, keep
	}
	return all, keep
}

// minNear is the number of daemons in a data centre from which its callers are
// sent nowhere else: with one, its loss would leave them without any.
const minNear = 2

// Run serves until the context ends, and then until a graceful stop is done.
func (m *Member) Run(ctx context.Context) error {
	m.applySettings(m.settings.Load())
	servers, err := m.listen()
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	done := m.tree(servers).ServeBackground(work)
	m.log.Info("started", "instance", m.self.Instance, "data_centre", m.self.DataCentre, "callers", m.self.Callers)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	m.drain()
	stopWork()
	<-done
	return nil
}

// tree is the supervisor tree:
//
//	member
//	├── learning
//	│   ├── feed of upstreams, configuration, daemons
//	│   ├── eras of the store
//	│   ├── view of peers, while the store can't be reached
//	│   ├── catching up on what is known of the engines
//	│   ├── figures of the engines, for operators, and their memory in the store
//	│   └── announcer
//	├── exchange
//	│   ├── wire server
//	│   └── peers
//	├── directing
//	│   └── director of roles, with journal and lease where it is a candidate
//	└── serving
//	    └── callers, directory, ready, metrics
func (m *Member) tree(servers []*httpService) *suture.Supervisor {
	spec := suture.Spec{EventHook: m.hook, FailureBackoff: time.Second, Timeout: 2 * time.Second}
	learning := suture.New("learning", spec)
	for _, r := range m.readers {
		learning.Add(r)
	}
	learning.Add(&eraFollower{eras: m.cfg.Store.Eras(), readers: m.readers, daemons: m.peers.Known})
	learning.Add(&peerView{member: m})
	learning.Add(&catchUp{member: m, log: m.log})
	learning.Add(&engineMemory{store: m.cfg.Store, books: m.books, peers: m.peers, backoff: m.backoff, log: m.log})
	learning.Add(&figuresTeller{books: m.books, scope: m.cfg.Metrics.Scope, log: m.log})
	learning.Add(&announcer{store: m.cfg.Store, self: m.self, backoff: m.backoff, daemons: m.peers.Known, log: m.log})
	exchange := suture.New("exchange", spec)
	exchange.Add(wire.NewServer(m.wireConfig(), m.self.Peers, m.peers, m.log))
	exchange.Add(m.peers)
	serving := suture.New("serving", spec)
	for _, s := range servers {
		serving.Add(s)
	}
	directing := suture.New("directing", spec)
	directing.Add(&director{
		member: m, log: m.cfg.Log, engines: m.cfg.Engines, logger: m.log,
		policy: make(map[string]*rolepolicy.Balancer), changes: make(map[string]roleChange),
		logged: make(map[string]time.Time),
	})
	root := suture.New("member", spec)
	root.Add(directing)
	root.Add(learning)
	root.Add(exchange)
	root.Add(serving)
	return root
}

func (m *Member) hook(e suture.Event) {
	m.log.Warn("supervisor", "event", e.String())
}

// drain stops taking callers and returns when the process may exit.
func (m *Member) drain() {
	m.leaving.Store(true)
	stop := shutdown.State{
		Keep: keepFactor * keepAnswer, Grace: m.settings.Load().Grace - keepFactor*keepAnswer - stopMargin,
		CloseIdle: m.callers.CloseIdle,
	}
	known := time.Now().Add(stop.Keep)
	m.relay.BeginShutdown(known, known.Add(stop.Grace), func() bool { return len(m.peers.Up()) > 0 })
	stop.Drain(nil, m.callers.Active, m.log)
	m.pages.CloseIdle()
	m.callers.Wait()
}
