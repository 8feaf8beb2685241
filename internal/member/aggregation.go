package member

import (
	"context"
	"time"

	"tamarackchute/internal/wire"
)

const (
	// queryInterval is how often a daemon of a large site queries the totals while it needs
	// them. queryIntervalPerDaemon is added for each daemon of its data centre, so that the
	// aggregator's traffic doesn't grow with the square of their number.
	queryInterval          = 10 * time.Millisecond
	queryIntervalPerDaemon = 150 * time.Microsecond
	// idleQueryInterval is how often the totals are queried while no decision needs them: often
	// enough to notice silent daemons and new lists of upstreams.
	idleQueryInterval = 100 * time.Millisecond
	// fullReportInterval is the interval of full reports, which make up for lost ones.
	fullReportInterval = 300 * time.Millisecond
	// maxTotalsAge is the age up to which a decision uses the totals without a query: daemons of
	// a small site update each other that often.
	maxTotalsAge = loadInterval
	// totalsTimeout limits how long a decision waits for totals: several round trips within a
	// data centre, and a hundredth of the caller timeout for short answers.
	totalsTimeout = 5 * time.Millisecond
	// aggregatorTimeout is the silence after which a daemon reports to the next candidate,
	// aggregatorRetry the time after which it tries the first one again.
	aggregatorTimeout = 500 * time.Millisecond
	aggregatorRetry   = 3 * time.Second
	// totalsLogInterval is the minimum time between two log lines on the totals.
	totalsLogInterval = 2 * time.Second
	// totalsSource names the totals in the tracker.
	totalsSource = "totals"
)

// report records this daemon's load in the aggregate and sends the changes of its subtree to the
// parent. With query, and at least every idleQueryInterval, it asks for an answer. Asking in
// every report would take a third more CPU time at a site of 87 daemons.
func (p *Peers) report(now time.Time, query bool) {
	// Reports must not overtake each other: a later one replaces an earlier one.
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
	local := wire.LoadReport{PeerAddress: p.self.Peers, Full: full, Loads: p.tracker.LocalLoads(full), Daemons: 1, Unavailable: unavailable, Prefills: p.tracker.PrefillEvents()}
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
	m.NoReply = !query
	if query || m.HasUpdates() {
		link.Send(m)
	}
}

// needsTotals reports whether the totals are needed continuously: requests wait for a slot, or
// other daemons report to this one.
func (p *Peers) needsTotals() bool {
	return p.requestsWaiting() || p.aggregate.hasChildren(p.self.Peers)
}

// Refresh queries the load of the other daemons before a decision and waits for the answer, for
// totalsTimeout at most.
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

// queryTotals queries the totals, unless they are recent enough or a query is pending. The
// returned channel is closed when they arrive; it is nil if there is nothing to wait for.
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
	p.wakeReporter() // a request that finds no slot soon needs the totals again
	return answered
}

// handleReport processes another daemon's report.
func (p *Peers) handleReport(m wire.LoadReport, reply func(wire.Message)) {
	totals, ok := p.aggregate.applyReport(m, time.Now())
	if !ok {
		p.log.Warn("cyclic load report rejected", "from", m.PeerAddress, "depth", m.Depth)
		return
	}
	if m.NoReply {
		return
	}
	summary := p.summary()
	totals.ConfigVersion, totals.ConfigBytes, totals.ListAge = summary.Config, summary.ConfigBytes, summary.ListAge
	totals.ListPosition, totals.ListDigest, totals.ListSize = uint64(summary.ListPosition), summary.ListDigest, summary.ListSize
	reply(totals)
}

// parentLink returns the link to the daemon that this one reports to, nil if there is none. A
// silent parent is skipped until aggregatorRetry has passed.
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
		p.log.Warn("load aggregator silent", "address", to.Peers)
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
		parent.outgoingLink = p.openLink(to.Peers, func(m wire.Message) { p.handleParentReply(to.Peers, m) })
	}
}

// stopAggregation discards the totals: the site has become small enough for a full mesh.
func (p *Peers) stopAggregation() {
	if len(p.parent.candidates) == 0 {
		return
	}
	p.closeLink(&p.parent.outgoingLink)
	p.parent = parentState{}
	p.tracker.ForgetPeer(totalsSource)
}

// updateCandidates recomputes the possible parents after a change of the known daemons.
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

// IsRoot reports whether this daemon is the root that adds up the load of a large site.
func (p *Peers) IsRoot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, reports := p.parent.candidate()
	return !p.fullMesh && !reports
}

// ReportsInDataCentre reports whether this daemon of a large site reports to another one of its
// data centre, which receives all updates before it does.
func (p *Peers) ReportsInDataCentre() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	to, reports := p.parent.candidate()
	return !p.fullMesh && reports && to.DataCentre == p.self.DataCentre
}

// handleParentReply processes a reply of a parent.
func (p *Peers) handleParentReply(from string, m wire.Message) {
	if totals, ok := m.(wire.LoadTotals); ok {
		p.applyTotals(from, totals)
		return
	}
	p.handleReply(from, m)
}

// applyTotals processes the totals of the parent.
func (p *Peers) applyTotals(from string, totals wire.LoadTotals) {
	p.mu.Lock()
	parent := &p.parent
	if to, ok := parent.candidate(); !ok || to.Peers != from {
		p.mu.Unlock()
		return // the parent has changed meanwhile
	}
	now := time.Now()
	parent.lastAnswer = now
	parent.answeredBy, parent.noParent = from, false
	answered := parent.pendingAnswer
	parent.pendingAnswer = nil
	if sender := p.peers[from]; sender != nil {
		sender.summary.Config, sender.summary.ConfigBytes, sender.summary.ListAge = totals.ConfigVersion, totals.ConfigBytes, totals.ListAge
		sender.summary.ListPosition, sender.summary.ListDigest, sender.summary.ListSize = Position(totals.ListPosition), totals.ListDigest, totals.ListSize
		sender.lastUpdate = now
	}
	if totals.Daemons != parent.loggedSenders && now.Sub(parent.loggedAt) > totalsLogInterval {
		parent.loggedSenders, parent.loggedAt = totals.Daemons, now
		p.log.Info("load totals", "collector", from, "senders", totals.Daemons)
	}
	p.mu.Unlock()
	p.onPeerList(Position(totals.ListPosition), totals.ListDigest, totals.ListAge)
	p.onConfigNamed(totals.ConfigVersion, from)
	p.aggregate.applyParentTotals(totals, now)
	p.recordTotals(p.aggregate.totalsFor(p.self.Peers, now))
	if answered != nil {
		close(answered)
	}
}

// recordTotals records the load of all other daemons in the tracker. Unlike an update from a
// peer it wakes no waiting requests: those check every 10 ms themselves, and totals arrive about
// as often.
func (p *Peers) recordTotals(totals wire.LoadTotals) {
	p.applyUnavailable(totals.Unavailable)
	p.tracker.ApplyPeerUpdate(totalsSource, totals.Loads, totals.Prefills)
}
