package member

import (
	"context"
	"time"

	"tamarackchute/internal/wire"
)

const (
	// collectEvery is how often a daemon of a large site asks for the totals while it
	// needs them; perDaemon is added for each daemon that reports to the same one, so that
	// its traffic doesn't grow with the square of their number.
	collectEvery = 10 * time.Millisecond
	perDaemon    = 150 * time.Microsecond
	// restEvery is how often a daemon asks for the totals while nothing is to be
	// decided there: often enough for silence and new lists of upstreams to be noticed.
	restEvery = 100 * time.Millisecond
	// fullEvery is the time between two full reports, which make up for those that were
	// lost.
	fullEvery = 300 * time.Millisecond
	// freshFor is the age up to which totals do for a decision without being asked for:
	// daemons of a small site tell each other that often.
	freshFor = stateEvery
	// askLimit is how long a decision waits for totals: some times the way within a data
	// centre and back, and a hundredth of what callers of short answers wait.
	askLimit = 5 * time.Millisecond
	// collectorSilent is the silence after which the next daemon in line is asked
	// to collect, collectorRetry the time after which the first is tried again.
	collectorSilent = 500 * time.Millisecond
	collectorRetry  = 3 * time.Second
	// totalsLogged is the least time between two log lines on the totals.
	totalsLogged = 2 * time.Second
	// totalsFrom names the totals in the books.
	totalsFrom = "totals"
)

// report books this daemon's load and tells it, with that of those that report to it,
// where there is news. With ask, and now and then, it wants an answer. Asking every 13 ms
// whether totals are needed or not takes a third more processor time: 260 s, not 197, of 87
// daemons over 73 s with eight requests a second each.
func (p *Peers) report(now time.Time, ask bool) {
	// A later report must not overtake this one: what it says replaces this one's.
	p.reporting.Lock()
	defer p.reporting.Unlock()
	p.mu.Lock()
	c := &p.collect
	link := p.collector(now)
	full := now.Sub(c.full) >= fullEvery
	if full {
		c.full = now
	}
	ask = ask || full || now.Sub(c.asked) >= restEvery
	if ask {
		c.asked = now
	}
	away := p.awayNow()
	p.mu.Unlock()
	own := wire.LoadReport{PeerAddress: p.self.Peers, Full: full, Loads: p.books.LocalLoads(full), Daemons: 1, Unavailable: away, Prefills: p.books.PrefillEvents()}
	if full {
		own.Demands = p.demand()
	}
	if totals, ok := p.tally.take(own, now); ok {
		p.noteTotals(totals)
	}
	if link == nil {
		return
	}
	m := p.tally.reportAbove(p.self.Peers, full, now)
	m.NoReply = !ask
	if ask || m.HasUpdates() {
		link.Send(m)
	}
}

// needsTotals reports whether the totals are of use here at any moment: requests wait
// for a place, or other daemons are told them.
func (p *Peers) needsTotals() bool {
	return p.waiting() || p.tally.collects(p.self.Peers)
}

