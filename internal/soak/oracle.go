package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackchute/platform/standin"
)

// Promise names what the system promises.
type Promise string

// The promises that are checked.
const (
	RunsOnce        Promise = "a request that must not be repeated runs at most once"
	TrueRefusal     Promise = "a request refused as not run hasn't run"
	OwnAnswer       Promise = "an answer is the whole and genuine one to the caller's own request"
	WholeStream     Promise = "events come in order, without a gap, and none is missing at the end"
	RightPool       Promise = "a request runs only in the pool that its rule names"
	NoForgery       Promise = "headers that only the system may set don't come from callers"
	BoundedRepeats  Promise = "repeats stay within the budget"
	CloseIsPassed   Promise = "a caller's close ends the work at the servers"
	LeavingIsSpared Promise = "a server that leaves or has gone gets nothing new after some seconds"
	ConfigInForce   Promise = "a new configuration is in force in time"
	ConfigNeverBack Promise = "a configuration never goes back"
	StopCutsNothing Promise = "a daemon that lives or stops as planned cuts off no request"
	AnsweredInTime  Promise = "each request has its final answer soon after its deadline"
	OneHolder       Promise = "an engine's orders come from one holder at a time"
	Recovers        Promise = "the system serves everything again soon after the troubles end"
	StaysUp         Promise = "no daemon ends by itself"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	At      time.Time
	Detail  string
}

// String describes the violation for reports.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.At.Format("15:04:05.000"), v.Promise, v.Detail)
}

