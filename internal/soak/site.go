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
	// streamEvents is the number of events of a stream, streamPause the time
	// between two: long enough for a stop or a crash to come midway.
	streamEvents = 20
	streamPause  = 60 * time.Millisecond
	serviceMark  = "mark"
	// One of slowEvery calls to a plain server takes slowFor: long against
	// closeWithin, so that it shows whether a caller's close reaches the server.
	slowEvery = 8
	slowFor   = 1500 * time.Millisecond
)

// service is a kind of request.
type service struct {
	name string
	// once says that it must not be repeated.
	once, stream bool
	kind         standin.Kind
	servers      int
	deadline     time.Duration
}

// callersServed is the number of callers that a service's servers can serve, with some of them
// away.
const callersServed = 30

// serversFor returns the number of servers before a number of callers. A site that can't serve
// what is asked of it refuses, which must not pass for a recovery that doesn't come.
func (v service) serversFor(callers int) int {
	return v.servers * max(1, (callers+callersServed-1)/callersServed)
}

// services are the kinds of request of a run. The answers of the last tell which
// configuration is in force.
var services = []service{
	{name: "once", once: true, kind: standin.NonIdempotent, servers: 2, deadline: 3 * time.Second},
	{name: "repeat", kind: standin.Idempotent, servers: 2, deadline: 3 * time.Second},
	{name: "llm", stream: true, kind: standin.Streaming, servers: 4, deadline: 6 * time.Second},
	{name: serviceMark, kind: standin.Idempotent, deadline: 3 * time.Second},
}

// markPools are the pools that the rule of serviceMark leads to, by version.
var markPools = func() []string {
	pools := make([]string, maxVersions)
	for i := range pools {
		pools[i] = fmt.Sprint(serviceMark, i+1)
	}
	return pools
}()

// serversSubject names the servers of a pool and the ways to them.
func serversSubject(pool string) string { return "servers " + pool }

// storeLinkSubject names a daemon's way to the store.
func storeLinkSubject(daemon int) string { return fmt.Sprintf("store link %d", daemon) }

// site is everything that a run needs: the store, the servers and the daemons.
type site struct {
	// ip is the address of the stand-ins. It is none that other programs listen
	// at, so that none of them can be reached at a port that has come free.
	ip        string
	store     *standin.Store
	storeHTTP *httptest.Server
	daemons   []*daemon
	links     []*Proxy
	places    []*place
	oracle    *oracle
	troubles  *troubles
	// cuts are the checks of broken connections that aren't done.
	cuts conc.WaitGroup

	mu       sync.Mutex
	versions int
	started  int
	retired  []*standin.Server
	// free are links whose servers have ended: the next server, of any pool,
	// has the address that came free last.
	free []*Proxy
}

// newSite starts the store and the servers, and lists them. Nothing runs yet that
// is tested.
func newSite(o Options, network string) (*site, error) {
	t := newTroubles()
	s := &site{ip: fmt.Sprintf("%s.%d", network, standinHost), store: standin.NewStore(), oracle: newOracle(t), troubles: t}
	l, err := s.listen()
	if err != nil {
		return nil, err
	}
	s.storeHTTP = &httptest.Server{Listener: l, Config: &http.Server{Handler: s.store}}
	s.storeHTTP.Start()
	if err := s.addLinks(o.Callers); err != nil {
		return nil, err
	}
	for _, v := range services {
		for i := range v.serversFor(o.Callers) {
			role := ""
			if v.stream {
				role = firstRole(i)
			}
			if err := s.addPlace(v.name, role); err != nil {
				return nil, err
			}
		}
	}
	for _, pool := range markPools {
		if err := s.addPlace(pool, ""); err != nil {
			return nil, err
		}
	}
	s.publish()
	return s, s.addDaemons(o, network)
}

// publish puts the next configuration in the store.
func (s *site) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions == maxVersions {
		return
	}
	s.versions++
	var rules []standin.Service
	for _, v := range services {
		rule := standin.Service{Name: v.name, Kind: v.kind, Attempts: 3, Timeout: v.deadline}
		if v.name == serviceMark {
			rule.Pool = markPools[s.versions-1]
		}
		rules = append(rules, rule)
	}
	for _, pool := range markPools {
		rules = append(rules, standin.Service{Name: pool, Kind: standin.Idempotent, Attempts: 3, Timeout: time.Second})
	}
	s.store.PutConfig(s.versions, rules)
	s.oracle.versionPublished()
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
			number: i, program: o.Program, oracle: s.oracle, troubles: s.troubles, ends: make(map[int]processEnd),
			settings: filepath.Join(o.Folder, fmt.Sprintf("daemon-%d.toml", i)),
			logs:     filepath.Join(o.Folder, fmt.Sprintf("daemon-%d.log", i)),
			about: standin.Daemon{
				Name: fmt.Sprintf("d%d", i), IP: ip, Seeds: ips[:min(len(ips), 3)], Store: link.Address(),
				Grace: grace, RetryRatio: siteBudget.ratio, RetrySlack: siteBudget.slack, RetryWindow: siteBudget.window,
				LeaseTerm: time.Second,
			},
		}
		if err := os.WriteFile(d.settings, []byte(d.about.SettingsFile()), settingsMode); err != nil {
			return eris.Wrap(err, "settings")
		}
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// grace is the time that a daemon has to stop.
const grace = 8 * time.Second

// siteBudget bounds repeats. The slack is small, so that the troubles of a run
// can use it up.
var siteBudget = budget{ratio: 0.05, slack: 5, window: 10 * time.Second}

// close ends the daemons first, then what they use.
func (s *site) close() {
	s.endDaemons()
	for _, p := range s.places {
		server, link := p.current()
		link.Close()
		server.Close()
	}
	for _, link := range append(s.links, s.free...) {
		link.Close()
	}
	s.store.Close()
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
}

// endDaemons kills all daemons; none is started again.
func (s *site) endDaemons() {
	for _, d := range s.daemons {
		d.end()
	}
}

// daemonAt returns the daemon that serves callers at an address.
func (s *site) daemonAt(address string) (*daemon, bool) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, false
	}
	for _, d := range s.daemons {
		if d.about.IP == host {
			return d, true
		}
	}
	return nil, false
}

// orders returns what the engines have accepted.
func (s *site) orders() []engineOrders {
	var all []engineOrders
	for _, p := range s.places {
		server, _ := p.current()
		all = append(all, engineOrders{engine: server.ID, orders: server.Orders()})
	}
	for _, server := range s.retired {
		all = append(all, engineOrders{engine: server.ID, orders: server.Orders()})
	}
	return all
}
