package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"tamarackchute/platform/standin"
)

const (
	// lethalPrefix begins the bodies of requests that crash each server that runs them.
	lethalPrefix = "lethal"
	// lethalCrashes is the number of crashes after which such a request must be refused, from
	// refusalNotice later on but for maxLethalArrivals.
	lethalCrashes     = 3
	refusalNotice     = 3 * time.Second
	maxLethalArrivals = 3
	// lethalInterval is the time between two copies of a lethal request. Up to maxFirstCopies go to one
	// daemon until it has crashed enough servers, and lateCopies to all daemons after refusalNotice.
	lethalInterval = 150 * time.Millisecond
	maxFirstCopies = 20
	lateCopies     = 20
	// crashDowntime is how long a crashed server is down.
	crashDowntime = 300 * time.Millisecond
)

// lethalRequest is a request that crashes servers, under different IDs.
type lethalRequest struct {
	crashes int
	// refusedFrom is when it must be refused; zero before it has crashed enough servers.
	refusedFrom time.Time
	arrivals    int
}

// sendLethal sends copies of a request that crashes servers, each under an ID of its own: to one
// daemon, and to all once they must refuse it.
func (s *site) sendLethal(step Step) {
	service := services[slices.IndexFunc(services, func(v service) bool { return v.name == "repeat" })]
	end := s.faults.begin(serversSubject(service.name))
	defer time.AfterFunc(entryExpiry+settleDelay, end)
	client := standin.NewCaller()
	defer client.Close()
	client.Body = fmt.Sprintf("%s-%d-%d", lethalPrefix, step.Target, step.Variant)
	key := s.keyFor(step.Variant%organisations, false)
	client.Key = key.text
	sent := 0
	send := func(d *daemon) {
		sent++
		id := fmt.Sprintf("%s-%d", client.Body, sent)
		s.oracle.sentLethal(id, client.Body, service, key, d.number)
		ctx, cancel := context.WithTimeout(context.Background(), service.deadline+callerTimeoutSlack)
		defer cancel()
		client.Send(ctx, d.config.Callers(), service.name, id, service.deadline, false, func() {})
		time.Sleep(lethalInterval)
	}
	for range maxFirstCopies {
		send(s.daemons[step.Target%len(s.daemons)])
		if s.oracle.mustBeRefused(client.Body) {
			break
		}
	}
	time.Sleep(refusalNotice)
	for i := range lateCopies {
		send(s.daemons[i%len(s.daemons)])
	}
}

// serverCrashed replaces a server that a request has crashed. Nothing listens at its address
// meanwhile.
func (s *site) serverCrashed(server *standin.Server, body string) {
	s.oracle.lethalCrash(body)
	for _, slot := range s.slots {
		if current, link := slot.current(); current == server {
			link.Pause()
			time.Sleep(crashDowntime)
			link.Resume()
			slot.replacing.Lock()
			defer slot.replacing.Unlock()
			if current, _ = slot.current(); current == server {
				s.stopServer(slot)
				s.startReplacement(slot)
			}
			return
		}
	}
}

func (o *oracle) sentLethal(id, body string, s service, key *accessKey, daemon int) {
	o.sent(id, s, key, daemon)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id].lethal = body
	if o.lethal[body] == nil {
		o.lethal[body] = &lethalRequest{}
	}
}

// mustBeRefused reports whether a request has crashed enough servers.
func (o *oracle) mustBeRefused(body string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.lethal[body].refusedFrom.IsZero()
}

func (o *oracle) lethalCrash(body string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts["servers crashed by a request"]++
	l := o.lethal[body]
	if l.crashes++; l.crashes == lethalCrashes {
		l.refusedFrom = time.Now().Add(refusalNotice)
	}
}

// checkLethal reports lethal requests that reach servers although they must be refused, from daemons
// that weren't disturbed for a while.
func (o *oracle) checkLethal(v standin.RequestInfo, q *request, now time.Time) {
	l := o.lethal[q.lethal]
	if l == nil || l.refusedFrom.IsZero() || q.sentAt.Before(l.refusedFrom) {
		return
	}
	if !o.faults.undisturbed(now.Add(-refusalNotice), now, subjectMachine, daemonSubject(q.sender), pauseSubject(q.sender)) {
		return
	}
	if l.arrivals++; l.arrivals > maxLethalArrivals {
		o.violate(LethalRefused, "%s reached %s from daemon %d, the %dth time since it had to be refused; it crashed %d servers",
			v.ID, v.Server, q.sender, l.arrivals, l.crashes)
	}
}
