package soak

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/platform/standin"
)

// serverSlot holds one server of a pool and, over time, its replacements.
type serverSlot struct {
	pool string
	role string
	// version is the software version of its servers; empty means that engines alternate.
	version string
	// runTime is how long each call takes; 0 means that few take long. sound means that no request
	// crashes its servers.
	runTime time.Duration
	sound   bool
	// eventGap is the time between two events of its streams, if it isn't the usual one.
	eventGap time.Duration
	// replacing is held by the step that replaces the server.
	replacing sync.Mutex

	mu     sync.Mutex
	server *standin.Server
	// link leads to the server; daemons know the server by the link's address.
	link *Proxy
	// listedRole is the role in the server's entry.
	listedRole string
}

// current returns the running server and its link.
func (slot *serverSlot) current() (*standin.Server, *Proxy) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	return slot.server, slot.link
}

// engineVersions is the number of software versions of the engines.
const engineVersions = 2

// spareLinks is the number of initially unused addresses: a draining server's replacement starts
// before it stops.
const spareLinks = 2

// initialRoles are the roles of engines at their start. They suit the requests badly, so that the
// system has to change some.
var initialRoles = []string{standin.RolePrefill, standin.RoleDecode, standin.RolePrefill, standin.RolePrefill}

// initialRole returns the role of an engine at its start. Engines beyond initialRoles add
// capacity for more callers and alternate between the roles.
func initialRole(i int) string {
	if i < len(initialRoles) {
		return initialRoles[i]
	}
	return [...]string{standin.RoleDecode, standin.RolePrefill}[i%2]
}

// addLinks creates a link for each server and the spare ones.
func (s *site) addLinks(callers int) error {
	n := len(versionPools) + spareLinks + releasePools*releaseServers + releaseJoiners + momentServers + len(hostServices)*hostServers + silentServers + handedServers
	for _, v := range services {
		n += v.serversFor(callers)
	}
	for range n {
		link, err := NewProxy(s.ip, "")
		if err != nil {
			return err
		}
		s.freeLinks = append(s.freeLinks, link)
		s.serverLinks = append(s.serverLinks, link)
	}
	return nil
}

func (s *site) addSlot(pool, role string) error {
	slot := &serverSlot{pool: pool, role: role}
	s.slots = append(s.slots, slot)
	return s.startServer(slot)
}

func (s *site) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(s.ip, "0"))
	return l, eris.Wrap(err, "stand-in")
}

// startServer starts a slot's next server at a free address.
func (s *site) startServer(slot *serverSlot) error {
	link, number := s.takeLink()
	return s.startWithID(slot, fmt.Sprintf("%s-%d", slot.pool, number), link)
}

// startWithID starts a slot's server under an ID, which it may have had before.
func (s *site) startWithID(slot *serverSlot, id string, link *Proxy) error {
	l, err := s.listen()
	if err != nil {
		return err
	}
	server := standin.NewServerOn(id, l)
	server.Born = time.Now().UnixMilli()
	server.Observer, server.Handles = s.oracle, s.handles
	server.SlowEvery, server.SlowFor = slowEvery, slowDuration
	lethal := &standin.Lethal{Prefix: lethalPrefix, RunFor: lethalRun, Crashed: s.serverCrashed}
	if !slot.sound {
		server.SetLethal(lethal)
	}
	if slot.runTime != 0 {
		server.SlowEvery, server.SlowFor = 1, slot.runTime
	}
	if slot.role != "" {
		lethal.Parts = lethalParts
		server.Version = s.nextVersion()
		server.Events, server.EventGap = streamEvents, eventGap
		server.SetStage(slot.role)
	}
	if slot.version != "" {
		server.Version, server.Events, server.EventGap = slot.version, streamEvents, cmp.Or(slot.eventGap, eventGap)
	}
	link.SetTarget(server.Address())
	s.oracle.serverListed(server.ID, slot.pool)
	slot.mu.Lock()
	slot.server, slot.link, slot.listedRole = server, link, slot.role
	slot.mu.Unlock()
	s.store.Register(server, slot.pool, link.Address(), false)
	return nil
}

func (s *site) takeLink() (*Proxy, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.freeLinks) - 1
	link := s.freeLinks[last]
	s.freeLinks = s.freeLinks[:last]
	s.serversStarted++
	return link, s.serversStarted
}

// nextVersion returns the software version of the next engine: several serve side by side.
func (s *site) nextVersion() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint("v", s.serversStarted%engineVersions+1)
}

// retire records that a server has stopped and releases its address.
func (s *site) retire(server *standin.Server, link *Proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppedServers = append(s.stoppedServers, server)
	s.freeLinks = append(s.freeLinks, link)
}

const (
	// relistInterval is how often the engines' entries are updated to the roles that they were
	// ordered to take.
	relistInterval = 200 * time.Millisecond
	// Every ticksPerHeartbeat such intervals each server writes its entry again, as on the
	// platform.
	ticksPerHeartbeat = 5
)

// relist updates the entries until done is closed.
func (s *site) relist(done <-chan struct{}) {
	for tick := 0; ; tick++ {
		select {
		case <-done:
			return
		case <-time.After(relistInterval):
		}
		for _, slot := range slices.Concat(s.slots, s.joined()) {
			slot.relist(s.store, tick%ticksPerHeartbeat == 0)
		}
	}
}

func (slot *serverSlot) relist(store *standin.Store, heartbeat bool) {
	// The entry of a draining server must keep saying so.
	if !slot.replacing.TryLock() {
		return
	}
	defer slot.replacing.Unlock()
	server, link := slot.current()
	if role := server.Stage(); heartbeat || role != slot.listedRole {
		store.Register(server, slot.pool, link.Address(), false)
		slot.listedRole = role
	}
}
