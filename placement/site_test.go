package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// siteReplay is a replay with many daemons, which receive each other's updates with a
// delay.
type siteReplay struct {
	*replay
	daemons []*Tracker
	// interval is how often a daemon sends an update, delay how long it takes to arrive.
	interval, delay time.Duration
}

func newSiteReplay(daemons, engines int, speed float64, interval, delay time.Duration) *siteReplay {
	p := &siteReplay{replay: newReplay(engines, speed, true), interval: interval, delay: delay}
	for range daemons {
		tracker := NewTracker(p.clock.now)
		tracker.AssumeNewEnginesEmpty()
		tracker.Sync(p.members)
		tracker.search.draw = p.rand.ExpFloat64
		p.daemons = append(p.daemons, tracker)
	}
	return p
}

// load is like replay.load, with a random daemon for each request.
func (p *siteReplay) load(k requestKind, from, length time.Duration, perSecond float64) {
	start := p.clock.at
	for t := from; t < from+length; {
		at := start.Add(t)
		p.at(at, func() {
			p.tracker = p.daemons[p.rand.IntN(len(p.daemons))]
			p.request(k)
		})
		t += time.Duration(p.rand.ExpFloat64() / perSecond * float64(time.Second))
	}
}

// exchange schedules the updates between daemons for the given time.
func (p *siteReplay) exchange(length time.Duration) {
	start := p.clock.at
	for i, from := range p.daemons {
		for t := time.Duration(i) * p.interval / time.Duration(len(p.daemons)); t < length; t += p.interval {
			p.at(start.Add(t), func() { p.sendUpdate(from, fmt.Sprint("daemon ", i)) })
		}
	}
}

func (p *siteReplay) sendUpdate(from *Tracker, name string) {
	loads, events := from.LocalLoads(false), from.PrefillEvents()
	if len(loads)+len(events) == 0 {
		return
	}
	p.at(p.clock.at.Add(p.delay), func() {
		for _, b := range p.daemons {
			if b != from {
				b.ApplyPeerUpdate(name, loads, events)
			}
		}
	})
}

// train lets all daemons learn the parameters of the engines before the replay.
func (p *siteReplay) train(k requestKind) {
	p.load(k, 0, time.Second, 100)
	p.run()
	for i, from := range p.daemons {
		for _, to := range p.daemons {
			if to != from {
				to.Merge(fmt.Sprint("daemon ", i), from.LocalObservations())
			}
		}
	}
	p.requests, p.onTime, p.late, p.refused = 0, 0, 0, 0
}

// burst simulates three seconds of four times the usual load, on a site of forty daemons
// and sixteen engines.
func burst(interval, delay, updateDelay time.Duration) *siteReplay {
	kind := requestKind{"brief", 6300, 2890, 2, 40, 120 * time.Millisecond}
	p := newSiteReplay(40, 16, 600, interval, delay)
	p.train(kind)
	for _, b := range p.daemons {
		b.SetUpdateDelay(updateDelay)
	}
	p.exchange(3200 * time.Millisecond)
	p.load(kind, 0, 3*time.Second, 2000)
	p.run()
	return p
}

// Daemons of a large site receive each other's updates some 20 ms late. In a burst all of
// them meanwhile choose the engine that looks best; many prompts sent there are late,
// though each was expected to meet its objective, while other engines have capacity.
func TestManyDaemonsSpreadBurst(t *testing.T) {
	const interval, delay = 13 * time.Millisecond, 10 * time.Millisecond
	plain, estimated := burst(interval, delay, 0), burst(interval, delay, interval/2+delay)
	t.Logf("with unseen work: %v; without: %v", estimated, plain)
	require.Greater(t, estimated.onTimeShare(), plain.onTimeShare()+0.05)
	require.Less(t, estimated.late, plain.late/2)
}

// Compares updates sent as the load changes with updates at fixed intervals on each hop:
// earlier updates must reduce the number of late requests.
func TestPromptUpdatesReduceLateRequests(t *testing.T) {
	delayed := burst(13*time.Millisecond, 20*time.Millisecond, 0)
	early := burst(2*time.Millisecond, 7*time.Millisecond, 0)
	t.Logf("as the load changes: %v; at intervals: %v", early, delayed)
	require.Greater(t, early.onTimeShare(), delayed.onTimeShare()+0.05)
	require.Less(t, early.late, delayed.late/2)
}
