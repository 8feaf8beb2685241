package member

import (
	"slices"
	"sync"
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

const (
	// silentCheck is how often silent daemons are looked for.
	silenceCheckInterval = 100 * time.Millisecond
	// totalsKept is how long all are told that nobody has work at an upstream: some
	// full answers, in the largest site of several hundred daemons.
	emptyTotalRetention = 10 * time.Second
	// maxDepth is the most daemons that stand below each other where loads are added
	// up: one of a data centre, the one that collects there or stands in for it, and
	// the site's. Daemons that know different ones could report in a circle, and each
	// round would count all work again; a report from deeper down ends that.
	maxTreeDepth = 5
)

// tally is what the daemons that report to this one have in flight, what it has
// itself, and what it is told of all others; and the sum of it. The sum is kept up to
// date with each report: adding all up for each answer would cost the square of the
// daemons' number. Word of engines that take no work and of prompts goes the same way,
// to each sender but the one that it came from.
type loadAggregate struct {
	mu       sync.Mutex
	children map[string]*contribution
	// above is the rest of the site, as the daemon that this one reports to tells it.
	parent *contribution
	totals map[placement.Key]*total
	// order holds the sums in the order in which they came up: looked through for each
	// answer, a list takes a fraction of the map's time.
	order []*total
	// away are the engines that take no work, whoever said so.
	unavailable map[placement.Key]unavailableEntry
	// version counts the changes of the sum and of what else is told.
	version uint64
	// checked is when silent daemons were last looked for.
	lastSilenceCheck time.Time
}

// report is one sender's part of the sum.
type contribution struct {
	loads      map[placement.Key]placement.Load
	lastReport time.Time
	// told is the tally's version up to which the sender was told the others' part.
	sentVersion uint64
	// daemons is how many the report is of, depth how many stand below each other.
	daemons, depth int
	// reads are the others' prompts that the sender wasn't told of yet.
	pendingPrefills []placement.PrefillEvent
	// demands is what callers ask of those daemons, by pool.
	demands map[string]wire.MemberDemand
}

func newContribution() *contribution {
	return &contribution{loads: make(map[placement.Key]placement.Load)}
}

// total is the sum of all reports at one upstream.
type total struct {
	upstream placement.Key
	load     placement.Load
	// reports counts those in it.
	contributions int
	// changed is the tally's version of the last change, at its time, below that of the
	// last one that didn't come from above: only those are reported there.
	changed, changedBelow uint64
	changedAt             time.Time
}

func newLoadAggregate() *loadAggregate {
	return &loadAggregate{
		children: make(map[string]*contribution), parent: newContribution(), totals: make(map[placement.Key]*total),
		unavailable: make(map[placement.Key]unavailableEntry),
	}
}

// take books a report and returns the totals of all others, unless its sender wants no
// answer: what it hasn't been told yet is kept for the next one. ok is false if it comes
// from too deep down: the daemons report in a circle.
func (a *loadAggregate) applyReport(m wire.LoadReport, now time.Time) (others wire.LoadTotals, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Depth > maxTreeDepth {
		return wire.LoadTotals{}, false
	}
	a.forgetSilent(now)
	r := a.children[m.Peers]
	if r == nil {
		r = newContribution()
		a.children[m.Peers] = r
	}
	if m.Full {
		r.sentVersion = 0 // its answers may have been lost as well
		r.demands = m.Demands
	}
	r.daemons, r.depth = max(m.Daemons, 1), m.Depth
	a.applyLoads(r, m.Loads, m.Full, now)
	a.applyUnavailable(m.Away, now)
	a.forwardPrefills(r, m.Reads)
	if m.Unanswered {
		return wire.LoadTotals{}, true
	}
	return a.changedTotals(r, now), true
}

// collects reports whether other daemons than this one report here.
func (a *loadAggregate) hasChildren(self string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for from := range a.children {
		if from != self {
			return true
		}
	}
	return false
}

// takeAbove books what the daemon that this one reports to tells of the others.
func (a *loadAggregate) applyParentTotals(m wire.LoadTotals, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.parent.daemons = m.Senders
	a.applyLoads(a.parent, m.Loads, m.Full, now)
	a.applyUnavailable(m.Away, now)
	a.forwardPrefills(a.parent, m.Reads)
}

// totalsFor returns what has changed at the others since the sender of a report was
// told last.
func (a *loadAggregate) totalsFor(sender string, now time.Time) wire.LoadTotals {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.children[sender]; r != nil {
		return a.changedTotals(r, now)
	}
	return wire.LoadTotals{}
}

// reportAbove returns what to report: all but what was told from above, in full or
// what has changed since the last time.
func (a *loadAggregate) parentReport(self string, full bool, now time.Time) wire.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetSilent(now)
	if full {
		a.parent.sentVersion = 0
	}
	m := wire.LoadReport{Peers: self, Full: full, Away: a.unavailableSince(a.parent.sentVersion, now), Reads: a.parent.takePrefills()}
	for _, sum := range a.order {
		if sum.changedBelow <= a.parent.sentVersion {
			continue
		}
		if l := a.without(sum, a.parent); !full || l.Load != (placement.Load{}) {
			m.Loads = append(m.Loads, l)
		}
	}
	a.parent.sentVersion = a.version
	if full {
		m.Demands = a.demands()
	}
	for _, r := range a.children {
		m.Daemons += r.daemons
		m.Depth = max(m.Depth, r.depth+1)
	}
	return m
}

