package soak

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"tamarackchute/platform/standin"
)

const (
	// listLag is how long the platform takes to drop the entry of a server that
	// has crashed.
	listLag = 1500 * time.Millisecond
	// leaveTime is how long a server that leaves goes on after its notice.
	leaveTime = 5 * time.Second
	// settleTime is how long the ways to servers count as disturbed after a
	// trouble: connections that broke and pauses before retries outlast it.
	settleTime = 2 * time.Second
	// awayLongest bounds the time for which a store that is restored is away, copyOldest the
	// age of the copy in seconds, rewriteLatest the time in ms after which what the operator
	// and the servers wrote since is written again.
	awayLongest   = time.Second
	copyOldest    = 5
	rewriteLatest = 1000
)

var (
	storeFaults  = []standin.StoreFault{standin.StoreUnavailable, standin.StoreSilent, standin.StoreReset, standin.StoreDropsReplies}
	linkModes    = []Mode{Delays, Silences, CutsReplies, Resets}
	serverFaults = []standin.Fault{
		standin.Shed, standin.InternalError, standin.UnmarkedUnavailable, standin.ResetBeforeRun, standin.DropsResponse, standin.TruncatesResponse,
		standin.Unsigned, standin.WrongRequestID, standin.RepeatsEvent, standin.Hangs,
	}
)

// perform carries out a step and returns once its trouble is over.
func (s *site) perform(step Step) {
	d := s.daemons[step.Target%len(s.daemons)]
	p := s.placeOf(step.Target)
	link := linkModes[step.Variant%len(linkModes)]
	switch step.Kind {
	case KillDaemon:
		d.kill()
		s.restart(d, step.For)
	case StopDaemon:
		d.stop()
		s.restart(d, step.For)
	case PauseDaemon:
		d.pause(step.For)
	case ReloadDaemon:
		d.signal(syscall.SIGHUP)
	case StoreFails:
		s.failStore(storeFaults[step.Variant%len(storeFaults)], step.For)
	case DropHistory:
		s.store.DropHistory(standin.Topics[step.Variant%len(standin.Topics)])
	case StoreRestore:
		s.restoreStore(step)
	case StoreLink:
		end := s.troubles.begin(storeLinkSubject(d.number))
		disturb(s.links[d.number], link, step.For)
		time.AfterFunc(settleTime, end)
	case ServerLink:
		end := s.troubles.begin(serversSubject(p.pool))
		_, way := p.current()
		disturb(way, link, step.For)
		time.AfterFunc(settleTime, end)
	case ServerFaults:
		s.failServer(p, step)
	case ServerFails:
		s.failAll(p, step)
	case CrashServer:
		replace(p, func() { s.crash(p, step) })
	case ServerLeaves:
		replace(p, func() { s.leave(p) })
	case RestartServer:
		replace(p, func() { s.startAgain(p, step) })
	case ForeignEntry:
		s.writeForeign(p, step)
	case PublishVersion:
		s.publish()
	}
}

// placeOf returns the place that a number picks: first the service, then one of
// its servers, as some services have many more servers than others.
func (s *site) placeOf(target int) *place {
	name := services[target%len(services)].name
	var of []*place
	for _, p := range s.places {
		if strings.HasPrefix(p.pool, name) {
			of = append(of, p)
		}
	}
	return of[target/len(services)%len(of)]
}

// replace runs a step that replaces the server of a place, unless another one
// does that already.
func replace(p *place, step func()) {
	if !p.change.TryLock() {
		return
	}
	defer p.change.Unlock()
	step()
}

func disturb(link *Proxy, mode Mode, length time.Duration) {
	link.SetMode(mode)
	time.Sleep(length)
	link.SetMode(Passes)
}

func (s *site) restart(d *daemon, length time.Duration) {
	time.Sleep(max(length, restartAfter))
	if err := d.start(); err != nil {
		s.oracle.report(StaysUp, "daemon %d doesn't start: %v", d.number, err)
	}
}

func (s *site) failStore(fault standin.StoreFault, length time.Duration) {
	end := s.troubles.begin(subjectStore)
	s.store.Fail(fault)
	time.Sleep(length)
	s.store.Fail(standin.StoreHealthy)
	time.AfterFunc(settleTime, end)
}

// restoreStore takes the store away for a moment and brings it back from an older copy.
func (s *site) restoreStore(step Step) {
	end := s.troubles.begin(subjectStore)
	s.store.Fail(standin.StoreReset)
	time.Sleep(min(step.For, awayLongest))
	age := time.Duration(1+step.Variant%copyOldest) * time.Second
	rewriteAfter := time.Duration(step.Target%rewriteLatest) * time.Millisecond
	s.store.Restore(age, rewriteAfter)
	s.store.Fail(standin.StoreHealthy)
	time.AfterFunc(rewriteAfter+settleTime, end)
}

