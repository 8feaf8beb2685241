package soak

import (
	"fmt"
	"strings"
	"time"

	"tamarackchute/platform/standin"
)

const (
	// entryExpiry is how long the platform takes to remove the entry of a crashed server.
	entryExpiry = 1500 * time.Millisecond
	// drainTime is how long a draining server keeps serving.
	drainTime = 5 * time.Second
	// settleDelay is how long the links to servers count as disturbed after a fault, since
	// broken connections and retry delays outlast it.
	settleDelay = 2 * time.Second
	// A store that is restored is down for up to maxStoreOutage; the backup is up to
	// maxBackupAgeSeconds old; what the operator and the servers wrote since then is written
	// again after less than maxRewriteDelayMs.
	maxStoreOutage      = time.Second
	maxBackupAgeSeconds = 5
	maxRewriteDelayMs   = 1000
)

var (
	storeFaults  = []standin.StoreFault{standin.StoreUnavailable, standin.StoreSilent, standin.StoreReset, standin.StoreDropsReplies}
	linkModes    = []Mode{ModeDelay, ModeStall, ModeStallReplies, ModeReset}
	serverFaults = []standin.Fault{
		standin.Shed, standin.InternalError, standin.UnmarkedUnavailable, standin.ResetBeforeRun, standin.DropsResponse, standin.TruncatesResponse,
		standin.Unsigned, standin.WrongRequestID, standin.RepeatsEvent, standin.Hangs,
	}
)

// inject carries out a step and returns once its fault is over.
func (s *site) inject(step Step) {
	d := s.daemons[step.Target%len(s.daemons)]
	slot := s.slotFor(step.Target)
	mode := linkModes[step.Variant%len(linkModes)]
	switch step.Kind {
	case KillDaemon:
		d.kill()
		s.restartDaemon(d, step.For)
	case StopDaemon:
		d.stop()
		s.restartDaemon(d, step.For)
	case PauseDaemon:
		d.pause(step.For)
	case ReloadDaemon:
		d.reload()
	case FailStore:
		s.failStore(storeFaults[step.Variant%len(storeFaults)], step.For)
	case DropHistory:
		s.store.DropHistory(standin.Topics[step.Variant%len(standin.Topics)])
	case RestoreStore:
		s.restoreStore(step)
	case DisturbStoreLink:
		end := s.faults.begin(storeLinkSubject(d.number))
		disturbLink(s.links[d.number], mode, step.For)
		time.AfterFunc(settleDelay, end)
	case DisturbServerLink:
		s.disturbServerLink(slot, mode, step.For)
	case FailNextRequests:
		s.failNextRequests(slot, step)
	case FailAllRequests:
		s.failAllRequests(slot, step)
	case CrashServer:
		tryReplace(slot, func() { s.crashPair(slot, step) })
	case DrainServer:
		tryReplace(slot, func() { s.drainServer(slot) })
	case RestartServer:
		tryReplace(slot, func() { s.restartSameID(slot, step) })
	case WriteForeignEntry:
		s.writeForeignEntry(slot, step)
	case PublishVersion:
		s.publish()
	case AnswerTwice:
		s.answerTwice(step)
	case AnnounceLeaving:
		tryReplace(slot, func() { s.announceLeaving(slot, step) })
	case BackOffServer:
		s.backOffServer(slot, step)
	case RotateKey:
		if !s.longPolls {
			s.rotateKey(step.Target % organisations)
		}
	case RevokeInOutage:
		if !s.longPolls {
			s.revokeInOutage(step)
		}
	case HangReads:
		s.hangReads(step)
	case GrowConfiguration:
		s.growConfiguration(step)
	case SendEndless:
		s.sendEndless(slot, step)
	case SilenceStoreLinks:
		s.silenceStoreConnections(step)
	case SendLethal:
		s.sendLethal(step)
	case LimitServer:
		tryReplace(slot, func() { s.limitServer(slot, step) })
	case CutPaths:
		s.cutPaths(step)
	case SilenceServer:
		s.silenceServer(slot, step)
	case KillAllDaemons:
		s.killAllDaemons(step)
	case FailShareOfPool:
		s.failShareOfPool(step)
	case WriteOddEntry:
		s.writeOddEntry(slot, step)
	case CutHeads:
		s.cutHeads(slot, step)
	case ResumeAfterDeath:
		s.resumeAfterDeath(step)
	case JoinVersion:
		s.joinVersion(step)
	case CrashAtOnce:
		s.crashAtOnce(step)
	case SendToTwoHosts:
		s.sendToTwoHosts(step)
	case SilencePool:
		s.silencePool(step)
	case StopBesideACut:
		s.stopBesideACut(step)
	case FailProvider:
		s.failProvider(providerFaults[step.Variant%len(providerFaults)], step.For)
	}
}

