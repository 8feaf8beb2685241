package soak

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/platform/standin"
)

// place stands for one server of a pool after another.
type place struct {
	pool string
	role string
	// change is held by the step that replaces the server.
	change sync.Mutex

	mu     sync.Mutex
	server *standin.Server
	// link is the way to the server; its address is the server's for daemons.
	link *Proxy
	// listedRole is the role that the server's entry names.
	listedRole string
}

// current returns the server that runs and the way to it.
func (p *place) current() (*standin.Server, *Proxy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server, p.link
}

// spareLinks is the number of addresses that no server has at first: those that
// leave have their successors before their end.
const spareLinks = 2

// firstRoles are the roles of engines at their start. They suit the requests so
// badly that the system has to change some.
var firstRoles = []string{standin.RolePrefill, standin.RoleDecode, standin.RolePrefill, standin.RolePrefill}

// firstRole returns the role of an engine at its start. Those beyond firstRoles are there to
// carry more callers, and come in equal parts.
func firstRole(i int) string {
	if i < len(firstRoles) {
		return firstRoles[i]
	}
	return [...]string{standin.RoleDecode, standin.RolePrefill}[i%2]
}

// addLinks makes a link for each server and some to spare.
func (s *site) addLinks(callers int) error {
	n := len(markPools) + spareLinks
	for _, v := range services {
		n += v.serversFor(callers)
	}
	for range n {
		link, err := NewProxy(s.ip, "")
		if err != nil {
			return err
		}
		s.free = append(s.free, link)
	}
	return nil
}

func (s *site) addPlace(pool, role string) error {
	p := &place{pool: pool, role: role}
	s.places = append(s.places, p)
	return s.startServer(p)
}

func (s *site) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(s.ip, "0"))
	return l, eris.Wrap(err, "stand-in")
}

// startServer starts the next server of a place, at an address that is free.
func (s *site) startServer(p *place) error {
	link, number := s.takeLink()
	return s.startAs(p, fmt.Sprintf("%s-%d", p.pool, number), link)
}

// startAs starts a place's server under an ID, which it may have had before.
func (s *site) startAs(p *place, id string, link *Proxy) error {
	l, err := s.listen()
	if err != nil {
		return err
	}
	server := standin.NewServerOn(id, l)
	server.Born = time.Now().UnixMilli()
	server.Observer = s.oracle
	server.SlowEvery, server.SlowFor = slowEvery, slowFor
	if p.role != "" {
		server.Events, server.EventGap = streamEvents, streamPause
		server.SetStage(p.role)
	}
	link.SetTarget(server.Address())
	s.oracle.serverListed(server.ID, p.pool)
	p.mu.Lock()
	p.server, p.link, p.listedRole = server, link, p.role
	p.mu.Unlock()
	s.store.Register(server, p.pool, link.Address(), false)
	return nil
}

func (s *site) takeLink() (*Proxy, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.free) - 1
	link := s.free[last]
	s.free = s.free[:last]
	s.started++
	return link, s.started
}

// retire notes that a server has ended and its address is free.
func (s *site) retire(server *standin.Server, link *Proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = append(s.retired, server)
	s.free = append(s.free, link)
}

const (
	// relistEvery is how often entries of engines are brought up to date with the
	// roles that they have been given.
	relistEvery = 200 * time.Millisecond
	// beatEach is the number of these times after which every server writes its
	// entry anew, as on the platform.
	beatEach = 5
)

// relist does so until done is closed.
func (s *site) relist(done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(relistEvery):
		}
		for _, p := range s.places {
			p.relist(s.store, n%beatEach == 0)
		}
	}
}

func (p *place) relist(store *standin.Store, anyway bool) {
	// A server that leaves keeps the entry that says so.
	if !p.change.TryLock() {
		return
	}
	defer p.change.Unlock()
	server, link := p.current()
	if role := server.Stage(); anyway || role != p.listedRole {
		store.Register(server, p.pool, link.Address(), false)
		p.listedRole = role
	}
}