// demands adds up what callers ask of all that report. t.mu is held.
func (a *loadAggregate) demands() map[string]wire.MemberDemand {
	sum := make(map[string]wire.MemberDemand)
	for _, r := range a.children {
		for pool, d := range r.demands {
			sum[pool] = sum[pool].Plus(d)
		}
	}
	return sum
}

// demand returns what callers ask of a pool at all daemons that report here.
func (a *loadAggregate) demand(pool string) wire.MemberDemand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.demands()[pool]
}

// book takes a report's loads into the sum. If it is full, what it doesn't list is
// taken out of it.
func (a *loadAggregate) applyLoads(r *contribution, loads []placement.UpstreamLoad, full bool, now time.Time) {
	a.version++
	r.lastReport = now
	if full {
		a.removeUnlisted(r, loads, now)
	}
	for _, l := range loads {
		a.put(r, l, now)
	}
}

func (a *loadAggregate) removeUnlisted(r *contribution, loads []placement.UpstreamLoad, now time.Time) {
	listed := make(map[placement.Key]bool, len(loads))
	for _, l := range loads {
		listed[l.Upstream] = true
	}
	for at := range r.loads {
		if !listed[at] {
			a.remove(r, at, now)
		}
	}
}

// put takes one load of a report over.
func (a *loadAggregate) put(r *contribution, l placement.UpstreamLoad, now time.Time) {
	before, known := r.loads[l.Upstream]
	if known && before == l.Load {
		return
	}
	sum := a.totals[l.Upstream]
	if sum == nil {
		sum = &total{upstream: l.Upstream}
		a.totals[l.Upstream] = sum
		a.order = append(a.order, sum)
	}
	if !known {
		sum.contributions++
	}
	sum.load = sum.load.Minus(before).Plus(l.Load)
	a.recordChange(sum, r, now)
	r.loads[l.Upstream] = l.Load
}

// takeOut takes a load out of a report. An upstream where nobody has work any more
// stays in the sum for a while, so that all are told.
func (a *loadAggregate) remove(r *contribution, at placement.Key, now time.Time) {
	sum := a.totals[at]
	sum.load = sum.load.Minus(r.loads[at])
	sum.contributions--
	a.recordChange(sum, r, now)
	delete(r.loads, at)
}

func (a *loadAggregate) recordChange(sum *total, source *contribution, now time.Time) {
	sum.changed, sum.changedAt = a.version, now
	if source != a.parent {
		sum.changedBelow = a.version
	}
}

// forgetSilent drops the daemons that have fallen silent, what was told from above if
// nothing comes from there any more, and the upstreams where nobody has had work for
// long.
func (a *loadAggregate) forgetSilent(now time.Time) {
	if now.Sub(a.lastSilenceCheck) < silenceCheckInterval {
		return
	}
	a.lastSilenceCheck = now
	a.version++
	for from, r := range a.children {
		if now.Sub(r.lastReport) > peerTimeout {
			a.removeUnlisted(r, nil, now)
			delete(a.children, from)
		}
	}
	if now.Sub(a.parent.lastReport) > peerTimeout {
		a.removeUnlisted(a.parent, nil, now)
		a.parent.daemons = 0
	}
	a.order = slices.DeleteFunc(a.order, func(sum *total) bool {
		if sum.contributions > 0 || now.Sub(sum.changedAt) < emptyTotalRetention {
			return false
		}
		delete(a.totals, sum.upstream)
		return true
	})
}

// totals returns what all have but the sender of a report, where that has changed
// since its last answer. Its own changes are told as well; they change nothing.
func (a *loadAggregate) changedTotals(to *contribution, now time.Time) wire.LoadTotals {
	totals := wire.LoadTotals{Full: to.sentVersion == 0, Senders: a.parent.daemons - to.daemons, Away: a.unavailableSince(to.sentVersion, now), Reads: to.takePrefills()}
	for _, r := range a.children {
		totals.Senders += r.daemons
	}
	totals.Loads = a.others(to)
	return totals
}

// others returns the sum without one report, where it has changed since that one's
// sender was told.
func (a *loadAggregate) others(recipient *contribution) []placement.UpstreamLoad {
	var loads []placement.UpstreamLoad
	for _, sum := range a.order {
		if sum.changed > recipient.sentVersion {
			loads = append(loads, a.without(sum, recipient))
		}
	}
	recipient.sentVersion = a.version
	return loads
}

func (*loadAggregate) without(sum *total, r *contribution) placement.UpstreamLoad {
	return placement.UpstreamLoad{Upstream: sum.upstream, Load: sum.load.Minus(r.loads[sum.upstream])}
}