// Refresh asks for what the others have in flight before a decision, and waits for the
// answer, some milliseconds at most.
func (p *Peers) Refresh(ctx context.Context) {
	answered := p.askTotals(time.Now())
	if answered == nil {
		return
	}
	limit := time.NewTimer(askLimit)
	defer limit.Stop()
	select {
	case <-answered:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// askTotals asks for the totals, unless they are fresh or have just been asked for. The
// channel is closed when they have come; nil if there is nothing to wait for.
func (p *Peers) askTotals(now time.Time) <-chan struct{} {
	p.mu.Lock()
	c := &p.collect
	if p.full || c.link == nil || now.Sub(c.heard) < freshFor {
		p.mu.Unlock()
		return nil
	}
	answered := c.answered
	if answered != nil && now.Sub(c.asked) < askLimit {
		p.mu.Unlock()
		return answered
	}
	answered = make(chan struct{})
	c.answered = answered
	p.mu.Unlock()
	p.report(now, true)
	p.noteNews() // whoever finds no place needs the totals again soon
	return answered
}

// answerReport takes another daemon's report.
func (p *Peers) answerReport(m wire.LoadReport, reply func(wire.Message)) {
	totals, ok := p.tally.take(m, time.Now())
	if !ok {
		p.log.Warn("loads reported in a circle", "from", m.PeerAddress, "depth", m.Depth)
		return
	}
	if m.NoReply {
		return
	}
	own := p.about()
	totals.Config, totals.ListAge = own.Config, own.ReadAge
	totals.ListPosition, totals.ListDigest, totals.ListSize = uint64(own.ListPosition), own.ListDigest, own.ListSize
	reply(totals)
}

// collector returns the link to the daemon that is reported to, nil if nobody is.
// One that has fallen silent is passed over for a while.
func (p *Peers) collector(now time.Time) *wire.Link {
	c := &p.collect
	to, ok := c.to()
	switch {
	case c.current > 0 && now.Sub(c.left) > collectorRetry:
		p.useCollector(0, now)
	case ok && now.Sub(c.heard) > collectorSilent:
		if c.current == 0 {
			c.left = now
		}
		p.log.Warn("collector of loads silent", "address", to.Peers)
		p.useCollector(c.current+1, now)
	}
	return c.link
}

func (p *Peers) useCollector(i int, now time.Time) {
	c := &p.collect
	c.current, c.heard, c.full = i, now, time.Time{}
	p.shut(&c.outgoing)
	c.alone = c.alone || i >= len(c.line)
	if to, ok := c.to(); ok {
		c.outgoing = p.open(to.Peers, func(m wire.Message) { p.takeTotals(to.Peers, m) })
	}
}

// endCollecting forgets the totals: the site has become small enough for each daemon
// to tell all others its work.
func (p *Peers) endCollecting() {
	if len(p.collect.line) == 0 {
		return
	}
	p.shut(&p.collect.outgoing)
	p.collect = collection{}
	p.books.ForgetPeer(totalsFrom)
}

// relineCollectors follows a change of the known daemons.
func (p *Peers) relineCollectors(all []wire.MemberAddress, now time.Time) {
	c := &p.collect
	before, had := c.to()
	c.line = reportLine(p.self, all)
	c.current = min(c.current, len(c.line))
	to, has := c.to()
	c.interval = reportEvery(p.self, to, all)
	if had != has || before.Peers != to.Peers {
		p.useCollector(c.current, now)
	}
}

// Collects reports whether this daemon adds up the loads of all in a large site.
func (p *Peers) Collects() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, reports := p.collect.to()
	return !p.full && !reports
}

// ReportsNearby reports whether this daemon of a large site reports to another one of its
// data centre, which hears of everything before it does.
func (p *Peers) ReportsNearby() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	to, reports := p.collect.to()
	return !p.full && reports && to.DataCentre == p.self.DataCentre
}

// takeTotals takes the answer of the daemon that is reported to.
func (p *Peers) takeTotals(from string, m wire.Message) {
	totals, ok := m.(wire.LoadTotals)
	if !ok {
		return
	}
	p.mu.Lock()
	c := &p.collect
	if to, ok := c.to(); !ok || to.Peers != from {
		p.mu.Unlock()
		return // somebody else is reported to meanwhile
	}
	now := time.Now()
	c.heard = now
	c.answering, c.alone = from, false
	answered := c.answered
	c.answered = nil
	if above := p.peers[from]; above != nil {
		above.about.Config, above.about.ReadAge = totals.Config, totals.ListAge
		above.about.ListPosition, above.about.ListDigest, above.about.ListSize = Position(totals.ListPosition), totals.ListDigest, totals.ListSize
		above.told = now
	}
	if totals.Daemons != c.senders && now.Sub(c.logged) > totalsLogged {
		c.senders, c.logged = totals.Daemons, now
		p.log.Info("totals of loads", "collector", from, "senders", totals.Daemons)
	}
	p.mu.Unlock()
	p.sameList(Position(totals.ListPosition), totals.ListDigest, totals.ListAge)
	p.tally.takeAbove(totals, now)
	p.noteTotals(p.tally.totalsFor(p.self.Peers, now))
	if answered != nil {
		close(answered)
	}
}

// noteTotals books what all others have, as far as it is news. It wakes no request that
// waits, as a peer's word does: those look every 10 ms by themselves, and totals come about
// as often.
func (p *Peers) noteTotals(totals wire.LoadTotals) {
	p.noteAway(totals.Unavailable)
	p.books.ApplyPeerUpdate(totalsFrom, totals.Loads, totals.Prefills)
}
