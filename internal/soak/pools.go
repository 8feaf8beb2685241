package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/platform/standin"
)

const (
	// All servers of a pool that fails fail failingShare of their requests.
	failingShare = 0.4
	// From failingNotice after servers begin to fail, or daemons have returned, at least leastServed of the
	// requests to daemons in touch are answered, of at least minAsked.
	failingNotice = 4 * time.Second
	failingWindow = 2 * time.Second
	leastServed   = 0.25
	minAsked      = 20
	// resumedStreams streams are taken up after all daemons have died, each after resumedFrom events.
	resumedStreams, resumedFrom = 12, 4
)

// shareFaults are the ways in which servers fail a share of their requests, all of which have run: the
// usage of one that is lost before it runs isn't known to a daemon.
var shareFaults = []standin.Fault{standin.DropsResponse, standin.InternalError}

// failShareOfPool lets all servers of a service fail a share of their requests, and kills all
// daemons meanwhile. The pool must be used before and after that.
func (s *site) failShareOfPool(step Step) {
	v := services[step.Target%len(services)]
	if v.name == versionService {
		return
	}
	sound := s.faults.undisturbed(time.Now().Add(-settleDelay), time.Now(), serversSubject(v.name))
	defer s.faults.begin(serversSubject(v.name))()
	began := time.Now()
	for i, slot := range s.slots {
		if slot.pool != v.name {
			continue
		}
		server, _ := slot.current()
		server.FailShare(shareFaults[step.Variant%len(shareFaults)], failingShare, uint64(step.Variant+i))
		defer server.FailAll(standin.NoFault)
	}
	ask := func(when string) {
		time.Sleep(failingNotice)
		from := time.Now()
		asked, served := s.askPool(v, fmt.Sprintf("share-%d-%d-%s", step.Target, step.Variant, when))
		if sound && asked >= minAsked && float64(served) < leastServed*float64(asked) && !s.faults.began(began, time.Now(), serversSubject(v.name)) {
			s.oracle.report(PoolUsed, "%d of %d requests to %s were served %s, from %s on", served, asked, v.name, when, formatTime(from))
		}
	}
	ask("before")
	s.restartAll(step.For)
	ask("after")
}

// askPool sends requests of a service to all daemons for a while. It returns how many were sent to daemons in
// touch, and how many of these were served.
func (s *site) askPool(v service, name string) (asked, served int) {
	var mu sync.Mutex
	var callers conc.WaitGroup
	until := time.Now().Add(failingWindow)
	for _, d := range s.daemons {
		callers.Go(func() {
			var sends conc.WaitGroup
			for i := 0; time.Now().Before(until); i++ {
				sends.Go(func() {
					sentAt := time.Now()
					reply := s.askDaemon(d, v, fmt.Sprintf("%s-%d-%d", name, d.number, i))
					if !s.inTouchSince(d, sentAt.Add(-cutNotice)) {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					asked++
					if reply.Status == http.StatusOK {
						served++
					}
				})
				time.Sleep(askInterval)
			}
			sends.Wait()
		})
	}
	callers.Wait()
	return asked, served
}

// inTouchSince reports whether a daemon has been undisturbed since a time, its path to servers included.
func (s *site) inTouchSince(d *daemon, since time.Time) bool {
	return s.faults.undisturbed(since, time.Now(), subjectMachine, subjectStore, daemonSubject(d.number), stopSubject(d.number),
		pauseSubject(d.number), storeLinkSubject(d.number), pathSubject(d.number))
}

// oddEntries are entries of servers with one field out of range. The address is that of a server.
var oddEntries = []string{
	`{"Service":%q,"Address":%q,"Zone":"d","Version":"v1","Slots":9223372036854775807,"State":"ready","Stage":"","ColdRemainingMs":0,"Seq":0}`,
	`{"Service":%q,"Address":%q,"Zone":"d","Version":"v1","Slots":16,"State":"ready","Stage":"","ColdRemainingMs":0,"Seq":1e308}`,
	`{"Service":%q,"Address":%q,"Zone":"d","Version":"v1","Slots":16,"State":"ready","Stage":"","ColdRemainingMs":0,"Seq":0,"born":9223372036854775808}`,
	`{"Service":%q,"Address":"%s1234567","Zone":"d","Version":"v1","Slots":16,"State":"ready","Stage":"","ColdRemainingMs":0,"Seq":0}`,
	`{"Service":%q,"Address":%q,"Zone":"d","Version":"v1","Slots":[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]],"State":"ready","ColdRemainingMs":0,"Seq":0}`,
}

// writeOddEntry writes an entry out of range, which the server's next heartbeat restores.
func (s *site) writeOddEntry(slot *serverSlot, step Step) {
	server, link := slot.current()
	s.writeEntry(slot, step, server.ID, fmt.Sprintf(oddEntries[step.Variant%len(oddEntries)], slot.pool, link.Address()))
}

// cutHeads makes a server break off its responses in their heads for a while.
func (s *site) cutHeads(slot *serverSlot, step Step) {
	end := s.faults.begin(serversSubject(slot.pool))
	server, _ := slot.current()
	server.FailAll(standin.CutsHead)
	time.Sleep(step.For)
	server.FailAll(standin.NoFault)
	time.AfterFunc(settleDelay, end)
}

// resumeAfterDeath lets callers leave streams, kills all daemons, and lets the callers take the streams up.
func (s *site) resumeAfterDeath(step Step) {
	name := fmt.Sprintf("resume-%d-%d", step.Target, step.Variant)
	v := services[2]
	left := make([]standin.Reply, resumedStreams)
	var callers conc.WaitGroup
	for i := range left {
		callers.Go(func() { left[i] = s.leaveStream(s.daemons[i%len(s.daemons)], v, fmt.Sprint(name, "-", i)) })
	}
	callers.Wait()
	s.restartAll(step.For)
	time.Sleep(settleDelay) // streams may be taken up for longer
	for i, begun := range left {
		if len(begun.Events) == 0 || len(begun.Events) == streamEvents {
			continue
		}
		callers.Go(func() {
			client := standin.NewCaller()
			client.Resumes, client.AfterEvent = fmt.Sprint(name, "-", i), len(begun.Events)
			id := client.Resumes + "-again"
			s.askDaemonBy(client, s.daemons[(i+1)%len(s.daemons)], v, id, func() { s.oracle.resumes(id, len(begun.Events), begun.Versions) })
		})
	}
	callers.Wait()
}

// leaveStream begins a stream and leaves after some events.
func (s *site) leaveStream(d *daemon, v service, id string) standin.Reply {
	client := standin.NewCaller()
	defer client.Close()
	key := s.keyFor(d.number%organisations, false)
	client.Key = key.text
	launch := d.currentLaunch()
	s.oracle.sent(id, v, key, d.number)
	ctx, cancel := context.WithTimeout(context.Background(), v.deadline+callerTimeoutSlack)
	defer cancel()
	events := 0
	reply := client.Send(ctx, d.config.Callers(), v.name, id, v.deadline, true, func() {
		if events++; events == resumedFrom {
			s.oracle.callerClosed(id)
			cancel()
		}
	})
	s.oracle.answered(id, launch, reply)
	if reply.Err != nil && !nothingSent(reply.Err) {
		s.checkLostConnection(d, launch, id, reply)
	}
	return reply
}