// Bounds of the promises that hold in time. They are the platform's for its
// sites of today, where the soak's site isn't given them.
const (
	configWithin = 3 * time.Second
	leaveWithin  = 3 * time.Second
	// goneWithin is that for a server whose entry was taken out: after an outage of
	// the store it may still be used for two seconds more.
	goneWithin  = 5 * time.Second
	closeWithin = 500 * time.Millisecond
	answerSlack = time.Second
	// exitSlack is the time before a process's end in which a new request on a
	// kept connection may still be lost.
	exitSlack = 200 * time.Millisecond
	// fewLate is the number of closes that may be late in a run, whatever their
	// share, and lateShare the share of them all.
	fewLate   = 2
	lateShare = 0.25
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

// Arrived implements standin.Watcher.
func (o *oracle) Arrived(v standin.Visit) {
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

// checkPool looks at requests that run: until an entry lapses, one that is meant for
// a server that has crashed may reach its successor, which turns it away.
func (o *oracle) checkPool(v standin.Visit, q *request) {
	pool := o.pools[v.Server]
	if q.service.name == serviceMark && strings.HasPrefix(pool, serviceMark) {
		return
	}
	if pool != q.service.name {
		o.violate(RightPool, "%s for %s ran at %s of pool %s", v.ID, q.service.name, v.Server, pool)
	}
}

func (o *oracle) checkLeaving(v standin.Visit, q *request, now time.Time) {
	since, leaving := o.leaving[v.Server]
	from := now.Add(-leaveWithin)
	if !leaving || since.After(from) {
		return
	}
	if o.troubles.quiet(from, now, subjectMachine, subjectStore, daemonSubject(q.daemon), storeLinkSubject(q.daemon), serversSubject(q.service.name)) {
		o.violate(LeavingIsSpared, "%s reached %s, %v after it was listed as leaving, by daemon %d", v.ID, v.Server, now.Sub(since), q.daemon)
	}
}

// checkGone looks for requests that are meant for a server whose entry was taken
// out long ago.
func (o *oracle) checkGone(v standin.Visit, q *request, now time.Time) {
	since, gone := o.gone[v.MeantFor]
	from := now.Add(-goneWithin)
	if !gone || since.After(from) {
		return
	}
	if o.troubles.quiet(from, now, subjectMachine, subjectStore, daemonSubject(q.daemon), storeLinkSubject(q.daemon)) {
		o.violate(LeavingIsSpared, "%s was meant for %s, %v after its entry was taken out, by daemon %d", v.ID, v.MeantFor, now.Sub(since), q.daemon)
	}
}

// Ran implements standin.Watcher.
func (o *oracle) Ran(v standin.Visit) {
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

// Ended implements standin.Watcher.
func (o *oracle) Ended(v standin.Visit) {
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

func outcomeOf(r standin.Reply) string {
	switch {
	case r.Err != nil && r.Status == 0:
		return "no answer"
	case r.Err != nil:
		return fmt.Sprintf("%d, cut", r.Status)
	default:
		return fmt.Sprint(r.Status)
	}
}

func (o *oracle) checkTime(id string, q *request, now time.Time) {
	due := q.sent.Add(q.service.deadline + answerSlack)
	if now.After(due) && o.troubles.quiet(q.sent, now, subjectMachine, daemonSubject(q.daemon)) {
		o.violate(AnsweredInTime, "%s ended %v after it was sent to daemon %d", id, now.Sub(q.sent), q.daemon)
	}
}

func (o *oracle) checkAnswer(id string, r standin.Reply) {
	if r.Err != nil {
		return // seen to be cut
	}
	if r.ID != id || !r.Signed || !strings.HasPrefix(r.Body, "answer of ") || !strings.HasSuffix(r.Body, " to "+id) {
		o.violate(OwnAnswer, "%s got id %q, signed %t, body %q", id, r.ID, r.Signed, r.Body)
	}
}

func (o *oracle) checkStream(id string, r standin.Reply) {
	for i, event := range r.Events {
		if event != i+1 {
			o.violate(WholeStream, "%s: event %d is number %d", id, i+1, event)
			return
		}
	}
	if r.Err == nil && len(r.Events) != streamEvents {
		o.violate(WholeStream, "%s ended as if whole after %d of %d events", id, len(r.Events), streamEvents)
	}
	if r.ID != id {
		o.violate(OwnAnswer, "%s got a stream under id %q", id, r.ID)
	}
}

// checkVersion takes the version from the pool that answered.
func (o *oracle) checkVersion(p process, q *request, now time.Time, body string) {
	pool := o.pools[strings.Fields(body)[2]]
	version := slices.Index(markPools, pool) + 1
	last := o.shown[p]
	if version < last.version && q.sent.After(last.at) {
		o.violate(ConfigNeverBack, "daemon %d answered by version %d, by %d before", p.daemon, version, last.version)
	}
	if version > last.version {
		o.shown[p] = shownVersion{version, now}
	}
	from := q.sent.Add(-configWithin)
	inForce := 0
	for _, at := range o.published {
		if at.Before(from) {
			inForce++
		}
	}
	if version < inForce && o.troubles.quiet(from, now, subjectMachine, subjectStore, daemonSubject(p.daemon), storeLinkSubject(p.daemon)) {
		o.violate(ConfigInForce, "daemon %d answered by version %d, %d was published over %v before", p.daemon, version, inForce, configWithin)
	}
}

// cut checks a request whose connection broke before the answer's end. ended is
// when the daemon's process ended, zero if it lives.
func (o *oracle) cut(id string, r standin.Reply, ended time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[id]
	if !q.closed.IsZero() || !ended.IsZero() && q.sent.After(ended.Add(-exitSlack)) {
		return
	}
	if !o.troubles.quiet(q.sent, time.Now(), pauseSubject(q.daemon)) {
		return
	}
	if r.Status != 0 && (q.service.stream || r.Status != http.StatusOK) && !o.troubles.quiet(q.sent, time.Now(), serversSubject(q.service.name)) {
		return // a stream that its servers broke can't be told to have ended well
	}
	if o.troubles.quiet(q.sent, time.Now(), subjectMachine) {
		o.violate(StopCutsNothing, "%s to %s at daemon %d was cut: %v", id, q.service.name, q.daemon, r.Err)
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

// checkCloses looks at the requests that a server was at work on when their
// caller closed, for each service: streams end sooner than calls that write
// nothing, as their next event finds the connection closed.
func (o *oracle) checkCloses() {
	closed, late := make(map[string]int), make(map[string]int)
	for _, q := range o.requests {
		if !q.worked || q.service.once {
			continue
		}
		due := q.closed.Add(closeWithin)
		if !o.troubles.quiet(q.closed, due, subjectMachine, daemonSubject(q.daemon), serversSubject(q.service.name)) {
			continue
		}
		closed[q.service.name]++
		if q.working > 0 || q.lastEnd.After(due) {
			late[q.service.name]++
		}
	}
	for name, n := range closed {
		o.seen["closes counted, "+name] = n
		if late[name] > fewLate && float64(late[name]) > lateShare*float64(n) {
			o.violate(CloseIsPassed, "%d of %d closes of %s reached the servers late", late[name], n, name)
		}
	}
}

// budget bounds repeats: in each window at most ratio x requests + slack.
type budget struct {
	ratio  float64
	slack  int
	window time.Duration
}

// allowed returns how many repeats may be in the window that ends at end.
// Requests of the window itself, of the one before it and of the one half a
// window before it count, whichever are most.
func (b budget) allowed(asked []time.Time, end time.Time) int {
	most := 0
	for _, back := range []time.Duration{0, b.window / 2, b.window} {
		to := end.Add(-back)
		most = max(most, countBetween(asked, to.Add(-b.window), to))
	}
	return int(b.ratio*float64(most)) + b.slack
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

func (o *oracle) checkBudget(name string, repeats []time.Time, b budget) {
	for _, end := range repeats {
		n := countBetween(repeats, end.Add(-b.window), end)
		if allowed := b.allowed(o.asked[name], end); n > allowed {
			o.violate(BoundedRepeats, "%s got %d repeats in %v, %d are allowed", name, n, b.window, allowed)
			return
		}
	}
}

// engineOrders is what one engine has accepted.
type engineOrders struct {
	engine string
	orders []standin.Order
}

// checkOrders checks that no token was used by two holders and that no engine
// went back to an older one.
func (o *oracle) checkOrders(all []engineOrders) {
	o.mu.Lock()
	defer o.mu.Unlock()
	holders := make(map[int]string)
	for _, e := range all {
		newest := 0
		for _, order := range e.orders {
			o.seen["orders"]++
			if other, ok := holders[order.FencingToken]; ok && other != order.Holder {
				o.violate(OneHolder, "token %d was used by %s and %s", order.FencingToken, other, order.Holder)
			}
			holders[order.FencingToken] = order.Holder
			if order.FencingToken < newest {
				o.violate(OneHolder, "engine %s took token %d after %d", e.engine, order.FencingToken, newest)
			}
			newest = max(newest, order.FencingToken)
		}
	}
}
