package soak

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/platform/standin"
)

const (
	// silentServers serve the service whose servers fall silent: silencedShare or all of them, for
	// minPoolSilence to maxExtraPoolSilence longer.
	silentServers       = 4
	silencedShare       = 0.6
	minPoolSilence      = time.Second
	maxExtraPoolSilence = 300 * time.Millisecond
	// In a step silencesInRow silences come silenceRest apart. The servers fall silent one after another by
	// overlapStep, or all at once. Silences of one server are at least minSilenceRest apart.
	silencesInRow  = 2
	silenceRest    = 1200 * time.Millisecond
	overlapStep    = 300 * time.Millisecond
	minSilenceRest = 500 * time.Millisecond
	// Streams begin for silenceLead before the first silence. A daemon is told to stop stopLead before it.
	silenceLead = 1500 * time.Millisecond
	stopLead    = 700 * time.Millisecond
	// Each daemon gets a stream every silentAskInterval: together they take most of the servers' places.
	silentAskInterval = 100 * time.Millisecond
	// A request that a daemon got later than stopNotice after it was told to stop must end before its exit. An
	// earlier one may be left over if its server is still at work on it in the last part lastOfGrace of the grace.
	stopNotice  = 3 * time.Second
	lastOfGrace = grace / 6
	// silentStreamTime is what a stream takes at most that two silences hit: one that has begun so long before
	// its deadline ends whole.
	silentStreamTime = streamEvents*eventGap + 2*(minPoolSilence+maxExtraPoolSilence) + 400*time.Millisecond
	// timeoutStep is by how much a change of the configuration moves the rule's timeout.
	timeoutStep = time.Millisecond
)

// silentService is the service whose servers fall silent. Nothing else is wrong with them.
var silentService = service{
	name: "silent", stream: true, kind: standin.Streaming, servers: silentServers, deadline: 5 * time.Second,
	objective: streamObjective, gapObjective: streamGapObjective,
}

// silences is what the steps about silent servers share.
type silences struct {
	mu sync.Mutex
	// until is when each server may speak again.
	until map[*standin.Server]time.Time
}

// silentForm is a form of the step. Servers may refuse what goes beyond the places that they list, as real engines
// do, or take it: a request that is refused needs one more of the retries that the budget allows.
type silentForm struct{ all, stop, configure, overlapping, refuse bool }

func silentFormOf(variant int) silentForm {
	return silentForm{all: variant&1 != 0, stop: variant&2 != 0, configure: variant&4 != 0, overlapping: variant&8 != 0, refuse: variant&16 != 0}
}

// silentRule returns the rule of the service, which each configuration changes a little.
func silentRule(published int) standin.Service {
	v := silentService
	return standin.Service{
		Name: v.name, Kind: v.kind, Attempts: 2, Timeout: v.deadline + time.Second + time.Duration(published)*timeoutStep,
		Objective: v.objective, GapObjective: v.gapObjective, Public: true,
	}
}

// addSilentServers starts the servers. One has a version of its own: no other one can go on with its streams.
func (s *site) addSilentServers() error {
	for i := range silentServers {
		slot := &serverSlot{pool: silentService.name, version: firstVersion, sound: true}
		if i == 0 {
			slot.version = secondVersion
		}
		s.slots = append(s.slots, slot)
		if err := s.startServer(slot); err != nil {
			return err
		}
	}
	return nil
}

// silencePool lets servers of a pool fall silent and go on while streams run there, beside a planned stop of a
// daemon, changes of the configuration, or both.
func (s *site) silencePool(step Step) {
	form := silentFormOf(step.Variant)
	end := s.faults.begin(serversSubject(silentService.name))
	defer time.AfterFunc(settleDelay, end)
	if form.refuse {
		defer s.refuseBeyondPlaces()()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var work conc.WaitGroup
	work.Go(func() { s.sendStreams(ctx, fmt.Sprintf("silence-%d-%d", step.Target, step.Variant)) })
	time.Sleep(silenceLead - stopLead)
	if form.stop {
		d := s.daemons[step.Target%len(s.daemons)]
		work.Go(func() {
			d.stop()
			s.restartDaemon(d, step.For)
		})
	}
	time.Sleep(stopLead)
	length := minPoolSilence + time.Duration(step.Target)*time.Millisecond%maxExtraPoolSilence
	for i := range silencesInRow {
		if form.configure {
			s.configureAgain()
		}
		s.silenceServers(form, step.Target+i, length)
		time.Sleep(length + silenceRest)
	}
	cancel()
	work.Wait()
}

// configureAgain publishes a configuration in which only the silent service's rule differs.
func (s *site) configureAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putConfig()
}

// silenceServers makes servers fall silent, from the first one on. It returns once the last one is silent.
func (s *site) silenceServers(form silentForm, first int, length time.Duration) {
	servers := s.silentServers()
	n := len(servers)
	if !form.all {
		n = int(math.Round(silencedShare * float64(n)))
	}
	for i := range n {
		if s.silences.begin(servers[(first+i)%len(servers)], length) {
			s.oracle.count("silences", 1)
		}
		if form.overlapping {
			time.Sleep(overlapStep)
		}
	}
}

func (s *site) silentServers() []*standin.Server {
	var servers []*standin.Server
	for _, slot := range s.slots {
		if slot.pool == silentService.name {
			server, _ := slot.current()
			servers = append(servers, server)
		}
	}
	return servers
}

// refuseBeyondPlaces lets the servers refuse requests beyond the places that they list, until end is called.
func (s *site) refuseBeyondPlaces() (end func()) {
	servers := s.silentServers()
	for _, server := range servers {
		server.SetSlots(standin.Slots)
	}
	return func() {
		for _, server := range servers {
			server.SetSlots(0)
		}
	}
}

