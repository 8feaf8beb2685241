package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"tamarackchute/platform/standin"
)

// checkPool checks only requests that run: until an entry expires, a request meant for a crashed
// server may reach its successor at the same address, which rejects it.
func (o *oracle) checkPool(v standin.RequestInfo, q *request) {
	pool := o.pools[v.Server]
	forVersion := q.service.name == versionService || strings.HasPrefix(q.service.name, addedService)
	if forVersion && strings.HasPrefix(pool, versionService) {
		return
	}
	if pool != q.service.name {
		o.violate(CorrectPool, "%s for %s ran at %s of pool %s", v.ID, q.service.name, v.Server, pool)
	}
}

// checkDraining reports requests that reach a server more than maxDrainNotice after its entry
// was marked as draining.
func (o *oracle) checkDraining(v standin.RequestInfo, q *request, now time.Time) {
	since, draining := o.draining[v.Server]
	from := now.Add(-maxDrainNotice)
	if !draining || since.After(from) {
		return
	}
	if o.faults.undisturbed(from, now, subjectMachine, subjectStore, daemonSubject(q.sender), storeLinkSubject(q.sender), serversSubject(q.service.name)) {
		o.violate(DrainedServerSpared, "%s reached %s, %v after it was listed as leaving, by daemon %d", v.ID, v.Server, now.Sub(since), q.sender)
	}
}

// checkRemoved reports requests meant for a server whose entry was removed more than
// maxRemovalNotice ago.
func (o *oracle) checkRemoved(v standin.RequestInfo, q *request, now time.Time) {
	since, removed := o.removed[v.ExpectedServer]
	from := now.Add(-maxRemovalNotice)
	if !removed || since.After(from) {
		return
	}
	if o.faults.undisturbed(from, now, subjectMachine, subjectStore, daemonSubject(q.sender), storeLinkSubject(q.sender)) {
		o.violate(DrainedServerSpared, "%s was meant for %s, %v after its entry was taken out, by daemon %d", v.ID, v.ExpectedServer, now.Sub(since), q.sender)
	}
}

// outcomeOf names the outcome of a request in a report's counts.
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

// checkDeadline reports responses that end more than responseSlack after their deadline.
func (o *oracle) checkDeadline(id string, q *request, now time.Time) {
	due := q.sentAt.Add(q.service.deadline + responseSlack)
	if now.After(due) && o.faults.undisturbed(q.sentAt, now, subjectMachine, daemonSubject(q.daemon)) {
		o.violate(AnsweredByDeadline, "%s ended %v after it was sent to daemon %d", id, now.Sub(q.sentAt), q.daemon)
	}
}

func (o *oracle) checkResponse(id string, r standin.Reply) {
	if r.Err != nil {
		return // the caller saw the connection break
	}
	if r.ID != id || !r.Signed || !strings.HasPrefix(r.Body, "answer of ") || !strings.HasSuffix(r.Body, " to "+cmp.Or(o.requests[id].body, id)) {
		o.violate(CorrectResponse, "%s got id %q, signed %t, body %q", id, r.ID, r.Signed, r.Body)
	}
}

func (o *oracle) checkStream(id string, q *request, r standin.Reply) {
	for i, event := range r.Events {
		if event != q.resumedAfter+i+1 {
			o.violate(CompleteStream, "%s: event %d is number %d", id, q.resumedAfter+i+1, event)
			return
		}
	}
	if versions := union(q.versions, r.Versions); len(versions) > 1 {
		o.violate(OneVersion, "%s holds events of versions %v", id, versions)
	}
	if all := q.resumedAfter + len(r.Events); r.Err == nil && all != streamEvents {
		o.violate(CompleteStream, "%s ended as if whole after %d of %d events", id, all, streamEvents)
	}
	if r.ID != id {
		o.violate(CorrectResponse, "%s got a stream under id %q", id, r.ID)
	}
}

// union returns the elements of both lists, each once.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// checkVersion derives the configuration's version from the pool that answered.
func (o *oracle) checkVersion(p process, q *request, now time.Time, body string) {
	pool := o.pools[strings.Fields(body)[2]]
	version := slices.Index(versionPools, pool) + 1
	previous := o.newestVersion[p]
	if version < previous.version && q.sentAt.After(previous.at) {
		o.violate(ConfigMonotonic, "daemon %d answered by version %d, by %d before", p.daemon, version, previous.version)
	}
	if version > previous.version {
		o.newestVersion[p] = observedVersion{version, now}
	}
	from := q.sentAt.Add(-maxConfigDelay)
	inForce := 0
	for _, at := range o.published {
		if at.Before(from) {
			inForce++
		}
	}
	if version < inForce && o.faults.undisturbed(from, now, subjectMachine, subjectStore, daemonSubject(p.daemon), storeLinkSubject(p.daemon)) {
		o.violate(ConfigApplied, "daemon %d answered by version %d, %d was published over %v before", p.daemon, version, inForce, maxConfigDelay)
	}
}

