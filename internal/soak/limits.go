package soak

import (
	"time"

	"tamarackchute/platform/standin"
)

const (
	// From limitNotice after a server first named a limit, it may get limitFactor times what that
	// allows and limitSlack requests more in a window of limitWindow.
	limitNotice = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitTransit is more than daemons take to tell each other of a limit on a machine that isn't busy.
	limitTransit = time.Second
)

// namedLimits are the limits that servers name, in requests a second.
var namedLimits = []float64{0, 0.4, 3, 12}

// limitedServer is a server that names a limit.
type limitedServer struct {
	perSecond float64
	named     time.Time
	arrivals  []limitedArrival
}

type limitedArrival struct {
	at     time.Time
	daemon int
}

// limitServer makes a server name a limit until the limit has held for a while.
func (s *site) limitServer(slot *serverSlot, step Step) {
	end := s.faults.begin(serversSubject(slot.pool))
	defer time.AfterFunc(settleDelay, end)
	server, _ := slot.current()
	perSecond := namedLimits[step.Variant%len(namedLimits)]
	s.oracle.limitNamed(server.ID, perSecond)
	server.SetLimit(perSecond)
	time.Sleep(limitNotice + limitWindow + step.For)
	s.oracle.limitEnded(server.ID)
	server.ClearLimit()
}

func (o *oracle) limitNamed(server string, perSecond float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts["limits named"]++
	o.limits[server] = &limitedServer{perSecond: perSecond, named: time.Now()}
}

func (o *oracle) recordLimited(v standin.RequestInfo, q *request, now time.Time) {
	if l := o.limits[v.Server]; l != nil && now.After(l.named.Add(limitNotice)) {
		l.arrivals = append(l.arrivals, limitedArrival{now, q.sender})
	}
}

// limitEnded checks what a server got while it named a limit, from daemons that neither restarted nor
// paused shortly before.
func (o *oracle) limitEnded(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.limits[server]
	delete(o.limits, server)
	var times []time.Time
	for _, a := range l.arrivals {
		if o.faults.undisturbed(a.at.Add(-limitNotice), a.at, daemonSubject(a.daemon), pauseSubject(a.daemon)) &&
			o.faults.undisturbed(a.at.Add(-limitTransit), a.at, subjectMachine) {
			times = append(times, a.at)
		}
	}
	allowed := int(limitFactor*l.perSecond*limitWindow.Seconds()) + limitSlack
	if most := standin.MostWithin(limitWindow, times); most > allowed {
		o.violate(LimitKept, "%s had named a limit of %g a second and got %d requests in %v; allowed %d", server, l.perSecond, most, limitWindow, allowed)
	}
}
