package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"tamarackchute/platform/standin"
)

// checkPool looks at requests that run: until an entry lapses, one that is meant for
// a server that has crashed may reach its successor, which turns it away.
func (o *oracle) checkPool(v standin.RequestInfo, q *request) {
	pool := o.pools[v.Server]
	if q.service.name == serviceMark && strings.HasPrefix(pool, serviceMark) {
		return
	}
	if pool != q.service.name {
		o.violate(RightPool, "%s for %s ran at %s of pool %s", v.ID, q.service.name, v.Server, pool)
	}
}

func (o *oracle) checkLeaving(v standin.RequestInfo, q *request, now time.Time) {
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
func (o *oracle) checkGone(v standin.RequestInfo, q *request, now time.Time) {
	since, gone := o.gone[v.ExpectedServer]
	from := now.Add(-goneWithin)
	if !gone || since.After(from) {
		return
	}
	if o.troubles.quiet(from, now, subjectMachine, subjectStore, daemonSubject(q.daemon), storeLinkSubject(q.daemon)) {
		o.violate(LeavingIsSpared, "%s was meant for %s, %v after its entry was taken out, by daemon %d", v.ID, v.ExpectedServer, now.Sub(since), q.daemon)
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

// cut checks a request whose connection broke at a time before the answer's end. end is
// how the daemon's process ended, zero if it lives.
func (o *oracle) cut(id string, r standin.Reply, at time.Time, end processEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[id]
	if !q.closed.IsZero() || end.killed {
		return
	}
	passedOn := q.arrivals+q.prefills > 0
	if !passedOn && !end.at.IsZero() && q.sent.After(end.at.Add(-exitSlack)) {
		o.seen["crossed a planned exit"]++
		return
	}
	if !o.troubles.quiet(q.sent, at, pauseSubject(q.daemon)) {
		return
	}
	if r.Status != 0 && (q.service.stream || r.Status != http.StatusOK) && !o.troubles.quiet(q.sent, at, serversSubject(q.service.name)) {
		return // a stream that its servers broke can't be told to have ended well
	}
	if o.troubles.quiet(q.sent, at, subjectMachine) {
		o.violate(StopCutsNothing, "%s to %s at daemon %d was cut: %v; sent %s, cut %s, process ended %s, passed on %t",
			id, q.service.name, q.daemon, r, clock(q.sent), clock(at), clock(end.at), passedOn)
	}
}

// clock writes a time for reports.
func clock(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.Format("15:04:05.000")
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
