package member

import (
	"context"
	"time"
)

// Serve implements suture.Service.
func (p *Peers) Serve(ctx context.Context) error {
	done := p.links.ServeBackground(ctx)
	defer func() { <-done }()
	every := p.updateInterval()
	p.tracker.SetUpdateDelay(p.updateDelay())
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	var s schedule
	for {
		wait := p.updateInterval()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			p.sendDue(&s, now)
		case <-p.wake:
			wait = min(wait, p.reportPending(&s, time.Now()))
		}
		if wait != every {
			every = wait
			ticker.Reset(every)
			p.tracker.SetUpdateDelay(p.updateDelay())
		}
	}
}

// timetable is when the peers were told last, and silence looked for.
type schedule struct{ heartbeat, loads, silence time.Time }

// tellNews tells the daemon above what is new, and returns the time until that is due: some
// changes come close to each other and go together.
func (p *Peers) reportPending(t *schedule, now time.Time) time.Duration {
	if p.isFullMesh() {
		return loadInterval
	}
	if remaining := minReportInterval - now.Sub(t.loads); remaining > 0 {
		return remaining
	}
	t.loads = now
	p.report(now, p.needsTotals())
	return p.updateInterval()
}

// tell does what is due.
func (p *Peers) sendDue(t *schedule, now time.Time) {
	if now.Sub(t.silence) >= heartbeatInterval {
		t.silence = now
		p.checkSilence(now)
	}
	if !p.isFullMesh() {
		p.sendLarge(t, now)
		return
	}
	if now.Sub(t.heartbeat) >= heartbeatInterval {
		t.heartbeat, t.loads = now, now
		p.broadcast(p.heartbeatState(now))
		return
	}
	if now.Sub(t.loads) < loadInterval {
		return
	}
	if m := p.loadUpdate(now); m != nil {
		t.loads = now
		p.broadcast(m)
	}
}

// tellLarge tells the neighbours of this daemon and the one above of its work.
func (p *Peers) sendLarge(t *schedule, now time.Time) {
	if now.Sub(t.heartbeat) >= largeHeartbeatInterval || p.statusChanged() {
		t.heartbeat = now
		p.broadcast(p.heartbeatState(now))
	}
	t.loads = now
	p.report(now, p.needsTotals())
}

// statusChanged reports whether callers are to be sent here or not other than the peers
// were told, or the configuration is newer: neither can wait for the next beat.
func (p *Peers) statusChanged() bool {
	summary := p.summary()
	p.mu.Lock()
	defer p.mu.Unlock()
	return summary.Serving != p.reported.Serving || summary.Config != p.reported.Config
}

// tellEvery is the time between two looks at what is to be told.
func (p *Peers) updateInterval() time.Duration {
	busy := p.needsTotals()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.fullMesh:
		return loadInterval
	case busy:
		return p.parent.interval
	default:
		return idleQueryInterval / 2
	}
}

// blindFor returns how long others' work takes to be known here, on the long side. In a
// large site that of another data centre goes through three daemons, each of which may have
// to wait for the next question of the one below it.
func (p *Peers) updateDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fullMesh {
		return loadInterval / 2
	}
	return 3 * p.parent.interval / 2
}

// meshed reports whether every daemon tells every other its state.
func (p *Peers) isFullMesh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fullMesh
}
