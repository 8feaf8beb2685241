package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/platform/standin"
)

const (
	// momentServers serve a request that many callers send. It runs for momentRun; momentCrashes of the
	// servers crash when momentCopies of it have run for momentNotice.
	momentServers, momentCrashes, momentCopies = 8, 4, 32
	momentRun                                  = 600 * time.Millisecond
	momentNotice                               = 200 * time.Millisecond
	// momentAsks requests are sent to each daemon after that, of which leastServed must be served.
	momentAsks = 6
	// hostServers serve each of two hosts, hostPairs pairs of requests with one path are sent to both.
	hostServers, hostPairs = 4, 30
	hostPath               = "/status/x"
)

// momentService is the service whose servers crash at one moment.
var momentService = service{name: "moment", kind: standin.Idempotent, servers: momentServers, deadline: 3 * time.Second}

// hostServices are the services of two hosts with the same paths. The first one's servers crash under some requests.
var hostServices = []service{
	{name: "north", kind: standin.Idempotent, servers: hostServers, deadline: 3 * time.Second},
	{name: "south", kind: standin.Idempotent, servers: hostServers, deadline: 3 * time.Second},
}

// moments are the steps about crashes at one moment. Each kind of them runs one at a time.
type moments struct{ crashing, hosts sync.Mutex }

// momentRules returns the rules of these services.
func momentRules() []standin.Service {
	rules := []standin.Service{{Name: momentService.name, Kind: momentService.kind, Attempts: 3, Timeout: momentService.deadline, Public: true}}
	for _, v := range hostServices {
		rules = append(rules, standin.Service{
			Name: v.name, Host: hostNameOf(v), Path: strings.TrimSuffix(hostPath, "x"), Kind: v.kind, Attempts: 3, Timeout: v.deadline, Public: true,
		})
	}
	return rules
}

func hostNameOf(v service) string { return v.name + ".example" }

