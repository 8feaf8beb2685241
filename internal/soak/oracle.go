package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"tamarackchute/platform/standin"
)

// request holds what the caller and the servers observed of one request.
type request struct {
	service service
	// body is that of the request; empty means that it is the ID.
	body string
	key  *accessKey
	// daemon is the one that the caller chose, sender the one that last sent the request to a server.
	daemon, sender int
	// senders are all that sent the request to servers.
	senders []int
	sentAt  time.Time
	// closedAt is when the caller closed the connection; zero if it didn't.
	closedAt time.Time
	// activeAtClose is set if a server was handling the request at that time.
	activeAtClose bool
	refused       bool
	runs          int
	// begun is set once a server counts the request as begun, counted the times between which a daemon
	// counts it then.
	begun   bool
	counted *interval
	// lethal is the body of a request that crashes servers, empty for others.
	lethal string
	// arrivals counts complete requests that reached a server, prefills those for prefill only.
	arrivals, prefills int
	// active counts the servers that are handling the request, lastEndAt is when the last one
	// finished.
	active    int
	lastEndAt time.Time
	// resumedAfter is the event after which the caller takes a stream up, versions are those of the events
	// before; zero for a new stream.
	resumedAfter int
	versions     []string
	// saidLeaving holds the servers whose answers to the request said that they leave.
	saidLeaving map[string]bool
}

// oracle checks the promises against what callers and servers observe. Its methods are safe for
// concurrent use.
type oracle struct {
	faults *faultLog

	mu         sync.Mutex
	requests   map[string]*request
	violations []Violation
	// pools maps a server's ID to its pool, draining to the time at which its entry was marked as
	// draining.
	pools    map[string]string
	draining map[string]time.Time
	// removed maps a server's ID to the time at which its entry was removed.
	removed map[string]time.Time
	// published holds the publication time of each version; versions count from 1.
	published []time.Time
	// newestVersion is the newest version that a daemon's process has answered with.
	newestVersion map[process]observedVersion
	retries       map[string][]time.Time
	requestTimes  map[string][]time.Time
	// drainNotices holds when a daemon passed on an answer that says that its server leaves,
	// backoffs what a server has asked a daemon for.
	billing      billing
	drainNotices map[daemonServer][]time.Time
	backoffs     map[daemonServer][]*backoff
	// lethal holds the requests that crash servers, by body, limits the servers that name a limit.
	lethal map[string]*lethalRequest
	limits map[string]*limitedServer
	// senders returns the daemon that sent what arrives at a server from an address; nil knows none.
	senders func(address string) (daemon int, known bool)
	// daemonNumbers are the numbers of all daemons.
	daemonNumbers []int
	// cuts holds the cuts in progress.
	cuts   map[*pathCut]bool
	counts map[string]int
	// lastFailure is when a request that its caller didn't close last failed.
	lastFailure time.Time
}

// process identifies one process of a daemon: launch counts the daemon's starts.
type process struct{ daemon, launch int }

// daemonServer is a daemon and the ID of a server that it uses.
type daemonServer struct {
	daemon int
	server string
}

// observedVersion is a version and the end of the response that revealed it.
type observedVersion struct {
	version int
	at      time.Time
}

func newOracle(faults *faultLog) *oracle {
	return &oracle{
		billing: newBilling(), faults: faults, requests: make(map[string]*request), pools: make(map[string]string),
		draining: make(map[string]time.Time), removed: make(map[string]time.Time), newestVersion: make(map[process]observedVersion),
		retries: make(map[string][]time.Time), requestTimes: make(map[string][]time.Time), counts: make(map[string]int),
		drainNotices: make(map[daemonServer][]time.Time), backoffs: make(map[daemonServer][]*backoff),
		lethal: make(map[string]*lethalRequest), limits: make(map[string]*limitedServer), cuts: make(map[*pathCut]bool),
	}
}

// violate records a broken promise. o.mu must be held.
func (o *oracle) violate(p Promise, format string, args ...any) {
	o.violations = append(o.violations, Violation{Promise: p, At: time.Now(), Detail: fmt.Sprintf(format, args...)})
}

// report records a broken promise.
func (o *oracle) report(p Promise, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violate(p, format, args...)
}

// Violations returns the broken promises so far.
func (o *oracle) Violations() []Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.violations)
}

// serverListed records the pool of a server that starts.
func (o *oracle) serverListed(id, pool string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pools[id] = pool
	o.forgetBackoffs(id)
}

func (o *oracle) serverDraining(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining[id] = time.Now()
}

func (o *oracle) serverRemoved(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removed[id] = time.Now()
}

func (o *oracle) versionPublished() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.published = append(o.published, time.Now())
}

// failedSince reports whether a request has failed since t.
func (o *oracle) failedSince(t time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastFailure.After(t)
}

// sent records that a caller sends a request to a daemon.
func (o *oracle) sent(id string, s service, key *accessKey, daemon int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.requests[id] = &request{service: s, key: key, daemon: daemon, sender: daemon, sentAt: now, saidLeaving: make(map[string]bool)}
	o.requestTimes[s.name] = append(o.requestTimes[s.name], now)
}