// connectionLost checks a request whose connection broke before the response was complete. exit
// is how the daemon's process exited, zero if it is still running.
func (o *oracle) connectionLost(id string, r standin.Reply, lostAt time.Time, exit processExit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[id]
	if !q.closedAt.IsZero() || exit.killed {
		return
	}
	forwarded := q.arrivals+q.prefills > 0
	if !forwarded && !exit.at.IsZero() && q.sentAt.After(exit.at.Add(-exitSlack)) {
		o.counts["crossed a planned exit"]++
		return
	}
	if !o.faults.undisturbed(q.sentAt, lostAt, pauseSubject(q.daemon)) {
		return
	}
	if q.sender != q.daemon && !o.faults.undisturbed(q.sentAt, lostAt.Add(exitSlack), daemonSubject(q.sender)) {
		return // the daemon that it was passed on to was killed or stopped; its exit is noticed a moment later
	}
	if r.Status != 0 && (q.service.stream || r.Status != http.StatusOK) && !o.faults.undisturbed(q.sentAt, lostAt, serversSubject(q.service.name), pathSubject(q.sender)) {
		return // a stream broken on the way from its server can't be distinguished from one that the daemon cut
	}
	if o.faults.undisturbed(q.sentAt, lostAt, subjectMachine) {
		o.violate(NoCutRequests, "%s to %s at daemon %d was cut: %v; sent %s, written %s, cut %s, process ended %s, passed on %t",
			id, q.service.name, q.daemon, r, formatTime(q.sentAt), formatTime(r.WrittenAt), formatTime(lostAt), formatTime(exit.at), forwarded)
	}
}

// formatTime formats a time for reports; a zero time is "never".
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.Format("15:04:05.000")
}

// checkCloses checks the requests that a server was handling when their caller closed. It counts
// each service separately: streams end sooner than calls that write nothing until they are done,
// since the next event hits the closed connection.
func (o *oracle) checkCloses() {
	closed, late := make(map[string]int), make(map[string]int)
	for _, q := range o.requests {
		if !q.activeAtClose || q.service.atMostOnce {
			continue
		}
		due := q.closedAt.Add(maxCancelDelay)
		if !o.faults.undisturbed(q.closedAt, due, subjectMachine, daemonSubject(q.daemon), daemonSubject(q.sender), serversSubject(q.service.name)) {
			continue
		}
		closed[q.service.name]++
		if q.active > 0 || q.lastEndAt.After(due) {
			late[q.service.name]++
		}
	}
	for name, n := range closed {
		o.counts["closes counted, "+name] = n
		if late[name] > maxLateCloses && float64(late[name]) > maxLateShare*float64(n) {
			o.violate(CancellationPropagates, "%d of %d closes of %s reached the servers late", late[name], n, name)
		}
	}
}

// retryBudget bounds retries: at most ratio * requests + slack in each window.
type retryBudget struct {
	ratio  float64
	slack  int
	window time.Duration
}

// allowed returns how many retries may occur in the window that ends at end. It takes the
// largest number of requests in the windows that end at end, half a window earlier and a whole
// window earlier.
func (b retryBudget) allowed(requests []time.Time, end time.Time) int {
	most := 0
	for _, shift := range []time.Duration{0, b.window / 2, b.window} {
		to := end.Add(-shift)
		most = max(most, countBetween(requests, to.Add(-b.window), to))
	}
	return int(b.ratio*float64(most)) + b.slack
}

// countBetween counts the times that are after from and not after to.
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

func (o *oracle) checkRetryBudget(name string, retries []time.Time, budget retryBudget) {
	for _, end := range retries {
		count := countBetween(retries, end.Add(-budget.window), end)
		if allowed := budget.allowed(o.requestTimes[name], end); count > allowed {
			o.violate(BoundedRetries, "%s got %d repeats in %v, %d are allowed", name, count, budget.window, allowed)
			return
		}
	}
}

// engineOrders lists the role orders that one engine has accepted.
type engineOrders struct {
	engine string
	orders []standin.Order
}

// checkOrders checks that no fencing token was used by two holders and that no engine accepted
// an older token after a newer one.
func (o *oracle) checkOrders(all []engineOrders) {
	o.mu.Lock()
	defer o.mu.Unlock()
	holders := make(map[int]string)
	for _, e := range all {
		newest := 0
		for _, order := range e.orders {
			o.counts["orders"]++
			if other, ok := holders[order.FencingToken]; ok && other != order.Holder {
				o.violate(SingleLeaseHolder, "token %d was used by %s and %s", order.FencingToken, other, order.Holder)
			}
			holders[order.FencingToken] = order.Holder
			if order.FencingToken < newest {
				o.violate(SingleLeaseHolder, "engine %s took token %d after %d", e.engine, order.FencingToken, newest)
			}
			newest = max(newest, order.FencingToken)
		}
	}
}