// addMomentServers starts the servers.
func (s *site) addMomentServers() error {
	for range momentServers {
		if err := s.addMomentServer(&serverSlot{pool: momentService.name, runTime: momentRun}); err != nil {
			return err
		}
	}
	for i, v := range hostServices {
		for range hostServers {
			if err := s.addMomentServer(&serverSlot{pool: v.name, sound: i > 0}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *site) addMomentServer(slot *serverSlot) error {
	s.slots = append(s.slots, slot)
	return s.startServer(slot)
}

// crashAtOnce crashes servers at one moment that all run a request which many callers send, and which was
// answered before. It must be served afterwards.
func (s *site) crashAtOnce(step Step) {
	if !s.moments.crashing.TryLock() {
		return
	}
	defer s.moments.crashing.Unlock()
	began := time.Now()
	end := s.faults.begin(serversSubject(momentService.name))
	defer time.AfterFunc(entryExpiry+settleDelay, end)
	name := fmt.Sprintf("moment-%d-%d", step.Target, step.Variant)
	s.askMoment(name, "before", len(s.daemons))
	crashed := time.AfterFunc(momentNotice, func() { s.crashMoment() })
	defer crashed.Stop()
	s.askMoment(name, "during", momentCopies)
	time.Sleep(crashDowntime + entryExpiry)
	asked, served := 0, 0
	for range momentAsks {
		a, ok := s.askMoment(name, fmt.Sprint("after-", asked), len(s.daemons))
		asked, served = asked+a, served+ok
	}
	s.oracle.count("requests after a crash of many servers", asked)
	for _, d := range s.daemons {
		if !s.inTouchSince(d, began) {
			return
		}
	}
	if float64(served) < leastServed*float64(asked) {
		s.oracle.report(CommonServed, "%d of %d requests were served that were answered before %d servers crashed, from %s on", served, asked, momentCrashes, formatTime(began))
	}
}

// askMoment sends the common request to all daemons in turn, all at once. It returns how many were sent and served.
func (s *site) askMoment(name, when string, copies int) (asked, served int) {
	var mu sync.Mutex
	var callers conc.WaitGroup
	for i := range copies {
		callers.Go(func() {
			client := standin.NewCaller()
			client.Body = name
			id := fmt.Sprintf("%s-%s-%d", name, when, i)
			reply := s.askDaemonBy(client, s.daemons[i%len(s.daemons)], momentService, id, func() { s.oracle.has(id, name) })
			mu.Lock()
			defer mu.Unlock()
			if asked++; reply.Status == http.StatusOK {
				served++
			}
		})
	}
	callers.Wait()
	return asked, served
}

// crashMoment crashes servers at one moment.
func (s *site) crashMoment() {
	var crashed []*standin.Server
	for _, slot := range s.slots {
		if server, _ := slot.current(); slot.pool == momentService.name && len(crashed) < momentCrashes {
			crashed = append(crashed, server)
		}
	}
	for _, server := range crashed {
		server.Crash()
		go s.replaceCrashed(server, crashDowntime)
	}
}

// sendToTwoHosts sends a request that crashes the servers of one host, and then the same to another host, where it
// must be served; and another such request to both by turns: the answers at one host don't clear it at the other.
func (s *site) sendToTwoHosts(step Step) {
	if !s.moments.hosts.TryLock() {
		return
	}
	defer s.moments.hosts.Unlock()
	began := time.Now()
	end := s.faults.begin(serversSubject(hostServices[0].name))
	defer time.AfterFunc(entryExpiry+settleDelay, end)
	lethal := s.newHostSender(step, "first")
	for i := 0; i < maxFirstCopies && (i == 0 || !s.oracle.mustBeRefused(lethal.name)); i++ {
		lethal.send(s.daemons[(step.Target+i)%len(s.daemons)])
		time.Sleep(lethalInterval)
	}
	time.Sleep(refusalNotice)
	for i := range maxLethalArrivals { // which reach servers only if fewer than three have crashed
		lethal.send(s.daemons[i%len(s.daemons)])
		time.Sleep(lethalInterval)
	}
	s.checkOtherHost(lethal, began)
	lethal.client.Close()
	lethal = s.newHostSender(step, "turns")
	defer lethal.client.Close()
	for i := range hostPairs {
		d := s.daemons[(step.Target+i)%len(s.daemons)]
		lethal.send(d)
		s.askOtherHost(d, lethal.key, lethal.name, i)
		time.Sleep(lethalInterval)
	}
}

func (s *site) newHostSender(step Step, name string) *lethalSender {
	body := fmt.Sprintf("%s-host-%d-%d-%s", lethalPrefix, step.Target, step.Variant, name)
	l := newLethalSender(s, hostServices[0], s.keyFor(step.Variant%organisations, false), body)
	l.client.Host, l.client.Path = hostNameOf(hostServices[0]), hostPath
	return l
}

// askOtherHost sends a request to the host whose servers are sound, and reports whether it was served.
func (s *site) askOtherHost(d *daemon, key *accessKey, body string, n int) bool {
	client := standin.NewCaller()
	client.Body, client.Host, client.Path = body, hostNameOf(hostServices[1]), hostPath
	id := fmt.Sprint(body, "-sound-", n)
	return s.askDaemonWith(client, key, d, hostServices[1], id, func() { s.oracle.has(id, body) }).Status == http.StatusOK
}

// checkOtherHost reports requests that are refused because equal ones have crashed another host's servers.
func (s *site) checkOtherHost(lethal *lethalSender, began time.Time) {
	asked, served := 0, 0
	for i := range hostPairs {
		d := s.daemons[i%len(s.daemons)]
		sentAt := time.Now()
		ok := s.askOtherHost(d, lethal.key, lethal.name, i)
		if !s.inTouchSince(d, sentAt.Add(-cutNotice)) {
			continue
		}
		if asked++; ok {
			served++
		}
	}
	s.oracle.count("requests with the path of a lethal one at another host", asked)
	if asked >= minAsked && float64(served) < leastServed*float64(asked) &&
		s.faults.undisturbed(began, time.Now(), subjectMachine, subjectStore, serversSubject(hostServices[1].name)) {
		s.oracle.report(OtherHostServed, "%d of %d requests to %s were served, from %s on", served, asked, hostNameOf(hostServices[1]), formatTime(began))
	}
}

// replaceCrashed replaces a server that has crashed. Nothing listens at its address meanwhile.
func (s *site) replaceCrashed(server *standin.Server, downtime time.Duration) {
	for _, slot := range s.slots {
		if current, link := slot.current(); current == server {
			link.Pause()
			time.Sleep(downtime)
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
