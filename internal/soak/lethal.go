package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/platform/standin"
)

const (
	// lethalPrefix begins the bodies of requests that crash each server that runs them.
	lethalPrefix = "lethal"
	// lethalCrashes is the number of crashes after which such a request must be refused, from
	// refusalNotice later on but for maxLethalArrivals.
	lethalCrashes = 3
	// partCrashes is the same of requests with a part of prompts that crashes engines.
	partCrashes       = 5
	refusalNotice     = 3 * time.Second
	maxLethalArrivals = 3
	// lethalInterval is the time between two copies of a lethal request. Up to maxFirstCopies go to one
	// daemon until it has crashed enough servers, and lateCopies to all daemons after refusalNotice.
	lethalInterval = 150 * time.Millisecond
	maxFirstCopies = 20
	lateCopies     = 20
	// crashDowntime is how long a crashed server is down. With requests that come in waves, a whole
	// generation of servers is down until copies count.
	crashDowntime      = 300 * time.Millisecond
	generationDowntime = refusalNotice + 500*time.Millisecond
	// lethalRun is how long a lethal request runs.
	lethalRun = 20 * time.Millisecond
	// wavePrefix begins, after lethalPrefix, the bodies of requests that come in waves.
	wavePrefix = "-wave"
)

// lethalParts are IDs of parts of prompts that crash each engine that answers one.
var lethalParts = []string{"dead0", "dead1", "dead2", "dead3"}

// lethalRequest is a request that crashes servers, under different IDs, or all requests with one part.
type lethalRequest struct {
	// maxCrashes is the number of crashes after which it must be refused.
	maxCrashes int
	crashes    int
	// reached counts the copies that reached servers.
	reached int
	// refusedFrom is when it must be refused; zero before it has crashed enough servers.
	refusedFrom time.Time
	arrivals    int
}

// sendLethal sends requests that crash servers, each under an ID of its own: copies of one kind one
// after the other, of two kinds in waves, or different ones that share a part of their prompts.
func (s *site) sendLethal(step Step) {
	if step.Variant%lethalForms == lethalForms-1 {
		s.sendLethalPart(step)
		return
	}
	service := serviceNamed("repeat")
	end := s.faults.begin(serversSubject(service.name))
	defer time.AfterFunc(entryExpiry+settleDelay, end)
	name := fmt.Sprintf("-%d-%d", step.Target, step.Variant)
	key := s.keyFor(step.Variant%organisations, false)
	if step.Variant%lethalForms == 0 {
		s.sendLethalInTurn(newLethalSender(s, service, key, lethalPrefix+name), step.Target)
		return
	}
	var kinds conc.WaitGroup
	for kind := range lethalKinds {
		l := newLethalSender(s, service, key, fmt.Sprint(lethalPrefix, wavePrefix, name, "-", kind))
		kinds.Go(func() { s.sendLethalInWaves(l) })
	}
	kinds.Wait()
}

// lethalForms is the number of forms of requests that crash servers.
const lethalForms = 3

// sendLethalPart sends different requests with one part.
func (s *site) sendLethalPart(step Step) {
	service := serviceNamed("llm")
	end := s.faults.begin(serversSubject(service.name))
	defer time.AfterFunc(entryExpiry+settleDelay, end)
	l := newLethalSender(s, service, s.keyFor(step.Variant%organisations, false), lethalParts[step.Target%len(lethalParts)])
	l.client.Body, l.client.SharedPart = "", l.name
	s.sendLethalInTurn(l, step.Target)
}

func serviceNamed(name string) service {
	return services[slices.IndexFunc(services, func(v service) bool { return v.name == name })]
}

// lethalKinds is the number of kinds of requests that come in waves.
const lethalKinds = 2

// sendLethalInTurn sends copies to one daemon, and to all once they must refuse it.
func (s *site) sendLethalInTurn(l *lethalSender, first int) {
	defer l.client.Close()
	for range maxFirstCopies {
		l.send(s.daemons[first%len(s.daemons)])
		time.Sleep(lethalInterval)
		if s.oracle.mustBeRefused(l.name) {
			break
		}
	}
	time.Sleep(refusalNotice)
	for i := range lateCopies {
		l.send(s.daemons[i%len(s.daemons)])
		time.Sleep(lethalInterval)
	}
}

// sendLethalInWaves sends copies to all daemons at once, and again to the servers that replace the
// crashed ones.
func (s *site) sendLethalInWaves(l *lethalSender) {
	defer l.client.Close()
	l.sendToAll(s.daemons)
	time.Sleep(generationDowntime)
	for range lateCopies {
		l.sendToAll(s.daemons)
		time.Sleep(lethalInterval)
	}
}

// lethalSender sends copies of one request that crashes servers.
type lethalSender struct {
	// name is the body or the part of all.
	name    string
	site    *site
	service service
	key     *accessKey
	client  *standin.Caller
	sent    atomic.Int32
}

func newLethalSender(s *site, service service, key *accessKey, body string) *lethalSender {
	l := &lethalSender{name: body, site: s, service: service, key: key, client: standin.NewCaller()}
	l.client.Body, l.client.Key = body, key.text
	return l
}

// send sends one copy to a daemon and waits for its end.
func (l *lethalSender) send(d *daemon) {
	id := fmt.Sprintf("%s-%d-%d", l.name, time.Now().UnixNano(), l.sent.Add(1))
	l.site.oracle.sentLethal(id, l.name, l.service, l.key, d.number)
	ctx, cancel := context.WithTimeout(context.Background(), l.service.deadline+callerTimeoutSlack)
	defer cancel()
	l.client.Send(ctx, d.config.Callers(), l.service.name, id, l.service.deadline, l.service.stream, func() {})
}

func (l *lethalSender) sendToAll(daemons []*daemon) {
	var copies conc.WaitGroup
	for _, d := range daemons {
		copies.Go(func() { l.send(d) })
	}
	copies.Wait()
}

// serverCrashed replaces a server that a request has crashed. Nothing listens at its address
// meanwhile.
func (s *site) serverCrashed(server *standin.Server, body string) {
	s.oracle.lethalCrash(body)
	downtime := crashDowntime
	if strings.HasPrefix(body, lethalPrefix+wavePrefix) {
		downtime = generationDowntime
	}
	s.replaceCrashed(server, downtime)
}

func (o *oracle) sentLethal(id, body string, s service, key *accessKey, daemon int) {
	o.sent(id, s, key, daemon)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id].lethal = body
	if o.lethal[body] == nil {
		o.lethal[body] = &lethalRequest{maxCrashes: lethalCrashes}
		if s.stream {
			o.lethal[body].maxCrashes = partCrashes
		}
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
	if l.crashes++; l.crashes == l.maxCrashes {
		l.refusedFrom = time.Now().Add(refusalNotice)
	}
}

// checkLethal reports lethal requests that reach servers although they must be refused, from daemons
// that weren't disturbed for a while.
func (o *oracle) checkLethal(v standin.RequestInfo, q *request, now time.Time) {
	l := o.lethal[q.lethal]
	if l == nil {
		return
	}
	if l.reached++; l.reached == lethalCrashes && l.maxCrashes == lethalCrashes && l.refusedFrom.IsZero() {
		l.refusedFrom = now.Add(refusalNotice)
	}
	if l.refusedFrom.IsZero() || q.sentAt.Before(l.refusedFrom) {
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