// failServer fails the next few requests of a server, each in its own way.
func (s *site) failServer(p *place, step Step) {
	end := s.troubles.begin(serversSubject(p.pool))
	server, _ := p.current()
	for i := range 1 + step.Target%4 {
		server.Fail(serverFaults[(step.Variant+i)%len(serverFaults)])
	}
	time.Sleep(step.For)
	time.AfterFunc(settleTime, end)
}

// failAll fails all requests of a server in the same way for a while.
func (s *site) failAll(p *place, step Step) {
	end := s.troubles.begin(serversSubject(p.pool))
	server, _ := p.current()
	server.FailAll(serverFaults[step.Variant%len(serverFaults)])
	time.Sleep(step.For)
	server.FailAll(standin.NoFault)
	time.AfterFunc(settleTime, end)
}

// crash ends two servers without notice. Soon afterwards each has a successor, at
// the other one's address, while the old entries are still listed.
func (s *site) crash(p *place, step Step) {
	other := s.otherPlace(p, step.Variant)
	if other == nil {
		return
	}
	defer other.change.Unlock()
	for _, at := range []*place{p, other} {
		end := s.troubles.begin(serversSubject(at.pool))
		time.AfterFunc(listLag+settleTime, end)
		s.end(at)
	}
	time.Sleep(min(step.For, listLag/2))
	s.restartServer(p)
	s.restartServer(other)
}

// startAgain ends a server without notice and starts it under the same ID, at the same
// address, before its entry lapses.
func (s *site) startAgain(p *place, step Step) {
	end := s.troubles.begin(serversSubject(p.pool))
	time.AfterFunc(listLag+settleTime, end)
	old, link := p.current()
	old.Close()
	s.mu.Lock()
	s.retired = append(s.retired, old)
	s.mu.Unlock()
	time.Sleep(min(step.For, listLag/2))
	if err := s.startAs(p, old.ID, link); err != nil {
		panic(err)
	}
}

// foreignEntries are what another program writes where servers write their entries.
// The address is that of a server of some pool.
var foreignEntries = []string{
	`{"Service":"once","Address":%q}`,
	`{"Service":"repeat","Address":%q,"Zone":"d","Version":"v1","Slots":"16","State":"ready","ColdRemainingMs":0,"Seq":1}`,
	`{"Service":"llm","Address":%q,"Zone":"d","Version":"v1","Slots":16,"State":"resting","ColdRemainingMs":0,"Seq":1,"Stage":"decode"}`,
	"\x00\xff%q",
}

// writeForeign writes an entry that names no server, under a key of its own or in place
// of a server's, which writes its own anew with its next heartbeat.
func (s *site) writeForeign(p *place, step Step) {
	server, link := p.current()
	entry := fmt.Sprintf(foreignEntries[step.Variant%len(foreignEntries)], link.Address())
	key := fmt.Sprintf("foreign-%d", step.Variant)
	if step.Target%2 == 0 {
		key = server.ID
		end := s.troubles.begin(serversSubject(p.pool))
		time.AfterFunc(beatEach*relistEvery+settleTime, end)
	}
	s.store.Put("keyed.servers", key, []byte(entry))
}

func (s *site) unlist(id string) {
	s.store.Deregister(id)
	s.oracle.serverGone(id)
}

// otherPlace returns a place of another pool with its change held, nil if it is
// being changed.
func (s *site) otherPlace(p *place, variant int) *place {
	other := s.placeOf(variant)
	if other.pool == p.pool || !other.change.TryLock() {
		return nil
	}
	return other
}

// end ends a place's server; its entry lapses some time later.
func (s *site) end(p *place) {
	old, link := p.current()
	old.Close()
	s.retire(old, link)
	time.AfterFunc(listLag, func() { s.unlist(old.ID) })
}

// restartServer starts a place's next server. Without one the run can't go on as
// planned, which must not pass for a broken promise of the system.
func (s *site) restartServer(p *place) {
	if err := s.startServer(p); err != nil {
		panic(err)
	}
}

// leave lets a server announce its end, and replaces it.
func (s *site) leave(p *place) {
	old, link := p.current()
	s.store.Register(old, p.pool, link.Address(), true)
	s.oracle.serverLeaves(old.ID)
	time.Sleep(leaveTime)
	end := s.troubles.begin(serversSubject(p.pool))
	s.unlist(old.ID)
	s.restartServer(p)
	old.Close()
	s.retire(old, link)
	time.AfterFunc(settleTime, end)
}
