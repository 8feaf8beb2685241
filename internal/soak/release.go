package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/platform/standin"
)

const (
	// releasePools is the number of pools in which a software version joins another one. Each has
	// releaseServers of the first version, and gets releaseJoiners of the second.
	releasePools, releaseServers, releaseJoiners = 3, 2, 4
	firstVersion, secondVersion                  = "v1", "v2"
	// outOfStepForms is the number of forms in which a daemon is out of step.
	outOfStepForms = 3
	releasePrefix  = "release"
	// joinNotice is how long daemons in touch take to use servers that join.
	joinNotice = 800 * time.Millisecond
	// queueTime is how long requests wait at a daemon that stands still.
	queueTime = 100 * time.Millisecond
	// releasedStreams begin at other daemons meanwhile. Of at least minTakenUp that are taken up again,
	// leastGoingOn must go on.
	releasedStreams = 24
	minTakenUp      = 12
	leastGoingOn    = 0.5
)

// release joins a second software version to pools of one version.
type release struct {
	// running is held by the step in progress.
	running sync.Mutex
	steps   int
	joined  []*serverSlot
}

// releaseService returns the service of a pool in which versions join.
func releaseService(i int) service {
	return service{name: fmt.Sprint(releasePrefix, i%releasePools), stream: true, kind: standin.Streaming, servers: releaseServers, deadline: 6 * time.Second}
}

// addReleasePools starts the servers of the first version.
func (s *site) addReleasePools() error {
	for i := range releasePools {
		for range releaseServers {
			slot := &serverSlot{pool: releaseService(i).name, version: firstVersion}
			s.slots = append(s.slots, slot)
			if err := s.startServer(slot); err != nil {
				return err
			}
		}
	}
	return nil
}

// joinVersion lets a version join a pool while a daemon is out of step. Streams that begin at the new version
// by way of other daemons are taken up at this one, whose belief in a sole version is outdated.
func (s *site) joinVersion(step Step) {
	if !s.release.running.TryLock() {
		return
	}
	defer s.release.running.Unlock()
	v := releaseService(s.release.steps)
	s.release.steps++
	name := fmt.Sprintf("join-%d-%d", step.Target, step.Variant)
	started := time.Now()
	still := s.daemons[step.Target%len(s.daemons)]
	resume := s.putOutOfStep(still, step)
	leave := s.join(v)
	time.Sleep(joinNotice)
	begun := s.leaveStreams(v, name, still)
	time.AfterFunc(max(queueTime, step.For-time.Since(started)), resume)
	taken, wentOn := s.takeUpAll(v, name, still, begun)
	leave()
	s.checkGoingOn(v, still, started, taken, wentOn)
}

// putOutOfStep makes a daemon stand still, or in one of outOfStepForms cuts it off from the store. It returns
// what ends that.
func (s *site) putOutOfStep(d *daemon, step Step) (end func()) {
	if step.Variant%outOfStepForms < outOfStepForms-1 {
		return d.suspend()
	}
	ended := s.faults.begin(storeLinkSubject(d.number))
	s.links[d.number].SetMode(ModeStall)
	return func() {
		s.links[d.number].SetMode(ModePass)
		time.AfterFunc(settleDelay, ended)
	}
}

// join starts the servers of the second version, and returns what removes them.
func (s *site) join(v service) (leave func()) {
	var slots []*serverSlot
	for range releaseJoiners {
		slot := &serverSlot{pool: v.name, version: secondVersion}
		link, number := s.takeLink()
		// Of upstreams that are alike, daemons choose the one whose ID comes first.
		if err := s.startWithID(slot, fmt.Sprintf("joined-%s-%d", v.name, number), link); err != nil {
			panic(err)
		}
		slots = append(slots, slot)
	}
	s.setJoined(slots)
	return func() {
		s.setJoined(nil)
		for _, slot := range slots {
			server, link := slot.current()
			s.unlist(server.ID)
			server.Close()
			s.retire(server, link)
		}
	}
}

func (s *site) setJoined(slots []*serverSlot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release.joined = slots
}

// joined returns the servers that have joined.
func (s *site) joined() []*serverSlot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.release.joined
}

// leaveStreams begins streams at all daemons but one, and leaves each after some events.
func (s *site) leaveStreams(v service, name string, except *daemon) []standin.Reply {
	begun := make([]standin.Reply, releasedStreams)
	var callers conc.WaitGroup
	for i := range begun {
		d := s.daemons[i%len(s.daemons)]
		if d != except {
			callers.Go(func() { begun[i] = s.leaveStream(d, v, fmt.Sprint(name, "-", i)) })
		}
	}
	callers.Wait()
	return begun
}

// takeUpAll takes streams up at a daemon. It returns how many were, and how many went on to their end.
func (s *site) takeUpAll(v service, name string, d *daemon, begun []standin.Reply) (taken, wentOn int) {
	var mu sync.Mutex
	var callers conc.WaitGroup
	for i, stream := range begun {
		if len(stream.Events) == 0 || len(stream.Events) == streamEvents {
			continue
		}
		taken++
		s.oracle.count("streams taken up of version "+stream.Versions[0], 1)
		callers.Go(func() {
			client := standin.NewCaller()
			client.Resumes, client.AfterEvent = fmt.Sprint(name, "-", i), len(stream.Events)
			id := client.Resumes + "-again"
			reply := s.askDaemonBy(client, d, v, id, func() { s.oracle.resumes(id, len(stream.Events), stream.Versions) })
			mu.Lock()
			defer mu.Unlock()
			if reply.Status == http.StatusOK && reply.Err == nil {
				wentOn++
			}
		})
	}
	callers.Wait()
	return taken, wentOn
}

// checkGoingOn reports streams that were refused though servers of their version serve.
func (s *site) checkGoingOn(v service, still *daemon, since time.Time, taken, wentOn int) {
	subjects := []string{subjectMachine, subjectStore, serversSubject(v.name)}
	for _, d := range s.daemons {
		if d != still {
			subjects = append(subjects, daemonSubject(d.number), stopSubject(d.number), pathSubject(d.number), storeLinkSubject(d.number))
		}
	}
	subjects = append(subjects, stopSubject(still.number), pathSubject(still.number))
	s.oracle.count("streams taken up at daemons out of step", taken)
	s.oracle.count("streams that went on at daemons out of step", wentOn)
	if taken >= minTakenUp && float64(wentOn) < leastGoingOn*float64(taken) && s.faults.undisturbed(since, time.Now(), subjects...) {
		s.oracle.report(StreamsGoOn, "%d of %d streams of %s went on at daemon %d, which was out of step from %s on", wentOn, taken, v.name, still.number, formatTime(since))
	}
}

// count adds to the count of cases that the checks covered.
func (o *oracle) count(what string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[what] += n
}

// suspend stops the process with SIGSTOP, and returns what lets it go on.
func (d *daemon) suspend() (resume func()) {
	ends := []func(){d.faults.begin(daemonSubject(d.number)), d.faults.begin(pauseSubject(d.number))}
	d.signal(syscall.SIGSTOP)
	return func() {
		d.signal(syscall.SIGCONT)
		// The process first catches up on the work that the pause delayed.
		time.AfterFunc(startupGrace, func() {
			for _, end := range ends {
				end()
			}
		})
	}
}
