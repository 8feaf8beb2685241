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
	queryInterval          = 10 * time.Millisecond
	queryIntervalPerDaemon = 150 * time.Microsecond
	// restEvery is how often a daemon asks for the totals while nothing is to be
	// decided there: often enough for silence and new lists of upstreams to be noticed.
	idleQueryInterval = 100 * time.Millisecond
	// fullEvery is the time between two full reports, which make up for those that were
	// lost.
	fullReportInterval = 300 * time.Millisecond
	// freshFor is the age up to which totals do for a decision without being asked for:
	// daemons of a small site tell each other that often.
	maxTotalsAge = loadInterval
	// askLimit is how long a decision waits for totals: some times the way within a data
	// centre and back, and a hundredth of what callers of short answers wait.
	totalsTimeout = 5 * time.Millisecond
	// collectorSilent is the silence after which the next daemon in line is asked
	// to collect, collectorRetry the time after which the first is tried again.
	aggregatorTimeout = 500 * time.Millisecond
	aggregatorRetry   = 3 * time.Second
	// totalsLogged is the least time between two log lines on the totals.
	totalsLogInterval = 2 * time.Second
	// totalsFrom names the totals in the books.
	totalsSource = "totals"
)

// report books this daemon's load and tells it, with that of those that report to it,
// where there is news. With ask, and now and then, it wants an answer. Asking every 13 ms
// whether totals are needed or not takes a third more processor time: 260 s, not 197, of 87
// daemons over 73 s with eight requests a second each.
func (p *Peers) report(now time.Time, query bool) {
	// A later report must not overtake this one: what it says replaces this one's.
	p.reportMu.Lock()
	defer p.reportMu.Unlock()
	p.mu.Lock()
	parent := &p.parent
	link := p.parentLink(now)
	full := now.Sub(parent.lastFull) >= fullReportInterval
	if full {
		parent.lastFull = now
	}
	query = query || full || now.Sub(parent.lastQuery) >= idleQueryInterval
	if query {
		parent.lastQuery = now
	}
	unavailable := p.unavailableEngines()
	p.mu.Unlock()
	local := wire.LoadReport{Peers: p.self.Peers, Full: full, Loads: p.tracker.LocalLoads(full), Daemons: 1, Away: unavailable, Reads: p.tracker.PrefillEvents()}
	if full {
		local.Demands = p.localDemand()
	}
	if totals, ok := p.aggregate.applyReport(local, now); ok {
		p.recordTotals(totals)
	}
	if link == nil {
		return
	}
	m := p.aggregate.parentReport(p.self.Peers, full, now)
	m.Unanswered = !query
	if query || m.HasNews() {
		link.Send(m)
	}
}

// needsTotals reports whether the totals are of use here at any moment: requests wait
// for a place, or other daemons are told them.
func (p *Peers) needsTotals() bool {
	return p.requestsWaiting() || p.aggregate.hasChildren(p.self.Peers)
}