// resumes records that a request takes up the stream of another one after an event.
func (o *oracle) resumes(id string, after int, versions []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id].resumedAfter, o.requests[id].versions = after, versions
}

// has records the body of a request.
func (o *oracle) has(id, body string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id].body = body
}

// callerClosed records that the caller of a request has closed its connection.
func (o *oracle) callerClosed(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[id]
	q.closedAt, q.activeAtClose = time.Now(), q.active > 0
}

// Arrived implements standin.Observer.
func (o *oracle) Arrived(v standin.RequestInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[v.ID]
	if q == nil {
		o.violate(CorrectResponse, "server %s got a request %q that no caller sent", v.Server, v.ID)
		return
	}
	now := time.Now()
	q.sender = o.senderOf(v, q)
	q.senders = append(q.senders, q.sender)
	if v.Forged {
		o.violate(NoForgedHeaders, "%s at %s", v.ID, v.Server)
	}
	o.checkAccess(v, q)
	if v.PrefillOnly {
		q.prefills++
	} else {
		q.arrivals++
	}
	if q.prefills > 1 && v.PrefillOnly || q.arrivals > 1 && !v.PrefillOnly {
		o.retries[q.service.name] = append(o.retries[q.service.name], now)
	}
	o.checkLethal(v, q, now)
	o.recordLimited(v, q, now)
	o.checkDraining(v, q, now)
	o.checkRemoved(v, q, now)
	if v.ExpectedServer == "" || v.ExpectedServer == v.Server {
		o.checkDrainNotice(v, q, now)
		o.checkBackoffs(v, q, now)
	}
	q.saidLeaving[v.Server] = q.saidLeaving[v.Server] || v.Leaving
	q.active++
}

// senderOf returns the daemon that has sent a request to a server: the one that the caller chose may
// have passed it on.
func (o *oracle) senderOf(v standin.RequestInfo, q *request) int {
	if o.senders == nil {
		return q.daemon
	}
	sender, known := o.senders(v.From)
	if !known {
		return q.daemon
	}
	if sender != q.daemon {
		o.counts["arrivals by another daemon"]++
	}
	return sender
}

// Ran implements standin.Observer.
func (o *oracle) Ran(v standin.RequestInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[v.ID]
	if q == nil {
		return // reported on arrival
	}
	o.checkPool(v, q)
	o.checkHandle(v)
	o.checkRevocation(v, q)
	q.runs++
	if q.service.atMostOnce && q.runs > 1 {
		o.violate(AtMostOnce, "%s ran %d times, lastly at %s", v.ID, q.runs, v.Server)
	}
	if q.service.atMostOnce && q.refused {
		o.violate(RefusedNotRun, "%s runs at %s after it was refused", v.ID, v.Server)
	}
}

// Began implements standin.Observer.
func (o *oracle) Began(v standin.RequestInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q := o.requests[v.ID]; q != nil && !q.begun {
		q.begun = true
		o.recordBegun(v, q)
	}
}

// Ended implements standin.Observer.
func (o *oracle) Ended(v standin.RequestInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q := o.requests[v.ID]; q != nil {
		q.active--
		q.lastEndAt = time.Now()
		o.recordBackoff(v, q)
	}
}

// answered checks a response as its caller received it. launch is the daemon's process at the
// time of sending.
func (o *oracle) answered(id string, launch int, r standin.Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, now := o.requests[id], time.Now()
	o.counts[q.service.name+" "+outcomeOf(r)]++
	o.recordDrainNotice(q, r)
	o.recordFirstEvent(q, r, now)
	if !q.closedAt.IsZero() {
		return
	}
	if (r.Status != http.StatusOK || r.Err != nil) && q.key.removedAt.IsZero() {
		o.lastFailure = now
	}
	o.recordCut(q, r, now)
	o.checkUnauthorised(id, q, r, now)
	o.checkDeadline(id, q, now)
	if r.Err != nil && r.Status == 0 {
		return // connectionLost checks these once the process's exit is known
	}
	switch {
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests || r.Status == http.StatusRequestTimeout:
		q.refused = true
		if q.service.atMostOnce && q.runs > 0 {
			o.violate(RefusedNotRun, "%s answered %d and has run", id, r.Status)
		}
	case r.Status == http.StatusOK && q.service.stream:
		o.checkStream(id, q, r)
	case r.Status == http.StatusOK:
		o.checkResponse(id, r)
	}
	if q.service.name == versionService && r.Status == http.StatusOK && r.Err == nil {
		o.checkVersion(process{q.daemon, launch}, q, now, r.Body)
	}
}

// finish runs the checks that need the whole run.
func (o *oracle) finish(budget retryBudget, daemons int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkCloses()
	o.checkUsage(daemons, time.Now())
	for name, times := range o.retries {
		o.checkRetryBudget(name, times, budget)
	}
}