// begin makes a server fall silent unless it is, or was a moment ago: no silence is longer than one step's.
func (l *silences) begin(server *standin.Server, length time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.until[server].Add(minSilenceRest)) {
		return false
	}
	if l.until == nil {
		l.until = make(map[*standin.Server]time.Time)
	}
	l.until[server] = now.Add(length)
	server.FallSilent(length)
	return true
}

// sendStreams sends streams to all daemons until ctx ends, and waits for their ends.
func (s *site) sendStreams(ctx context.Context, name string) {
	var callers conc.WaitGroup
	for _, d := range s.daemons {
		callers.Go(func() {
			client := standin.NewCaller()
			defer client.Close()
			key := s.keyFor(d.number%organisations, false)
			client.Key = key.text
			var sends conc.WaitGroup
			for i := 0; ctx.Err() == nil; i++ {
				sends.Go(func() { s.sendStream(client, key, d, fmt.Sprintf("%s-%d-%d", name, d.number, i)) })
				sleepUntil(ctx, time.Now().Add(silentAskInterval))
			}
			sends.Wait()
		})
	}
	callers.Wait()
}

// sendStream sends one stream, and checks its end once it is known whether and how its daemon ended.
func (s *site) sendStream(client *standin.Caller, key *accessKey, d *daemon, id string) {
	reply, endedAt, launch := s.askForStream(client, key, d, silentService, id)
	if reply.Err != nil && nothingSent(reply.Err) {
		return
	}
	s.pendingChecks.Go(func() {
		time.Sleep(exitSlack)
		exit := d.awaitExit(launch)
		if reply.Status == 0 && exit.toldAt.IsZero() {
			s.oracle.connectionLost(id, reply, endedAt, exit)
		}
		s.oracle.silentStreamEnded(id, reply, endedAt, exit)
	})
}

// askForStream sends one stream to a process of a daemon, and returns its end and the process.
func (s *site) askForStream(client *standin.Caller, key *accessKey, d *daemon, v service, id string) (reply standin.Reply, endedAt time.Time, launch int) {
	launch = d.currentLaunch()
	s.oracle.sent(id, v, key, d.number)
	ctx, cancel := context.WithTimeout(context.Background(), v.deadline+callerTimeoutSlack)
	defer cancel()
	reply = client.Send(ctx, d.config.Callers(), v.name, id, v.deadline, true, func() {})
	endedAt = time.Now()
	s.oracle.answered(id, launch, reply)
	return reply, endedAt, launch
}

// silentStreamEnded checks the end of a stream whose servers fell silent, but for that were sound.
func (o *oracle) silentStreamEnded(id string, r standin.Reply, endedAt time.Time, exit processExit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[id]
	beside := !exit.toldAt.IsZero() && endedAt.After(exit.toldAt)
	if beside {
		o.counts["streams that ended at a daemon told to stop"]++
	}
	whole := r.Status == http.StatusOK && r.Err == nil && len(r.Events) == streamEvents
	if whole || o.disturbedOnItsWay(q, endedAt, exit) {
		return
	}
	late := !endedAt.Before(q.sentAt.Add(q.service.deadline))
	switch {
	case beside && (late || r.Status == http.StatusServiceUnavailable || q.mayBeLeftOver(exit)):
	case beside:
		o.violate(StopEndsWhole, "%s at daemon %d ended after %v: %v; told to stop %s, sent %s, at work until %s, process ended %s",
			id, q.daemon, endedAt.Sub(q.sentAt), r, formatTime(exit.toldAt), formatTime(q.sentAt), formatTime(q.lastEndAt), formatTime(exit.at))
	case len(r.Events) > 0 && (!late || o.hadTime(q, r, endedAt)):
		o.violate(StreamsOutlastSilence, "%s at daemon %d ended after %v: %v; sent %s, by daemons %v",
			id, q.daemon, endedAt.Sub(q.sentAt), r, formatTime(q.sentAt), q.senders)
	}
}

// hadTime reports whether a stream that was at its deadline had begun early enough to end whole before.
func (o *oracle) hadTime(q *request, r standin.Reply, endedAt time.Time) bool {
	return r.FirstEventAt.Before(q.sentAt.Add(q.service.deadline-silentStreamTime)) && o.faults.undisturbed(q.sentAt, endedAt, subjectMachine)
}

// disturbedOnItsWay reports whether a daemon on a request's way was killed, cut off or frozen. If no server was
// reached, any daemon may have been on it.
func (o *oracle) disturbedOnItsWay(q *request, endedAt time.Time, exit processExit) bool {
	if exit.killed {
		return true
	}
	daemons := append(slices.Clone(q.senders), q.daemon)
	if len(q.senders) == 0 {
		daemons = o.daemonNumbers
	}
	return slices.ContainsFunc(daemons, func(daemon int) bool {
		return !o.faults.undisturbed(q.sentAt, endedAt.Add(exitSlack), killSubject(daemon), pauseSubject(daemon), pathSubject(daemon))
	})
}

// mayBeLeftOver reports whether a daemon that stops may leave a request over.
func (q *request) mayBeLeftOver(exit processExit) bool {
	if q.arrivals+q.prefills == 0 && q.sentAt.After(exit.at.Add(-exitSlack)) {
		return true // it crossed the exit unread
	}
	atWork := q.active > 0 || !q.lastEndAt.Before(exit.toldAt.Add(grace-lastOfGrace))
	return q.sentAt.Before(exit.toldAt.Add(stopNotice)) && atWork
}