// Refresh asks for what the others have in flight before a decision, and waits for the
// answer, some milliseconds at most.
func (p *Peers) Refresh(ctx context.Context) {
	answered := p.queryTotals(time.Now())
	if answered == nil {
		return
	}
	limit := time.NewTimer(totalsTimeout)
	defer limit.Stop()
	select {
	case <-answered:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// askTotals asks for the totals, unless they are fresh or have just been asked for. The
// channel is closed when they have come; nil if there is nothing to wait for.
func (p *Peers) queryTotals(now time.Time) <-chan struct{} {
	p.mu.Lock()
	parent := &p.parent
	if p.fullMesh || parent.link == nil || now.Sub(parent.lastAnswer) < maxTotalsAge {
		p.mu.Unlock()
		return nil
	}
	answered := parent.pendingAnswer
	if answered != nil && now.Sub(parent.lastQuery) < totalsTimeout {
		p.mu.Unlock()
		return answered
	}
	answered = make(chan struct{})
	parent.pendingAnswer = answered
	p.mu.Unlock()
	p.report(now, true)
	p.wakeReporter() // whoever finds no place needs the totals again soon
	return answered
}

// answerReport takes another daemon's report.
func (p *Peers) handleReport(m wire.LoadReport, reply func(wire.Message)) {
	totals, ok := p.aggregate.applyReport(m, time.Now())
	if !ok {
		p.log.Warn("loads reported in a circle", "from", m.Peers, "depth", m.Depth)
		return
	}
	if m.Unanswered {
		return
	}
	summary := p.summary()
	totals.Config, totals.ReadAge = summary.Config, summary.ListAge
	totals.ListPosition, totals.ListDigest, totals.ListSize = uint64(summary.ListPosition), summary.ListDigest, summary.ListSize
	reply(totals)
}

// collector returns the link to the daemon that is reported to, nil if nobody is.
// One that has fallen silent is passed over for a while.
func (p *Peers) parentLink(now time.Time) *wire.Link {
	parent := &p.parent
	to, ok := parent.candidate()
	switch {
	case parent.current > 0 && now.Sub(parent.failedOver) > aggregatorRetry:
		p.useCandidate(0, now)
	case ok && now.Sub(parent.lastAnswer) > aggregatorTimeout:
		if parent.current == 0 {
			parent.failedOver = now
		}
		p.log.Warn("collector of loads silent", "address", to.Peers)
		p.useCandidate(parent.current+1, now)
	}
	return parent.link
}

func (p *Peers) useCandidate(i int, now time.Time) {
	parent := &p.parent
	parent.current, parent.lastAnswer, parent.lastFull = i, now, time.Time{}
	p.closeLink(&parent.outgoingLink)
	parent.noParent = parent.noParent || i >= len(parent.candidates)
	if to, ok := parent.candidate(); ok {
		parent.outgoingLink = p.openLink(to.Peers, func(m wire.Message) { p.applyTotals(to.Peers, m) })
	}
}

// endCollecting forgets the totals: the site has become small enough for each daemon
// to tell all others its work.
func (p *Peers) stopAggregation() {
	if len(p.parent.candidates) == 0 {
		return
	}
	p.closeLink(&p.parent.outgoingLink)
	p.parent = parentState{}
	p.tracker.ForgetPeer(totalsSource)
}

// relineCollectors follows a change of the known daemons.
func (p *Peers) updateCandidates(all []wire.MemberAddress, now time.Time) {
	parent := &p.parent
	before, hadParent := parent.candidate()
	parent.candidates = parentCandidates(p.self, all)
	parent.current = min(parent.current, len(parent.candidates))
	to, hasParent := parent.candidate()
	parent.interval = queryIntervalFor(p.self, to, all)
	if hadParent != hasParent || before.Peers != to.Peers {
		p.useCandidate(parent.current, now)
	}
}

// Collects reports whether this daemon adds up the loads of all in a large site.
func (p *Peers) Aggregates() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, reports := p.parent.candidate()
	return !p.fullMesh && !reports
}

// ReportsNearby reports whether this daemon of a large site reports to another one of its
// data centre, which hears of everything before it does.
func (p *Peers) ReportsInDataCentre() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	to, reports := p.parent.candidate()
	return !p.fullMesh && reports && to.DataCentre == p.self.DataCentre
}

// takeTotals takes the answer of the daemon that is reported to.
func (p *Peers) applyTotals(from string, m wire.Message) {
	totals, ok := m.(wire.LoadTotals)
	if !ok {
		return
	}
	p.mu.Lock()
	parent := &p.parent
	if to, ok := parent.candidate(); !ok || to.Peers != from {
		p.mu.Unlock()
		return // somebody else is reported to meanwhile
	}
	now := time.Now()
	parent.lastAnswer = now
	parent.answeredBy, parent.noParent = from, false
	answered := parent.pendingAnswer
	parent.pendingAnswer = nil
	if sender := p.peers[from]; sender != nil {
		sender.summary.Config, sender.summary.ListAge = totals.Config, totals.ReadAge
		sender.summary.ListPosition, sender.summary.ListDigest, sender.summary.ListSize = Position(totals.ListPosition), totals.ListDigest, totals.ListSize
		sender.lastUpdate = now
	}
	if totals.Senders != parent.loggedSenders && now.Sub(parent.loggedAt) > totalsLogInterval {
		parent.loggedSenders, parent.loggedAt = totals.Senders, now
		p.log.Info("totals of loads", "collector", from, "senders", totals.Senders)
	}
	p.mu.Unlock()
	p.onPeerList(Position(totals.ListPosition), totals.ListDigest, totals.ReadAge)
	p.aggregate.applyParentTotals(totals, now)
	p.recordTotals(p.aggregate.totalsFor(p.self.Peers, now))
	if answered != nil {
		close(answered)
	}
}

// noteTotals books what all others have, as far as it is news. It wakes no request that
// waits, as a peer's word does: those look every 10 ms by themselves, and totals come about
// as often.
func (p *Peers) recordTotals(totals wire.LoadTotals) {
	p.applyUnavailable(totals.Away)
	p.tracker.ApplyPeerUpdate(totalsSource, totals.Loads, totals.Reads)
}
