package soak

import (
	"slices"
	"time"

	"tamarackchute/platform/standin"
)

const (
	// lateEntryDelay is how long after a server's drain notice its entry says that it leaves, if it
	// comes late: well over maxLeavingNotice.
	lateEntryDelay = 2 * maxLeavingNotice
	// allRefusals is more requests than a server gets in a backoff.
	allRefusals = 1 << 20
)

// refusalCounts are the numbers of requests that a server in backoff refuses: a single one, about
// one of each daemon, or all.
var refusalCounts = []int{1, 5, allRefusals, allRefusals}

// answerTwice makes a server repeat its next few answers, or all of them for a while. Half of the
// steps are for engines, whose prefills the requests depend on.
func (s *site) answerTwice(step Step) {
	slot := s.slotFor(step.Target)
	if step.Variant%2 == 0 {
		slot = s.slotFor(step.Target*len(services) + slices.IndexFunc(services, func(v service) bool { return v.stream }))
	}
	end := s.faults.begin(serversSubject(slot.pool))
	server, _ := slot.current()
	if few := step.Variant / 2 % 4; few > 0 {
		server.Fail(slices.Repeat([]standin.Fault{standin.AnswersTwice}, few)...)
		time.Sleep(step.For)
	} else {
		server.FailAll(standin.AnswersTwice)
		time.Sleep(step.For)
		server.FailAll(standin.NoFault)
	}
	time.AfterFunc(settleDelay, end)
}

// announceLeaving makes a server say in its answers that it leaves, before its entry does: soon
// or late, also because the store is down.
func (s *site) announceLeaving(slot *serverSlot, step Step) {
	server, _ := slot.current()
	server.SetLeaving()
	switch step.Variant % 3 {
	case 0:
		time.Sleep(step.For)
	case 1:
		time.Sleep(lateEntryDelay)
	default:
		s.failStore(storeFaults[step.Variant/3%len(storeFaults)], lateEntryDelay)
	}
	s.drainServer(slot)
}

// backOffServer makes a server refuse requests and ask for a backoff for the step's duration and the
// time that a daemon has to heed it.
func (s *site) backOffServer(slot *serverSlot, step Step) {
	end := s.faults.begin(serversSubject(slot.pool))
	server, _ := slot.current()
	duration := backoffNotice + step.For
	server.BackOff(refusalCounts[step.Variant%len(refusalCounts)], duration)
	time.Sleep(duration)
	time.AfterFunc(settleDelay, end)
}

// backoff is the time in which a server wants no more than maxBackoffArrivals requests of a daemon.
type backoff struct {
	// refused is the request whose refusal asked for the backoff.
	refused         *request
	asked, from, to time.Time
	arrivals        int
}

// checkHandle reports a run that goes on from another request's prefill.
func (o *oracle) checkHandle(v standin.RequestInfo) {
	if v.HandleOwner == "" {
		return
	}
	o.counts["runs from a prefill"]++
	if v.HandleOwner != v.ID {
		o.violate(OwnPrefill, "%s runs at %s from the prefill of %s", v.ID, v.Server, v.HandleOwner)
	}
}

// recordDrainNotice records that a daemon passes on an answer whose server says that it leaves.
func (o *oracle) recordDrainNotice(q *request, r standin.Reply) {
	if !q.saidLeaving[r.Server] {
		return
	}
	o.counts["drain notices passed on"]++
	key := daemonServer{q.daemon, r.Server}
	o.drainNotices[key] = append(o.drainNotices[key], r.HeadAt)
}

// checkDrainNotice reports a request that its caller sent more than maxLeavingNotice after its
// daemon had passed on the server's drain notice, unless the daemon has restarted or paused since.
func (o *oracle) checkDrainNotice(v standin.RequestInfo, q *request, now time.Time) {
	for _, at := range o.drainNotices[daemonServer{q.sender, v.Server}] {
		if !q.sentAt.After(at.Add(maxLeavingNotice)) || o.faults.began(at.Add(-restartDelay), now, daemonSubject(q.sender)) {
			continue
		}
		if o.faults.undisturbed(at, now, subjectMachine, pauseSubject(q.sender)) {
			o.violate(DrainNoticeRespected, "%s reached %s, sent %v after daemon %d had passed on that it leaves", v.ID, v.Server, q.sentAt.Sub(at), q.sender)
			return
		}
	}
}

// recordBackoff records that a server has asked a daemon for a backoff.
func (o *oracle) recordBackoff(v standin.RequestInfo, q *request) {
	if v.Backoff == 0 {
		return
	}
	o.counts["backoffs asked for"]++
	key, now := daemonServer{q.sender, v.Server}, time.Now()
	o.backoffs[key] = append(o.backoffs[key], &backoff{refused: q, asked: now, from: now.Add(backoffNotice), to: now.Add(v.Backoff)})
}

// checkBackoffs counts an arrival in the backoffs that it falls into, and reports the first that is
// too much in one.
func (o *oracle) checkBackoffs(v standin.RequestInfo, q *request, now time.Time) {
	for _, r := range o.backoffs[daemonServer{q.sender, v.Server}] {
		if !now.After(r.from) || !now.Before(r.to) {
			continue
		}
		r.arrivals++
		if r.arrivals == maxBackoffArrivals+1 && o.backoffKnown(r, v.Server, q.sender, now) {
			o.violate(BackoffRespected, "%s is request %d that reached %s in a backoff of %v, %v after daemon %d was asked for it",
				v.ID, r.arrivals, v.Server, r.to.Sub(r.asked), now.Sub(r.asked), q.sender)
		}
	}
}

// backoffKnown reports whether the daemon must have received the refusal and know of it still. A
// caller's close may have ended the exchange before.
func (o *oracle) backoffKnown(r *backoff, server string, daemon int, now time.Time) bool {
	if closed := r.refused.closedAt; !closed.IsZero() && closed.Before(r.from) {
		return false
	}
	return o.faults.undisturbed(r.asked, now, subjectMachine, daemonSubject(daemon), serverLinkSubject(server))
}

// forgetBackoffs forgets the backoffs that a server asked for before it started again.
func (o *oracle) forgetBackoffs(server string) {
	for key := range o.backoffs {
		if key.server == server {
			delete(o.backoffs, key)
		}
	}
}
