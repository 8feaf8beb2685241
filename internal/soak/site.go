package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"tamarackchute/platform/standin"
)

const (
	settingsMode = 0o600
	folderMode   = 0o755
	// A stream has streamEvents events, one every eventGap: long enough for a stop or a crash to
	// hit it midway.
	streamEvents   = 20
	eventGap       = 60 * time.Millisecond
	versionService = "mark"
	// One in slowEvery calls to a plain server takes slowDuration: much longer than
	// maxCancelDelay, so that it shows whether a caller's close reaches the server.
	slowEvery    = 8
	slowDuration = 1500 * time.Millisecond
	// The objectives of streams are those of the users' sites, by which daemons look for another place when a
	// server is silent.
	streamObjective, streamGapObjective = 500 * time.Millisecond, 150 * time.Millisecond
)

// service is a kind of request.
type service struct {
	name string
	// atMostOnce is set if a request must not be repeated.
	atMostOnce, stream bool
	kind               standin.Kind
	servers            int
	deadline           time.Duration
	// objective is that for the first event, half of the deadline if it is 0, gapObjective that for the time
	// between two events, 0 for none.
	objective, gapObjective time.Duration
}

// callersPerServerSet is the number of callers that a service's servers can serve while some of
// them are unavailable.
const callersPerServerSet = 30

// serversFor returns the number of servers needed for the callers. An overloaded site refuses
// requests, which must not be mistaken for a failed recovery.
func (v service) serversFor(callers int) int {
	return v.servers * max(1, (callers+callersPerServerSet-1)/callersPerServerSet)
}

// services are the kinds of request of a run. The responses of the last one reveal which
// configuration is in force.
var services = []service{
	{name: "once", atMostOnce: true, kind: standin.NonIdempotent, servers: 2, deadline: 3 * time.Second},
	{name: "repeat", kind: standin.Idempotent, servers: 2, deadline: 3 * time.Second},
	{
		name: "llm", stream: true, kind: standin.Streaming, servers: 4, deadline: 6 * time.Second,
		gapObjective: streamGapObjective,
	},
	{name: versionService, kind: standin.Idempotent, deadline: 3 * time.Second},
}

// versionPools are the pools that the rule of versionService names, by version.
var versionPools = func() []string {
	pools := make([]string, maxVersions)
	for i := range pools {
		pools[i] = fmt.Sprint(versionService, i+1)
	}
	return pools
}()

// serversSubject names the servers of a pool and the links to them.
func serversSubject(pool string) string { return "servers " + pool }

// serverLinkSubject names the link to a server.
func serverLinkSubject(id string) string { return "server link " + id }

// storeLinkSubject names a daemon's link to the store.
func storeLinkSubject(daemon int) string { return fmt.Sprintf("store link %d", daemon) }

// site consists of the store, the servers and the daemons of a run.
type site struct {
	// ip is the address of the stand-ins. No other program listens there, so that none is
	// reachable at a port that was released.
	ip        string
	store     *standin.Store
	storeHTTP *httptest.Server
	// provider receives the calls that one daemon makes for all.
	provider     *standin.Cloud
	providerHTTP *httptest.Server
	daemons      []*daemon
	links        []*Proxy
	slots        []*serverSlot
	oracle       *oracle
	faults       *faultLog
	// handles records whose prompts the engines' handles hold.
	handles *standin.Handles
	// pendingChecks tracks the unfinished checks of broken connections.
	pendingChecks conc.WaitGroup

	mu       sync.Mutex
	versions int
	// further is the number of rules that nobody uses.
	further   int
	slowStore slowStore
	// published counts the configurations, with those that change only keys.
	published int
	access    access
	// longPolls says that the daemons wait for changes of the configuration.
	longPolls      bool
	serversStarted int
	// release joins a software version to pools of another one.
	release  release
	moments  moments
	silences silences
	// serverLinks are all links to servers.
	serverLinks    []*Proxy
	stoppedServers []*standin.Server
	// freeLinks are links whose servers have stopped: the next server, of any pool, gets the
	// address that was released last.
	freeLinks []*Proxy
}

// newSite starts the store and the servers, lists them, and starts the daemons.
func newSite(o Options, network string) (*site, error) {
	faults := newFaultLog()
	s := &site{
		ip: fmt.Sprintf("%s.%d", network, standinHost), store: standin.NewStore(), oracle: newOracle(faults), faults: faults,
		handles: standin.NewHandles(), longPolls: o.LongPolls || o.Seed%longPollsOneIn == longPollsOneIn-1,
	}
	l, err := s.listen()
	if err != nil {
		return nil, err
	}
	s.storeHTTP = &httptest.Server{Listener: l, Config: &http.Server{Handler: s.store}}
	s.storeHTTP.Start()
	if err := s.startCloud(); err != nil {
		return nil, err
	}
	for i := range organisations {
		s.access.add(i)
		s.access.add(i)
	}
	if err := s.addLinks(o.Callers); err != nil {
		return nil, err
	}
	for _, v := range services {
		for i := range v.serversFor(o.Callers) {
			role := ""
			if v.stream {
				role = initialRole(i)
			}
			if err := s.addSlot(v.name, role); err != nil {
				return nil, err
			}
		}
	}
	for _, pool := range versionPools {
		if err := s.addSlot(pool, ""); err != nil {
			return nil, err
		}
	}
	if err := s.addReleasePools(); err != nil {
		return nil, err
	}
	if err := s.addMomentServers(); err != nil {
		return nil, err
	}
	if err := s.addSilentServers(); err != nil {
		return nil, err
	}
	if err := s.addHandedServers(); err != nil {
		return nil, err
	}
	s.publish()
	s.oracle.senders = s.senderAt
	return s, s.addDaemons(o, network)
}

