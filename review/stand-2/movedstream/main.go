// Command movedstream is a case of review/: a stream goes on at another server while the one before, which is sound, still
// works on it.
package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tamarackchute/platform/standin"
	"tamarackchute/review/stand-2/machine"
	"tamarackchute/review/stand-2/site"
)

const (
	daemons  = 2
	service  = "llm"
	deadline = 15 * time.Second
	// A stream takes events times eventGap.
	events   = 60
	eventGap = 60 * time.Millisecond
	version  = "1.4"
	// calm is the time before the silence, long enough for the slack of retries.
	calm = 12 * time.Second
	// streams are begun streamGap apart in each round of the silence.
	streams   = 6
	streamGap = 100 * time.Millisecond
	// silence is how long a sound server says nothing.
	silence = 1300 * time.Millisecond
	rounds  = 3
	// still is the time after which the server before must not work on a stream any more.
	still = 400 * time.Millisecond
)

func main() { site.Run("movedstream", run) }

// works are the runs of all requests, as the servers see them. It implements standin.Observer.
type works struct {
	site *site.Site

	mu   sync.Mutex
	runs map[string][]*work
}

// work is a run of a request at a server.
type work struct {
	server     string
	began, end time.Time
}

// Arrived implements standin.Observer.
func (w *works) Arrived(standin.RequestInfo) {}

// Began implements standin.Observer.
func (w *works) Began(standin.RequestInfo) {}

// Ran implements standin.Observer.
func (w *works) Ran(r standin.RequestInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.site.Logf("server %s begins to run %s", r.Server, r.ID)
	w.runs[r.ID] = append(w.runs[r.ID], &work{server: r.Server, began: time.Now()})
}

// Ended implements standin.Observer.
func (w *works) Ended(r standin.RequestInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, run := range w.runs[r.ID] {
		if run.server == r.Server && run.end.IsZero() {
			run.end = time.Now()
			w.site.Logf("server %s ends its run of %s", r.Server, r.ID)
		}
	}
}

// overlapping returns how many requests went on at another server while the one before still worked on it some time later.
func (w *works) overlapping() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for id, runs := range w.runs {
		for i := 1; i < len(runs); i++ {
			before, next := runs[i-1], runs[i]
			if before.server != next.server && (before.end.IsZero() || before.end.Sub(next.began) > still) {
				n++
				w.site.Logf("%s went on at %s while %s worked on it for another %v", id, next.server, before.server, before.end.Sub(next.began))
			}
		}
	}
	return n
}

func run(s *site.Site) (broken bool, err error) {
	if err := s.Start(daemons, site.Settings{RequireFencing: true}); err != nil {
		return false, err
	}
	seen := &works{site: s, runs: make(map[string][]*work)}
	var machines []*machine.Machine
	for i, stage := range []string{standin.RolePrefill, standin.RoleDecode, standin.RoleDecode, standin.RoleDecode} {
		m := &machine.Machine{Site: s, ID: fmt.Sprintf("llm-%d", i+1), Service: service, Stage: stage, Events: events, EventGap: eventGap, Observer: seen}
		if err := m.Start(version); err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	s.Store.PutConfig(1, []standin.Service{{
		Name: service, Kind: standin.Streaming, Attempts: 3, Timeout: deadline, Objective: 500 * time.Millisecond, GapObjective: 150 * time.Millisecond,
	}})
	if err := s.StartDaemons(); err != nil {
		return false, err
	}
	time.Sleep(calm)
	for round := range rounds {
		var clients sync.WaitGroup
		for i := range streams {
			clients.Go(func() { stream(s, round*streams+i) })
			time.Sleep(streamGap)
		}
		time.Sleep(streams * streamGap)
		if m := machines[1+round%3]; s.Trouble {
			s.Logf("server %s is silent for %v", m.ID, silence)
			m.Silence(silence)
			time.Sleep(silence)
			s.Logf("server %s goes on", m.ID)
		}
		clients.Wait()
		time.Sleep(time.Second)
	}
	n := seen.overlapping()
	s.Logf("%d streams went on at another server while the one before worked on", n)
	return n > 0, nil
}

func stream(s *site.Site, n int) {
	d, id := s.Daemons[n%len(s.Daemons)], fmt.Sprintf("stream-%d", n)
	caller := standin.NewCaller()
	defer caller.Close()
	reply := caller.Send(context.Background(), d.Front(), service, id, deadline, true, func() {})
	s.Logf("%s at %s: status %d, %d events, error %v", id, d.Name, reply.Status, len(reply.Events), reply.Err)
}
