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

// schedule is when heartbeats and loads were last sent, and silence was checked.
type schedule struct{ heartbeat, loads, silence time.Time }

// reportPending reports updates to the parent, and returns the time until that is due: changes
// in quick succession are combined.
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

// sendDue sends what is due.
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

// sendLarge sends heartbeats to the neighbours and a report to the parent.
func (p *Peers) sendLarge(t *schedule, now time.Time) {
	if now.Sub(t.heartbeat) >= largeHeartbeatInterval || p.statusChanged() {
		t.heartbeat = now
		p.broadcast(p.heartbeatState(now))
	}
	t.loads = now
	p.report(now, p.needsTotals())
}

// statusChanged reports whether the daemon has started or stopped serving, or got a newer
// configuration, since its last state: neither can wait for the next heartbeat.
func (p *Peers) statusChanged() bool {
	summary := p.summary()
	p.mu.Lock()
	defer p.mu.Unlock()
	return summary.Serving != p.reported.Serving || summary.Config != p.reported.Config
}

// updateInterval returns the time between two checks for updates to send.
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

// updateDelay returns how long other daemons' load takes to be known here, as an upper estimate.
// In a large site, load from another data centre passes through three daemons, each of which may
// have to wait for the next query of the one below it.
func (p *Peers) updateDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fullMesh {
		return loadInterval / 2
	}
	return 3 * p.parent.interval / 2
}

// isFullMesh reports whether every daemon sends its state to every other one.
func (p *Peers) isFullMesh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fullMesh
}