// publish stores the next configuration.
func (s *site) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions == maxVersions {
		return
	}
	s.versions++
	s.putConfig()
	s.oracle.versionPublished()
}

// putConfig stores the configuration with the current version of the rules and the current keys.
// s.mu must be held.
func (s *site) putConfig() {
	s.published++
	s.noteSlowPublication(time.Now())
	var rules []standin.Service
	for _, v := range services {
		rule := standin.Service{
			Name: v.name, Kind: v.kind, Attempts: 3, Timeout: v.deadline, Objective: v.objective, GapObjective: v.gapObjective, Public: v.public(),
		}
		if v.name == versionService {
			rule.Pool = versionPools[s.versions-1]
		}
		rules = append(rules, rule)
	}
	for _, pool := range versionPools {
		rules = append(rules, standin.Service{Name: pool, Kind: standin.Idempotent, Attempts: 3, Timeout: time.Second})
	}
	for i := range releasePools {
		v := releaseService(i)
		rules = append(rules, standin.Service{Name: v.name, Kind: v.kind, Attempts: 3, Timeout: v.deadline, Public: v.public()})
	}
	rules = append(rules, momentRules()...)
	rules = append(rules, silentRule(s.published), handedRule())
	rules = append(rules, addedRules(s.versions)...)
	rules = append(rules, furtherNames(s.further)...)
	s.store.PutConfig(s.published, rules, s.access.published()...)
}

// senderAt returns the daemon whose connection reaches a server from an address.
func (s *site) senderAt(address string) (int, bool) {
	for _, link := range s.serverLinks {
		if ip, known := link.Source(address); known {
			if d, ok := s.daemonAt(net.JoinHostPort(ip, "0")); ok {
				return d.number, true
			}
		}
	}
	return 0, false
}

// launchOf returns the number of a daemon's current process, 0 if there is no such daemon.
func (s *site) launchOf(name string) int {
	for _, d := range s.daemons {
		if d.config.Name == name {
			return d.currentLaunch()
		}
	}
	return 0
}

// startCloud starts the platform's calls.
func (s *site) startCloud() error {
	s.provider = standin.NewCloud(s.oracle.providerCalled)
	s.provider.Tag = s.launchOf
	l, err := s.listen()
	if err != nil {
		return err
	}
	s.providerHTTP = &httptest.Server{Listener: l, Config: &http.Server{Handler: s.provider}}
	s.providerHTTP.Start()
	return nil
}

func (s *site) addDaemons(o Options, network string) error {
	ips := make([]string, o.Daemons)
	for i := range ips {
		ips[i] = fmt.Sprintf("%s.%d", network, i+1)
	}
	for i, ip := range ips {
		link, err := NewProxy(s.ip, s.storeHTTP.Listener.Addr().String())
		if err != nil {
			return err
		}
		s.links = append(s.links, link)
		d := &daemon{
			number: i, program: o.Program, oracle: s.oracle, faults: s.faults, exits: make(map[int]processExit),
			settings: filepath.Join(o.Folder, fmt.Sprintf("daemon-%d.toml", i)),
			logs:     filepath.Join(o.Folder, fmt.Sprintf("daemon-%d.log", i)),
			config: standin.Daemon{
				Name: fmt.Sprintf("d%d", i), IP: ip, Seeds: ips[:min(len(ips), 3)], Store: link.Address(),
				Grace: grace, RetryRatio: siteBudget.ratio, RetrySlack: siteBudget.slack, RetryWindow: siteBudget.window,
				LeaseTerm: leaseTerm, RevocationBound: revocationBound, ConfigBound: maxConfigDelay,
				Cloud: s.providerHTTP.Listener.Addr().String(), UsageWindow: usageWindow, UsageDue: usageDue,
			},
		}
		if s.longPolls {
			d.config.RevocationBound = 0 // daemons read often where keys must soon be unusable
		}
		if err := os.WriteFile(d.settings, []byte(d.config.SettingsFile()), settingsMode); err != nil {
			return eris.Wrap(err, "write daemon settings")
		}
		s.daemons = append(s.daemons, d)
		s.oracle.daemonNumbers = append(s.oracle.daemonNumbers, d.number)
	}
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// leaseTerm is the term of the lease for the whole site.
const leaseTerm = time.Second

// grace is the time that a daemon has to stop.
const grace = 8 * time.Second

// siteBudget bounds retries. The slack is small, so that a run's faults can exhaust it.
var siteBudget = retryBudget{ratio: 0.05, slack: 5, window: 10 * time.Second}

// close stops the daemons first, then the stand-ins that they use.
func (s *site) close() {
	s.killDaemons()
	for _, slot := range s.slots {
		server, link := slot.current()
		link.Close()
		server.Close()
	}
	for _, link := range append(s.links, s.freeLinks...) {
		link.Close()
	}
	s.store.Close()
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
	s.provider.Close()
	s.providerHTTP.CloseClientConnections()
	s.providerHTTP.Close()
}

// killDaemons kills all daemons for good.
func (s *site) killDaemons() {
	for _, d := range s.daemons {
		d.shutDown()
	}
}

// daemonAt returns the daemon that serves callers at an address.
func (s *site) daemonAt(address string) (*daemon, bool) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, false
	}
	for _, d := range s.daemons {
		if d.config.IP == host {
			return d, true
		}
	}
	return nil, false
}

// orders returns the role orders that the engines have accepted.
func (s *site) orders() []engineOrders {
	var all []engineOrders
	for _, slot := range s.slots {
		server, _ := slot.current()
		all = append(all, engineOrders{engine: server.ID, orders: server.Orders()})
	}
	for _, server := range s.stoppedServers {
		all = append(all, engineOrders{engine: server.ID, orders: server.Orders()})
	}
	return all
}