func (s *site) disturbServerLink(slot *serverSlot, mode Mode, duration time.Duration) {
	server, link := slot.current()
	endServers, endLink := s.faults.begin(serversSubject(slot.pool)), s.faults.begin(serverLinkSubject(server.ID))
	disturbLink(link, mode, duration)
	time.AfterFunc(settleDelay, endServers)
	time.AfterFunc(settleDelay, endLink)
}

// slotFor maps a number to a slot: first to a service, then to one of its servers, since some
// services have many more servers than others.
func (s *site) slotFor(target int) *serverSlot {
	name := services[target%len(services)].name
	var candidates []*serverSlot
	for _, slot := range s.slots {
		if strings.HasPrefix(slot.pool, name) {
			candidates = append(candidates, slot)
		}
	}
	return candidates[target/len(services)%len(candidates)]
}

// tryReplace runs a replacement of a slot's server unless another one is in progress.
func tryReplace(slot *serverSlot, replacement func()) {
	if !slot.replacing.TryLock() {
		return
	}
	defer slot.replacing.Unlock()
	replacement()
}

func disturbLink(link *Proxy, mode Mode, duration time.Duration) {
	link.SetMode(mode)
	time.Sleep(duration)
	link.SetMode(ModePass)
}

func (s *site) restartDaemon(d *daemon, delay time.Duration) {
	time.Sleep(max(delay, restartDelay))
	if err := d.start(); err != nil {
		s.oracle.report(NoUnexpectedExit, "daemon %d doesn't start: %v", d.number, err)
	}
}

func (s *site) failStore(fault standin.StoreFault, duration time.Duration) {
	end := s.faults.begin(subjectStore)
	s.store.Fail(fault)
	time.Sleep(duration)
	s.store.Fail(standin.StoreHealthy)
	time.AfterFunc(settleDelay, end)
}

// restoreStore takes the store down for a moment and restores it from an older backup.
func (s *site) restoreStore(step Step) {
	end := s.faults.begin(subjectStore)
	s.store.Fail(standin.StoreReset)
	time.Sleep(min(step.For, maxStoreOutage))
	age := time.Duration(1+step.Variant%maxBackupAgeSeconds) * time.Second
	rewriteAfter := time.Duration(step.Target%maxRewriteDelayMs) * time.Millisecond
	s.store.Restore(age, rewriteAfter)
	s.store.Fail(standin.StoreHealthy)
	time.AfterFunc(rewriteAfter+settleDelay, end)
}

// failNextRequests fails the next few requests of a server, each with another fault.
func (s *site) failNextRequests(slot *serverSlot, step Step) {
	end := s.faults.begin(serversSubject(slot.pool))
	server, _ := slot.current()
	for i := range 1 + step.Target%4 {
		server.Fail(serverFaults[(step.Variant+i)%len(serverFaults)])
	}
	time.Sleep(step.For)
	server.ClearFaults() // a server that got no request would fail one later, as if undisturbed
	time.AfterFunc(settleDelay, end)
}

// failAllRequests fails all requests of a server with the same fault for a while.
func (s *site) failAllRequests(slot *serverSlot, step Step) {
	end := s.faults.begin(serversSubject(slot.pool))
	server, _ := slot.current()
	server.FailAll(serverFaults[step.Variant%len(serverFaults)])
	time.Sleep(step.For)
	server.FailAll(standin.NoFault)
	time.AfterFunc(settleDelay, end)
}

