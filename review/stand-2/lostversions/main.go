// Command lostversions is a case of review/: after all daemons were stopped in turn during a release, no stream that a client
// takes up goes on.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"time"

	"tamarackchute/platform/standin"
	"tamarackchute/review/stand-2/machine"
	"tamarackchute/review/stand-2/site"
)

const (
	daemons  = 3
	service  = "llm"
	deadline = 15 * time.Second
	// A stream takes events times eventGap.
	events                 = 130
	eventGap               = 100 * time.Millisecond
	oldVersion, newVersion = "1.4", "1.5"
	// calm is the time before the servers of the new version join, beforeStop that until the first stop.
	calm, beforeStop = 12 * time.Second, 4 * time.Second
	// streams are begun in the time streamsWithin before the first stop.
	streams       = 36
	streamsWithin = 1500 * time.Millisecond
	downTime      = time.Second
	// rollGap is the time between two stops, grace that until a kill, restartDelay that until the next start.
	rollGap, grace, restartDelay = time.Second, 8 * time.Second, 200 * time.Millisecond
	// stable is how long a machine must have been calm to be in touch.
	stable = 3 * time.Second
	// fewest is the number of streams from which the rule judges, share the part that must go on.
	fewest = 12
	share  = 0.5
)

// waits are the times between a client's tries.
var waits = []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}

// kills says that the daemons are killed at once; otherwise they are stopped in turn.
var kills = flag.Bool("kill", false, "kill the daemons at once; otherwise they are stopped in turn")

func main() {
	flag.Parse()
	site.Run("lostversions", run)
}

// result is what became of a stream of a client.
type result struct {
	// broken says that it had begun and was broken off.
	broken bool
	// inTouch says that the client took it up at a machine in touch, goneOn that it went on there or before.
	inTouch, goneOn bool
}

func run(s *site.Site) (broken bool, err error) {
	if err := s.Start(daemons, site.Settings{RequireFencing: true}); err != nil {
		return false, err
	}
	var machines []*machine.Machine
	for i, stage := range []string{standin.RolePrefill, standin.RoleDecode, standin.RoleDecode, standin.RoleDecode, standin.RoleDecode} {
		m := &machine.Machine{Site: s, ID: fmt.Sprintf("llm-%d", i+1), Service: service, Stage: stage, Events: events, EventGap: eventGap}
		machines = append(machines, m)
	}
	for _, m := range machines[:3] {
		if err := m.Start(oldVersion); err != nil {
			return false, err
		}
	}
	s.Store.PutConfig(1, []standin.Service{{
		Name: service, Kind: standin.Streaming, Attempts: 3, Timeout: deadline, Objective: 500 * time.Millisecond, GapObjective: 150 * time.Millisecond,
	}})
	if err := s.StartDaemons(); err != nil {
		return false, err
	}
	time.Sleep(calm)
	for _, m := range machines[3:] {
		if err := m.Start(newVersion); err != nil {
			return false, err
		}
	}
	time.Sleep(beforeStop - streamsWithin)
	var clients sync.WaitGroup
	results := make([]result, streams)
	for i := range streams {
		clients.Go(func() { results[i] = client(s, i) })
		time.Sleep(streamsWithin / streams)
	}
	end := rollAll
	if *kills {
		end = killAll
	}
	if s.Trouble {
		if err := end(s); err != nil {
			return false, err
		}
	}
	time.Sleep(stable)
	begun := newStreams(s)
	clients.Wait()
	return judge(s, results, begun), nil
}

// killAll kills all daemons at once, and starts them again.
func killAll(s *site.Site) error {
	var kills sync.WaitGroup
	for _, d := range s.Daemons {
		kills.Go(d.Kill)
	}
	kills.Wait()
	time.Sleep(downTime)
	return s.StartDaemons()
}

// rollAll stops the daemons in turn, as planned work does, and starts them again.
func rollAll(s *site.Site) error {
	var stops sync.WaitGroup
	errs := make([]error, len(s.Daemons))
	for i, d := range s.Daemons {
		stops.Go(func() {
			d.Stop(grace)
			time.Sleep(restartDelay)
			errs[i] = d.Start()
		})
		time.Sleep(rollGap)
	}
	stops.Wait()
	return errors.Join(errs...)
}

// client begins a stream. When its connection breaks, the client takes it up at the other daemons in turn, within its
// deadline.
func client(s *site.Site, n int) result {
	var r result
	until := time.Now().Add(deadline)
	id, begunBy, last := fmt.Sprintf("stream-%d", n), "", 0
	for try := 0; try <= len(waits) && time.Until(until) > 0; try++ {
		d := s.Daemons[(n+try)%len(s.Daemons)]
		caller := standin.NewCaller()
		attempt := fmt.Sprintf("%s-%d", id, try)
		if last > 0 {
			caller.Resumes, caller.AfterEvent = begunBy, last
		}
		inTouch := time.Since(d.StartedAt()) > stable
		reply := caller.Send(context.Background(), d.Front(), service, attempt, time.Until(until), true, func() {})
		caller.Close()
		s.Logf("%s at %s after event %d, in touch %t: status %d, %d events, versions %v, body %q, error %v", attempt, d.Name, last, inTouch, reply.Status, len(reply.Events), reply.Versions, reply.Body, reply.Err)
		if r.broken && inTouch {
			r.inTouch = true
		}
		if r.broken && len(reply.Events) > 0 {
			r.goneOn = true
		}
		if len(reply.Events) > 0 {
			if last == 0 {
				begunBy = attempt
			}
			last = reply.Events[len(reply.Events)-1]
		}
		if reply.Err == nil && len(reply.Events) > 0 || last == 0 {
			return r
		}
		r.broken = true
		if try < len(waits) {
			time.Sleep(waits[try])
		}
	}
	return r
}

// newStreams begins new streams, and returns how many have begun.
func newStreams(s *site.Site) int {
	var all sync.WaitGroup
	var mu sync.Mutex
	begun := 0
	for i := range fewest {
		all.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			id := fmt.Sprintf("new-%d", i)
			reply := standin.NewCaller().Send(ctx, s.Daemons[i%len(s.Daemons)].Front(), service, id, deadline, true, cancel)
			s.Logf("%s: status %d, %d events, versions %v", id, reply.Status, len(reply.Events), reply.Versions)
			mu.Lock()
			defer mu.Unlock()
			if len(reply.Events) > 0 {
				begun++
			}
		})
	}
	all.Wait()
	return begun
}

// judge reports whether the rule is broken.
func judge(s *site.Site, results []result, begun int) bool {
	taken, goneOn := 0, 0
	for _, r := range results {
		if r.inTouch {
			taken++
			if r.goneOn {
				goneOn++
			}
		}
	}
	s.Logf("%d streams taken up at machines in touch, %d have gone on; %d of %d new streams have begun", taken, goneOn, begun, fewest)
	if taken < fewest {
		return false
	}
	return float64(goneOn)/float64(taken) < share*float64(begun)/fewest
}
