package member

import (
	"context"
	"time"
)

// Serve implements suture.Service.
func (p *Peers) Serve(ctx context.Context) error {
	done := p.links.ServeBackground(ctx)
	defer func() { <-done }()
	interval := p.updateInterval()
	p.tracker.SetUpdateDelay(p.updateDelay())
	ticker := time.NewTicker(interval)
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
		if wait != interval {
			interval = wait
			ticker.Reset(interval)
			p.tracker.SetUpdateDelay(p.updateDelay())
		}
	}
}

// schedule is when heartbeats and loads were last sent, and silence was checked.
type schedule struct{ heartbeat, loads, silence time.Time }

// reportPending reports updates to the parent if that is due, and returns the time until the
// next report is: changes in quick succession are combined.
func (p *Peers) reportPending(s *schedule, now time.Time) time.Duration {
	if p.isFullMesh() {
		return loadInterval
	}
	if remaining := minReportInterval - now.Sub(s.loads); remaining > 0 {
		return remaining
	}
	s.loads = now
	p.report(now, p.needsTotals())
	return p.updateInterval()
}

// sendDue sends what is due.
func (p *Peers) sendDue(s *schedule, now time.Time) {
	if now.Sub(s.silence) >= heartbeatInterval {
		s.silence = now
		p.checkSilence(now)
	}
	if !p.isFullMesh() {
		p.sendLarge(s, now)
		return
	}
	if now.Sub(s.heartbeat) >= heartbeatInterval {
		s.heartbeat, s.loads = now, now
		p.broadcast(p.heartbeatState(now))
		return
	}
	if now.Sub(s.loads) < loadInterval {
		return
	}
	if m := p.loadUpdate(now); m != nil {
		s.loads = now
		p.broadcast(m)
	}
}

// sendLarge sends heartbeats to the neighbours and a report to the parent.
func (p *Peers) sendLarge(s *schedule, now time.Time) {
	if now.Sub(s.heartbeat) >= largeHeartbeatInterval || p.statusChanged() {
		s.heartbeat = now
		p.broadcast(p.heartbeatState(now))
	}
	s.loads = now
	p.report(now, p.needsTotals())
}

// statusChanged reports whether, since its last state, the daemon has started or stopped serving,
// can or can't use its API keys any more, or got a newer configuration: none of these can wait for
// the next heartbeat.
func (p *Peers) statusChanged() bool {
	summary := p.summary()
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.reported
	return summary.Serving != last.Serving || summary.KeysStale != last.KeysStale || summary.Config != last.Config
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
