package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"tamarackchute/platform/standin"
)

// request is what callers and servers saw of one request.
type request struct {
	service service
	daemon  int
	sent    time.Time
	// closed is when the caller gave up; zero if it didn't.
	closed time.Time
	// worked says that a server worked on it then.
	worked  bool
	refused bool
	runs    int
	// arrivals counts those of whole requests and those that only read a prompt.
	arrivals, prefills int
	// working counts servers that work on it; lastEnd is when the last of them
	// ended.
	working int
	lastEnd time.Time
}

// oracle checks the promises by what callers and servers see. Its methods may be
// called from any goroutine.
type oracle struct {
	troubles *troubles

	mu         sync.Mutex
	requests   map[string]*request
	violations []Violation
	// pools names the pool of each incarnation, leaving when it was listed so.
	pools   map[string]string
	leaving map[string]time.Time
	// gone is when an incarnation's entry was taken out.
	gone map[string]time.Time
	// published holds when each version was; versions count from 1.
	published []time.Time
	// shown is the newest version that a daemon's process has answered by.
	shown   map[process]shownVersion
	repeats map[string][]time.Time
	asked   map[string][]time.Time
	seen    map[string]int
	// lastFailure is when a request that its caller wanted last failed.
	lastFailure time.Time
}

// process is one life of a daemon.
type process struct{ daemon, life int }

// shownVersion is a version and the end of the answer that has shown it.
type shownVersion struct {
	version int
	at      time.Time
}

func newOracle(t *troubles) *oracle {
	return &oracle{
		troubles: t, requests: make(map[string]*request), pools: make(map[string]string),
		leaving: make(map[string]time.Time), gone: make(map[string]time.Time), shown: make(map[process]shownVersion),
		repeats: make(map[string][]time.Time), asked: make(map[string][]time.Time), seen: make(map[string]int),
	}
}

// violate notes a broken promise. o.mu is held.
func (o *oracle) violate(p Promise, format string, args ...any) {
	o.violations = append(o.violations, Violation{Promise: p, At: time.Now(), Detail: fmt.Sprintf(format, args...)})
}

// report notes a broken promise.
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

// serverListed notes the pool of an incarnation.
func (o *oracle) serverListed(id, pool string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pools[id] = pool
}

func (o *oracle) serverLeaves(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving[id] = time.Now()
}

func (o *oracle) serverGone(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gone[id] = time.Now()
}

func (o *oracle) versionPublished() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.published = append(o.published, time.Now())
}

// failedSince reports whether a request has failed since a time.
func (o *oracle) failedSince(t time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastFailure.After(t)
}

// sent notes that a caller sends a request to a daemon.
func (o *oracle) sent(id string, s service, daemon int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.requests[id] = &request{service: s, daemon: daemon, sent: now}
	o.asked[s.name] = append(o.asked[s.name], now)
}

// closed notes that the caller of a request has given it up.
func (o *oracle) closed(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[id]
	q.closed, q.worked = time.Now(), q.working > 0
}

// Arrived implements standin.Observer.
func (o *oracle) Arrived(v standin.RequestInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[v.ID]
	if q == nil {
		o.violate(OwnAnswer, "server %s got a request %q that no caller sent", v.Server, v.ID)
		return
	}
	now := time.Now()
	if v.Forged {
		o.violate(NoForgery, "%s at %s", v.ID, v.Server)
	}
	if v.PrefillOnly {
		q.prefills++
	} else {
		q.arrivals++
	}
	if q.prefills > 1 && v.PrefillOnly || q.arrivals > 1 && !v.PrefillOnly {
		o.repeats[q.service.name] = append(o.repeats[q.service.name], now)
	}
	o.checkLeaving(v, q, now)
	o.checkGone(v, q, now)
	q.working++
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
	q.runs++
	if q.service.once && q.runs > 1 {
		o.violate(RunsOnce, "%s ran %d times, lastly at %s", v.ID, q.runs, v.Server)
	}
	if q.service.once && q.refused {
		o.violate(TrueRefusal, "%s runs at %s after it was refused", v.ID, v.Server)
	}
}

// Ended implements standin.Observer.
func (o *oracle) Ended(v standin.RequestInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q := o.requests[v.ID]; q != nil {
		q.working--
		q.lastEnd = time.Now()
	}
}

// answered checks what a caller got. life is the daemon's process when the
// request was sent.
func (o *oracle) answered(id string, life int, r standin.Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, now := o.requests[id], time.Now()
	o.seen[q.service.name+" "+outcomeOf(r)]++
	if !q.closed.IsZero() {
		return
	}
	if r.Status != http.StatusOK || r.Err != nil {
		o.lastFailure = now
	}
	o.checkTime(id, q, now)
	if r.Err != nil && r.Status == 0 {
		return // cuts are checked once it is known how the process ended
	}
	switch {
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests || r.Status == http.StatusRequestTimeout:
		q.refused = true
		if q.service.once && q.runs > 0 {
			o.violate(TrueRefusal, "%s answered %d and has run", id, r.Status)
		}
	case r.Status == http.StatusOK && q.service.stream:
		o.checkStream(id, r)
	case r.Status == http.StatusOK:
		o.checkAnswer(id, r)
	}
	if q.service.name == serviceMark && r.Status == http.StatusOK && r.Err == nil {
		o.checkVersion(process{q.daemon, life}, q, now, r.Body)
	}
}

// finish checks what shows over the whole run only.
func (o *oracle) finish(budget budget) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkCloses()
	for name, times := range o.repeats {
		o.checkBudget(name, times, budget)
	}
}
