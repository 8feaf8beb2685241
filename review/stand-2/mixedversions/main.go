// Command mixedversions is a case of review/: a stream holds events of two software versions of its service.
package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"tamarackchute/platform/standin"
	"tamarackchute/review/stand-2/machine"
	"tamarackchute/review/stand-2/site"
)

const (
	daemons  = 3
	deadline = 15 * time.Second
	// A stream takes events times eventGap.
	events   = 40
	eventGap = 100 * time.Millisecond
	// interval is the time between two streams that clients begin.
	interval               = 250 * time.Millisecond
	oldVersion, newVersion = "1.4", "1.5"
	// calm is the time before the outage of the store, which takes outage.
	calm   = 14 * time.Second
	outage = 4500 * time.Millisecond
	// firstCrash and secondCrash are the times of the servers' crashes after the begin of the outage, downTime how long each
	// is down.
	firstCrash, secondCrash = 300 * time.Millisecond, 3 * time.Second
	downTime                = 500 * time.Millisecond
	// allowed is the number of mixed streams that the rule allows.
	allowed = 2
)

// services are alike.
var services = []string{"llm", "chat"}

func main() { site.Run("mixedversions", run) }

func run(s *site.Site) (broken bool, err error) {
	if err := s.Start(daemons, site.Settings{RequireFencing: true}); err != nil {
		return false, err
	}
	var rules []standin.Service
	var upgraded, others []*machine.Machine
	for _, service := range services {
		rules = append(rules, standin.Service{
			Name: service, Kind: standin.Streaming, Attempts: 3, Timeout: deadline, Objective: 500 * time.Millisecond, GapObjective: 150 * time.Millisecond,
		})
		for i, stage := range []string{standin.RoleDecode, standin.RoleDecode, standin.RolePrefill, standin.RolePrefill, standin.RolePrefill} {
			m := &machine.Machine{Site: s, ID: fmt.Sprintf("%s-%d", service, i+1), Service: service, Stage: stage, Events: events, EventGap: eventGap}
			if err := m.Start(oldVersion); err != nil {
				return false, err
			}
			switch i {
			case 0:
				upgraded = append(upgraded, m)
			case 1:
				others = append(others, m)
			}
		}
	}
	s.Store.PutConfig(1, rules)
	if err := s.StartDaemons(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	var mu sync.Mutex
	mixed, complete := 0, 0
	streams.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			d, other := s.Daemons[n%len(s.Daemons)], s.Daemons[(n+1)%len(s.Daemons)]
			for _, service := range services {
				streams.Go(func() {
					last, versions := stream(s, d, other, service, fmt.Sprintf("%s-stream-%d", service, n))
					mu.Lock()
					defer mu.Unlock()
					if len(versions) > 1 {
						mixed++
					}
					if last == events {
						complete++
					}
				})
			}
			time.Sleep(interval)
		}
	})
	time.Sleep(calm)
	if s.Trouble {
		if err := disrupt(s, upgraded, others); err != nil {
			stop()
			return false, err
		}
	} else {
		time.Sleep(outage)
	}
	time.Sleep(time.Second)
	stop()
	streams.Wait()
	s.Logf("%d streams complete, %d hold events of two versions; %d are allowed", complete, mixed, allowed)
	return mixed > allowed, nil
}

// stream begins a stream at a daemon. If its connection breaks, the client takes it up once at another daemon. It returns the
// last event and the versions of all events.
func stream(s *site.Site, d, other *site.Daemon, service, id string) (last int, versions []string) {
	until := time.Now().Add(deadline)
	for try := range 2 {
		caller := standin.NewCaller()
		attempt := fmt.Sprintf("%s-%d", id, try)
		if last > 0 {
			d, caller.Resumes, caller.AfterEvent = other, id+"-0", last
		}
		reply := caller.Send(context.Background(), d.Front(), service, attempt, time.Until(until), true, func() {})
		caller.Close()
		s.Logf("%s at %s after event %d: status %d, %d events, versions %v, error %v", attempt, d.Name, last, reply.Status, len(reply.Events), reply.Versions, reply.Err)
		if len(reply.Events) > 0 {
			last = reply.Events[len(reply.Events)-1]
		}
		for _, v := range reply.Versions {
			if !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
		if reply.Err == nil || last == 0 {
			break
		}
	}
	return last, versions
}

// disrupt takes the store down. Meanwhile a server of each service crashes and starts again with a newer version of its
// software, and then another one crashes.
func disrupt(s *site.Site, upgraded, others []*machine.Machine) error {
	began := time.Now()
	s.StoreDown(true)
	time.Sleep(firstCrash)
	if err := restart(upgraded, newVersion); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(secondCrash)))
	if err := restart(others, oldVersion); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(outage)))
	s.StoreDown(false)
	return nil
}

// restart lets servers crash and start again.
func restart(servers []*machine.Machine, version string) error {
	for _, m := range servers {
		m.Crash()
	}
	time.Sleep(downTime)
	for _, m := range servers {
		if err := m.Start(version); err != nil {
			return err
		}
	}
	return nil
}
