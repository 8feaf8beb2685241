package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// siteReplay has many daemons that decide, each of which hears of the others' work a while
// late.
type siteReplay struct {
	*replay
	daemons []*Tracker
	// every and underway are how often a daemon tells of its work, and how long that takes
	// to be known.
	interval, delay time.Duration
}

func newSiteReplay(daemons, engines int, speed float64, interval, delay time.Duration) *siteReplay {
	p := &siteReplay{replay: newReplay(engines, speed, true), interval: interval, delay: delay}
	for range daemons {
		b := NewTracker(p.clock.now)
		b.AssumeNewEnginesEmpty()
		b.Sync(p.members)
		b.search.draw = p.rand.ExpFloat64
		p.daemons = append(p.daemons, b)
	}
	return p
}

// load is as that of a replay, at any of the daemons.
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

// talk has the daemons tell each other of their work for a while.
func (p *siteReplay) exchange(length time.Duration) {
	start := p.clock.at
	for i, from := range p.daemons {
		for t := time.Duration(i) * p.interval / time.Duration(len(p.daemons)); t < length; t += p.interval {
			p.at(start.Add(t), func() { p.sendUpdate(from, fmt.Sprint("daemon ", i)) })
		}
	}
}

func (p *siteReplay) sendUpdate(from *Tracker, name string) {
	loads, reads := from.LocalLoads(false), from.PrefillEvents()
	if len(loads)+len(reads) == 0 {
		return
	}
	p.at(p.clock.at.Add(p.delay), func() {
		for _, b := range p.daemons {
			if b != from {
				b.ApplyPeerUpdate(name, loads, reads)
			}
		}
	})
}

// learn has all daemons know the engines from the start.
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

// burst plays three seconds in which callers press four times as hard as usual at a site of
// forty daemons before sixteen engines.
func burst(interval, delay, blind time.Duration) *siteReplay {
	kind := requestKind{"brief", 6300, 2890, 2, 40, 120 * time.Millisecond}
	p := newSiteReplay(40, 16, 600, interval, delay)
	p.train(kind)
	for _, b := range p.daemons {
		b.SetUpdateDelay(blind)
	}
	p.exchange(3200 * time.Millisecond)
	p.load(kind, 0, 3*time.Second, 2000)
	p.run()
	return p
}

// A burst comes to a site of many daemons, which hear of each other's work some 20 ms late.
// Each sends its prompts to the engine that looks best, as do all others in that time: every
// prompt there was expected in time, and many are late, while other engines have room.
func TestManyDaemonsSpreadBurst(t *testing.T) {
	const interval, delay = 13 * time.Millisecond, 10 * time.Millisecond
	without, with := burst(interval, delay, 0), burst(interval, delay, interval/2+delay)
	t.Logf("drawn: %v; not drawn: %v", with, without)
	require.Greater(t, with.onTimeShare(), without.onTimeShare()+0.05)
	require.Less(t, with.late, without.late/2)
}

// The same burst, where daemons tell their work as it changes, and where each step waits for
// the next report: what others have sent must be known sooner for fewer to be late.
func TestPromptUpdatesReduceLateRequests(t *testing.T) {
	late := burst(13*time.Millisecond, 20*time.Millisecond, 0)
	soon := burst(2*time.Millisecond, 7*time.Millisecond, 0)
	t.Logf("as it changes: %v; with the next report: %v", soon, late)
	require.Greater(t, soon.onTimeShare(), late.onTimeShare()+0.05)
	require.Less(t, soon.late, late.late/2)
}