// crashPair stops two servers without notice. Soon afterwards each is replaced at the other
// one's address, while the old entries are still listed.
func (s *site) crashPair(slot *serverSlot, step Step) {
	other := s.otherSlot(slot, step.Variant)
	if other == nil {
		return
	}
	defer other.replacing.Unlock()
	for _, crashed := range []*serverSlot{slot, other} {
		end := s.faults.begin(serversSubject(crashed.pool))
		time.AfterFunc(entryExpiry+settleDelay, end)
		s.stopServer(crashed)
	}
	time.Sleep(min(step.For, entryExpiry/2))
	s.startReplacement(slot)
	s.startReplacement(other)
}

// restartSameID stops a server without notice and starts it again under the same ID and at the
// same address before its entry expires.
func (s *site) restartSameID(slot *serverSlot, step Step) {
	end := s.faults.begin(serversSubject(slot.pool))
	time.AfterFunc(entryExpiry+settleDelay, end)
	old, link := slot.current()
	old.Close()
	s.mu.Lock()
	s.stoppedServers = append(s.stoppedServers, old)
	s.mu.Unlock()
	time.Sleep(min(step.For, entryExpiry/2))
	if err := s.startWithID(slot, old.ID, link); err != nil {
		panic(err)
	}
}

// foreignEntries are values that another program writes to the servers' topic. The address is
// that of a server of some pool.
var foreignEntries = []string{
	`{"Service":"once","Address":%q}`,
	`{"Service":"repeat","Address":%q,"Zone":"d","Version":"v1","Slots":"16","State":"ready","ColdRemainingMs":0,"Seq":1}`,
	`{"Service":"llm","Address":%q,"Zone":"d","Version":"v1","Slots":16,"State":"resting","ColdRemainingMs":0,"Seq":1,"Stage":"decode"}`,
	"\x00\xff%q",
}

// writeForeignEntry writes a value that describes no server, either under a key of its own or
// over a server's entry, which the server's next heartbeat restores.
func (s *site) writeForeignEntry(slot *serverSlot, step Step) {
	server, link := slot.current()
	entry := fmt.Sprintf(foreignEntries[step.Variant%len(foreignEntries)], link.Address())
	s.writeEntry(slot, step, server.ID, entry)
}

// writeEntry writes an entry under a key of its own or over that of a server.
func (s *site) writeEntry(slot *serverSlot, step Step, server, entry string) {
	key := fmt.Sprintf("foreign-%d", step.Variant)
	if step.Target%2 == 0 {
		key = server
		end := s.faults.begin(serversSubject(slot.pool))
		time.AfterFunc(ticksPerHeartbeat*relistInterval+settleDelay, end)
	}
	s.store.Put("keyed.servers", key, []byte(entry))
}

func (s *site) unlist(id string) {
	s.store.Deregister(id)
	s.oracle.serverRemoved(id)
}

// otherSlot returns a slot of another pool with its replacing mutex locked, or nil if the slot
// is of the same pool or is being replaced.
func (s *site) otherSlot(slot *serverSlot, variant int) *serverSlot {
	other := s.slotFor(variant)
	if other.pool == slot.pool || !other.replacing.TryLock() {
		return nil
	}
	return other
}

// stopServer stops a slot's server; its entry expires later.
func (s *site) stopServer(slot *serverSlot) {
	old, link := slot.current()
	old.Close()
	s.retire(old, link)
	time.AfterFunc(entryExpiry, func() { s.unlist(old.ID) })
}

// startReplacement starts a slot's next server. If that fails, the plan can't go on; the panic
// keeps this from being mistaken for a broken promise of the system.
func (s *site) startReplacement(slot *serverSlot) {
	if err := s.startServer(slot); err != nil {
		panic(err)
	}
}

// drainServer marks a server as draining, and replaces it after drainTime.
func (s *site) drainServer(slot *serverSlot) {
	old, link := slot.current()
	s.store.Register(old, slot.pool, link.Address(), true)
	s.oracle.serverDraining(old.ID)
	time.Sleep(drainTime)
	end := s.faults.begin(serversSubject(slot.pool))
	s.unlist(old.ID)
	s.startReplacement(slot)
	old.Close()
	s.retire(old, link)
	time.AfterFunc(settleDelay, end)
}
