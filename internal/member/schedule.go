package member

import (
	"context"
	"time"
)

// Serve implements suture.Service.
func (p *Peers) Serve(ctx context.Context) error {
	done := p.links.ServeBackground(ctx)
	defer func() { <-done }()
	every := p.tellEvery()
	p.books.SetUpdateDelay(p.blindFor())
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	var t timetable
	for {
		wait := p.tellEvery()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			p.tell(&t, now)
		case <-p.news:
			wait = min(wait, p.tellNews(&t, time.Now()))
		}
		if wait != every {
			every = wait
			ticker.Reset(every)
			p.books.SetUpdateDelay(p.blindFor())
		}
	}
}

// timetable is when the peers were told last, and silence looked for.
type timetable struct{ beat, load, checked time.Time }

// tellNews tells the daemon above what is new, and returns the time until that is due: some
// changes come close to each other and go together.
func (p *Peers) tellNews(t *timetable, now time.Time) time.Duration {
	if p.meshed() {
		return stateEvery
	}
	if early := newsEvery - now.Sub(t.load); early > 0 {
		return early
	}
	t.load = now
	p.report(now, p.needsTotals())
	return p.tellEvery()
}

// tell does what is due.
func (p *Peers) tell(t *timetable, now time.Time) {
	if now.Sub(t.checked) >= beatEvery {
		t.checked = now
		p.checkSilence(now)
	}
	if !p.meshed() {
		p.tellLarge(t, now)
		return
	}
	if now.Sub(t.beat) >= beatEvery {
		t.beat, t.load = now, now
		p.send(p.state(now))
		return
	}
	if now.Sub(t.load) < stateEvery {
		return
	}
	if m := p.changes(now); m != nil {
		t.load = now
		p.send(m)
	}
}

// tellLarge tells the neighbours of this daemon and the one above of its work.
func (p *Peers) tellLarge(t *timetable, now time.Time) {
	if now.Sub(t.beat) >= largeBeatEvery || p.statusChanged() {
		t.beat = now
		p.send(p.state(now))
	}
	t.load = now
	p.report(now, p.needsTotals())
}

// statusChanged reports whether callers are to be sent here or not other than the peers
// were told, or the configuration is newer: neither can wait for the next beat.
func (p *Peers) statusChanged() bool {
	about := p.about()
	p.mu.Lock()
	defer p.mu.Unlock()
	return about.Serving != p.toldAbout.Serving || about.Config != p.toldAbout.Config
}

// tellEvery is the time between two looks at what is to be told.
func (p *Peers) tellEvery() time.Duration {
	busy := p.needsTotals()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.full:
		return stateEvery
	case busy:
		return p.collect.interval
	default:
		return restEvery / 2
	}
}

// blindFor returns how long others' work takes to be known here, on the long side. In a
// large site that of another data centre goes through three daemons, each of which may have
// to wait for the next question of the one below it.
func (p *Peers) blindFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.full {
		return stateEvery / 2
	}
	return 3 * p.collect.interval / 2
}

// meshed reports whether every daemon tells every other its state.
func (p *Peers) meshed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full
}
