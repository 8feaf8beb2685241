package soak

import (
	"slices"
	"time"

	"tamarackchute/platform/standin"
)

const (
	// lateEntryDelay is how long after a server's word its entry says that it leaves, if it
	// comes late: well over maxLeavingNotice.
	lateEntryDelay = 2 * maxLeavingNotice
	// allRefusals is more requests than a server gets in a rest.
	allRefusals = 1 << 20
)

// refusalCounts are the numbers of requests that a resting server refuses: a single one, about
// one of each daemon, or all.
var refusalCounts = []int{1, 5, allRefusals, allRefusals}

// answerTwice makes a server repeat its next few answers, or all of them for a while. Half of the
// steps are for engines, whose prefills the requests rest on.
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

// restServer makes a server refuse requests and ask for rest for the step's duration and the
// time that a daemon has to heed it.
func (s *site) restServer(slot *serverSlot, step Step) {
	end := s.faults.begin(serversSubject(slot.pool))
	server, _ := slot.current()
	duration := restNotice + step.For
	server.Rest(refusalCounts[step.Variant%len(refusalCounts)], duration)
	time.Sleep(duration)
	time.AfterFunc(settleDelay, end)
}

// rest is the time in which a server wants no more than maxRestArrivals requests of a daemon.
type rest struct {
	// refused is the request whose refusal asked for the rest.
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

// recordLeavingWord records that a daemon passes on an answer whose server says that it leaves.
func (o *oracle) recordLeavingWord(q *request, r standin.Reply) {
	if !q.saidLeaving[r.Server] {
		return
	}
	o.counts["leaving words passed on"]++
	key := daemonServer{q.daemon, r.Server}
	o.leavingWords[key] = append(o.leavingWords[key], r.HeadAt)
}

// checkLeavingWord reports a request that its caller sent more than maxLeavingNotice after its
// daemon had passed on the server's word, unless the daemon has restarted or paused since.
func (o *oracle) checkLeavingWord(v standin.RequestInfo, q *request, now time.Time) {
	for _, at := range o.leavingWords[daemonServer{q.daemon, v.Server}] {
		if !q.sentAt.After(at.Add(maxLeavingNotice)) || o.faults.began(at.Add(-restartDelay), now, daemonSubject(q.daemon)) {
			continue
		}
		if o.faults.undisturbed(at, now, subjectMachine, pauseSubject(q.daemon)) {
			o.violate(LeavingWordHeeded, "%s reached %s, sent %v after daemon %d had passed on that it leaves", v.ID, v.Server, q.sentAt.Sub(at), q.daemon)
			return
		}
	}
}

// recordRest records that a server has asked a daemon for rest.
func (o *oracle) recordRest(v standin.RequestInfo, q *request) {
	if v.Rest == 0 {
		return
	}
	o.counts["rests asked for"]++
	key, now := daemonServer{q.daemon, v.Server}, time.Now()
	o.rests[key] = append(o.rests[key], &rest{refused: q, asked: now, from: now.Add(restNotice), to: now.Add(v.Rest)})
}

// checkRests counts an arrival in the rests that it falls into, and reports the first that is
// too much in one.
func (o *oracle) checkRests(v standin.RequestInfo, q *request, now time.Time) {
	for _, r := range o.rests[daemonServer{q.daemon, v.Server}] {
		if !now.After(r.from) || !now.Before(r.to) {
			continue
		}
		r.arrivals++
		if r.arrivals == maxRestArrivals+1 && o.restKnown(r, v.Server, q.daemon, now) {
			o.violate(RestHeeded, "%s is request %d that reached %s in a rest of %v, %v after daemon %d was asked for it",
				v.ID, r.arrivals, v.Server, r.to.Sub(r.asked), now.Sub(r.asked), q.daemon)
		}
	}
}

// restKnown reports whether the daemon must have received the refusal and know of it still. A
// caller's close may have ended the exchange before.
func (o *oracle) restKnown(r *rest, server string, daemon int, now time.Time) bool {
	if closed := r.refused.closedAt; !closed.IsZero() && closed.Before(r.from) {
		return false
	}
	return o.faults.undisturbed(r.asked, now, subjectMachine, daemonSubject(daemon), serverLinkSubject(server))
}

// forgetRests forgets the rests that a server asked for before it started again.
func (o *oracle) forgetRests(server string) {
	for key := range o.rests {
		if key.server == server {
			delete(o.rests, key)
		}
	}
}
