// Command usagetwice is a case of review/: a window's usage is reported twice, with different counts.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"tamarackchute/platform/standin"
	"tamarackchute/review/stand-2/site"
)

const (
	windowS    = 5
	usageLateS = 10
	daemons    = 4
	// perSecond is the rate of requests at each daemon.
	perSecond = 20
	service   = "app"
	key       = "key-of-orchard"
	// reportedBefore is how many windows are reported before the disruption.
	reportedBefore = 2
	// Half of the processes are stopped and started in turn: rollDelay is the time between the disruption and the first stop,
	// rollGap that between two stops.
	rollDelay, rollGap = 1500 * time.Millisecond, 2 * time.Second
	grace              = 8 * time.Second
	// copyAge is the age of the copy from which the store is restored, rewriteAfter the time until lost entries are written again.
	copyAge, rewriteAfter = 3 * time.Second, time.Second
	// observed is how long reports are observed after that: until the windows before it are no longer reported.
	observed = 30 * time.Second
)

// restores says that the store is restored from an older copy; otherwise it forgets its history.
var restores = flag.Bool("restore", false, "restore the store from an older copy; otherwise it forgets its history")

func main() {
	flag.Parse()
	site.Run("usagetwice", run)
}

func run(s *site.Site) (broken bool, err error) {
	cloud := standin.NewCloud(func(c standin.CloudCall) {
		s.Logf("platform accepts a report of window %d from %s, fence %d: %v", c.Window, c.Holder, c.Token, c.Counts)
	})
	settings := site.Settings{WindowS: windowS, UsageLateS: usageLateS, StrictRevocation: true, RequireFencing: true, Cloud: "pending"}
	if err := s.Start(daemons, settings); err != nil {
		return false, err
	}
	l, err := s.ListenServer()
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(l, cloud) }()
	s.SetCloud(l.Addr().String())
	for i := range 2 {
		l, err := s.ListenServer()
		if err != nil {
			return false, err
		}
		server := standin.NewServerOn(fmt.Sprintf("app-%d", i+1), l)
		server.Born = time.Now().UnixMilli()
		s.Heartbeat(server, service)
	}
	s.Store.PutConfig(1, []standin.Service{{Name: service, Kind: standin.Idempotent, Attempts: 2, Timeout: 1500 * time.Millisecond}},
		standin.Tenant{Name: "orchard", ApiKeys: []string{key}})
	if err := s.StartDaemons(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var served atomic.Int64
	for _, d := range s.Daemons {
		go load(ctx, d, &served)
	}
	if err := awaitReports(cloud, reportedBefore); err != nil {
		return false, err
	}
	holder := cloud.Calls()[0].Holder
	s.Logf("%d requests served; %d reports; the holder is %s", served.Load(), len(cloud.Calls()), holder)
	if s.Trouble {
		disrupt(s)
	}
	time.Sleep(rollDelay)
	for _, d := range s.Daemons[:len(s.Daemons)/2] {
		go roll(s, d)
		time.Sleep(rollGap)
	}
	time.Sleep(observed)
	s.Logf("%d requests served", served.Load())
	return reportedTwice(s, cloud.Calls()), nil
}

// load sends requests to a daemon.
func load(ctx context.Context, d *site.Daemon, served *atomic.Int64) {
	client := site.NewClient()
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		answer := client.Send(ctx, d.Front(), http.MethodGet, "/"+service+"/x", fmt.Sprintf("%s-%d", d.Name, n), 1500*time.Millisecond, "Authorization", "Bearer "+key)
		if answer.Status == http.StatusOK {
			served.Add(1)
		}
	}
}

// awaitReports waits until some windows have been reported.
func awaitReports(cloud *standin.Cloud, n int) error {
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if len(cloud.Calls()) >= n {
			return nil
		}
	}
	return fmt.Errorf("%d windows were reported, of %d", len(cloud.Calls()), n)
}

// disrupt lets the store forget its history, or restores it from an older copy.
func disrupt(s *site.Site) {
	if *restores {
		lost := s.Store.Restore(copyAge, rewriteAfter)
		s.Logf("the store is back from a copy %v old, which lacks %d records", copyAge, lost)
	} else {
		for _, topic := range append(slices.Clone(standin.Topics), "quarantine") {
			s.Store.DropHistory(topic)
		}
		s.Logf("the store has forgotten its history")
	}
}

// roll stops a process as planned work does, and starts the next one.
func roll(s *site.Site, d *site.Daemon) {
	d.Stop(grace)
	if err := d.Start(); err != nil {
		s.Logf("%v", err)
	}
}

// reportedTwice reports whether the platform has accepted two reports of one window with different counts.
func reportedTwice(s *site.Site, calls []standin.CloudCall) bool {
	first := make(map[int64]standin.CloudCall)
	broken := false
	for _, c := range calls {
		before, again := first[c.Window]
		switch {
		case !again:
			first[c.Window] = c
		case !maps.Equal(before.Counts, c.Counts):
			broken = true
			s.Logf("window %d was reported by %s as %v and by %s as %v", c.Window, before.Holder, before.Counts, c.Holder, c.Counts)
		}
	}
	return broken
}
