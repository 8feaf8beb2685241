package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/platform/standin"
)

const (
	// handedServers serve the service of the streams that daemons hand on. These last longer than a daemon that is told
	// to stop runs on.
	handedServers  = 3
	handedEventGap = 480 * time.Millisecond
	// A daemon knows pathLossTime after a cut that it has no path, and hands on handedStreams, handedInterval apart.
	// From then on the others are stopped, up to maxStopsInTurn of them, stopInterval apart.
	pathLossTime   = 1500 * time.Millisecond
	handedStreams  = 2
	handedInterval = 100 * time.Millisecond
	maxStopsInTurn = 3
	stopInterval   = 1200 * time.Millisecond
)

// handedService is the service whose streams are handed on.
var handedService = service{name: "handed", stream: true, kind: standin.Streaming, servers: handedServers, deadline: 20 * time.Second}

// addHandedServers starts its servers.
func (s *site) addHandedServers() error {
	for range handedServers {
		slot := &serverSlot{pool: handedService.name, version: firstVersion, sound: true, eventGap: handedEventGap}
		s.slots = append(s.slots, slot)
		if err := s.startServer(slot); err != nil {
			return err
		}
	}
	return nil
}

func handedRule() standin.Service {
	v := handedService
	return standin.Service{Name: v.name, Kind: v.kind, Attempts: 2, Timeout: v.deadline, Public: true}
}

// stopBesideACut takes one daemon's path to all servers away and stops others in turn, which serve for it. Both form and
// number follow from the variant; some are killed instead.
func (s *site) stopBesideACut(step Step) {
	first := step.Target % len(s.daemons)
	cut := s.daemons[first]
	mode, stops := pathModes[step.Variant%len(pathModes)], 1+step.Variant/len(pathModes)%maxStopsInTurn
	kills := step.Variant/len(pathModes)/maxStopsInTurn%4 == 0
	end := s.faults.begin(pathSubject(cut.number))
	defer time.AfterFunc(settleDelay, end)
	s.setPath(cut, mode)
	defer s.setPath(cut, ModePass)
	time.Sleep(pathLossTime)
	var work conc.WaitGroup
	work.Go(func() { s.sendHanded(cut, fmt.Sprintf("handed-%d-%d", step.Target, step.Variant)) })
	time.Sleep(handedStreams * handedInterval)
	for i := range stops {
		d := s.daemons[(first+1+i)%len(s.daemons)]
		work.Go(func() {
			if kills {
				d.kill()
			} else {
				d.stop()
			}
			s.restartDaemon(d, step.For)
		})
		time.Sleep(stopInterval)
	}
	work.Wait()
}

// sendHanded sends streams to a daemon, and checks their ends.
func (s *site) sendHanded(d *daemon, name string) {
	var sends conc.WaitGroup
	for i := range handedStreams {
		sends.Go(func() {
			client := standin.NewCaller()
			defer client.Close()
			key := s.keyFor(d.number%organisations, false)
			client.Key = key.text
			id := fmt.Sprint(name, "-", i)
			reply, endedAt, launch := s.askForStream(client, key, d, handedService, id)
			time.Sleep(exitSlack)
			s.oracle.handedStreamEnded(id, reply, endedAt, d.awaitExit(launch))
		})
		time.Sleep(handedInterval)
	}
	sends.Wait()
}

// handedStreamEnded checks the end of a stream that was handed on, whose servers are sound.
func (o *oracle) handedStreamEnded(id string, r standin.Reply, endedAt time.Time, exit processExit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[id]
	if slices.ContainsFunc(q.senders, func(sender int) bool { return sender != q.daemon }) {
		o.counts["handed streams"]++
	}
	whole := r.Status == http.StatusOK && r.Err == nil && len(r.Events) == streamEvents
	switch {
	case whole:
		o.counts["handed streams that ended whole"]++
	case len(r.Events) == 0, !exit.at.IsZero() || !exit.toldAt.IsZero(), !endedAt.Before(q.sentAt.Add(q.service.deadline)):
	case !o.faults.undisturbed(q.sentAt, endedAt, subjectMachine, serversSubject(q.service.name), pauseSubject(q.daemon)):
	case slices.ContainsFunc(q.senders, func(sender int) bool {
		return !o.faults.undisturbed(q.sentAt, endedAt.Add(exitSlack), pauseSubject(sender)) || sender != q.daemon && !o.faults.undisturbed(q.sentAt, endedAt, pathSubject(sender))
	}):
	default:
		o.violate(HandedStreamsGoOn, "%s at daemon %d ended after %v: %v; sent %s, by daemons %v", id, q.daemon, endedAt.Sub(q.sentAt), r, formatTime(q.sentAt), q.senders)
	}
}
