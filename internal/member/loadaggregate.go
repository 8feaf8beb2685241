package member

import (
	"slices"
	"sync"
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

const (
	// silenceCheckInterval is how often silent daemons are looked for.
	silenceCheckInterval = 100 * time.Millisecond
	// emptyTotalRetention is how long totals without work are kept, so that all daemons receive
	// them: several full answers, also in a site of several hundred daemons.
	emptyTotalRetention = 10 * time.Second
	// maxTreeDepth limits the depth of the aggregation tree: a daemon, the aggregator of its
	// data centre or its substitute, and the root. Daemons that know different peers could form
	// a cycle, in which each round would count all work again; the limit ends that.
	maxTreeDepth = 5
)

// loadAggregate adds up the load of this daemon and of those that report to it, its children,
// and the rest of the site as its parent reports it. The sum is updated with each report: a new
// sum for each answer would take time quadratic in the number of daemons. Unavailable engines
// and prefills are passed on likewise, to all but their sender.
type loadAggregate struct {
	mu sync.Mutex
	// children are the contributions of this daemon and of those that report to it, by address.
	children map[string]*contribution
	// parent is the load of the rest of the site, as received from the parent.
	parent *contribution
	totals map[placement.Key]*total
	// order holds the totals in order of creation: iterating over a slice for each answer takes
	// a fraction of the time of iterating over the map.
	order []*total
	// unavailable are the unavailable engines reported by any daemon.
	unavailable map[placement.Key]unavailableEntry
	// version counts the changes of the totals and of what else is sent.
	version uint64
	// lastSilenceCheck is when silent daemons were last looked for.
	lastSilenceCheck time.Time
}

// contribution is one sender's part of the totals.
type contribution struct {
	loads      map[placement.Key]placement.Load
	lastReport time.Time
	// sentVersion is the aggregate's version up to which updates were sent to the sender.
	sentVersion uint64
	// daemons is the number of daemons included, depth the depth of their subtree.
	daemons, depth int
	// pendingPrefills are prefill events of others not yet sent to the sender.
	pendingPrefills []placement.PrefillEvent
	// demands is the demand at those daemons, by pool.
	demands map[string]wire.MemberDemand
}

func newContribution() *contribution {
	return &contribution{loads: make(map[placement.Key]placement.Load)}
}

// total is the sum of all contributions at one upstream.
type total struct {
	upstream placement.Key
	load     placement.Load
	// contributions is the number of contributions included.
	contributions int
	// changed is the aggregate's version of the last change, made at changedAt; changedBelow is
	// that of the last change not received from the parent: only those are reported there.
	changed, changedBelow uint64
	changedAt             time.Time
}

func newLoadAggregate() *loadAggregate {
	return &loadAggregate{
		children: make(map[string]*contribution), parent: newContribution(), totals: make(map[placement.Key]*total),
		unavailable: make(map[placement.Key]unavailableEntry),
	}
}

// applyReport applies a report and returns the totals of all others, unless its sender wants no
// answer: then they are kept for the next one. ok is false if the report comes from too deep in
// the tree, as its senders form a cycle.
func (a *loadAggregate) applyReport(m wire.LoadReport, now time.Time) (others wire.LoadTotals, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Depth > maxTreeDepth {
		return wire.LoadTotals{}, false
	}
	a.forgetSilent(now)
	c := a.children[m.PeerAddress]
	if c == nil {
		c = newContribution()
		a.children[m.PeerAddress] = c
	}
	if m.Full {
		c.sentVersion = 0 // its answers may have been lost as well
		c.demands = m.Demands
	}
	c.daemons, c.depth = max(m.Daemons, 1), m.Depth
	a.applyLoads(c, m.Loads, m.Full, now)
	a.applyUnavailable(m.Unavailable, now)
	a.forwardPrefills(c, m.Prefills)
	if m.NoReply {
		return wire.LoadTotals{}, true
	}
	return a.changedTotals(c, now), true
}

// hasChildren reports whether other daemons report to this one.
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

// applyParentTotals applies the totals received from the parent.
func (a *loadAggregate) applyParentTotals(m wire.LoadTotals, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.parent.daemons = m.Daemons
	a.applyLoads(a.parent, m.Loads, m.Full, now)
	a.applyUnavailable(m.Unavailable, now)
	a.forwardPrefills(a.parent, m.Prefills)
}

// totalsFor returns the totals without a sender's own part, as far as they have changed since
// the last answer to it.
func (a *loadAggregate) totalsFor(sender string, now time.Time) wire.LoadTotals {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.children[sender]; c != nil {
		return a.changedTotals(c, now)
	}
	return wire.LoadTotals{}
}

// parentReport returns the report to the parent: everything that doesn't come from it, in full
// or as changed since the last report.
func (a *loadAggregate) parentReport(self string, full bool, now time.Time) wire.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetSilent(now)
	if full {
		a.parent.sentVersion = 0
	}
	m := wire.LoadReport{PeerAddress: self, Full: full, Unavailable: a.unavailableSince(a.parent.sentVersion, now), Prefills: a.parent.takePrefills()}
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
	for _, c := range a.children {
		m.Daemons += c.daemons
		m.Depth = max(m.Depth, c.depth+1)
	}
	return m
}

// demands adds up the demand of all reporting daemons. a.mu is held.
func (a *loadAggregate) demands() map[string]wire.MemberDemand {
	sum := make(map[string]wire.MemberDemand)
	for _, c := range a.children {
		for pool, d := range c.demands {
			sum[pool] = sum[pool].Add(d)
		}
	}
	return sum
}

// demand returns the demand for a pool of all reporting daemons.
func (a *loadAggregate) demand(pool string) wire.MemberDemand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.demands()[pool]
}

// applyLoads applies a contribution's loads to the totals. If they are full, loads not listed
// are removed.
func (a *loadAggregate) applyLoads(c *contribution, loads []placement.UpstreamLoad, full bool, now time.Time) {
	a.version++
	c.lastReport = now
	if full {
		a.removeUnlisted(c, loads, now)
	}
	for _, l := range loads {
		a.put(c, l, now)
	}
}

func (a *loadAggregate) removeUnlisted(c *contribution, loads []placement.UpstreamLoad, now time.Time) {
	listed := make(map[placement.Key]bool, len(loads))
	for _, l := range loads {
		listed[l.Upstream] = true
	}
	for key := range c.loads {
		if !listed[key] {
			a.remove(c, key, now)
		}
	}
}

// put applies one load of a contribution.
func (a *loadAggregate) put(c *contribution, l placement.UpstreamLoad, now time.Time) {
	before, known := c.loads[l.Upstream]
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
	a.recordChange(sum, c, now)
	c.loads[l.Upstream] = l.Load
}

// remove removes a load from a contribution. The total of an upstream without any load is kept
// for a while, so that all daemons receive it.
func (a *loadAggregate) remove(c *contribution, key placement.Key, now time.Time) {
	sum := a.totals[key]
	sum.load = sum.load.Minus(c.loads[key])
	sum.contributions--
	a.recordChange(sum, c, now)
	delete(c.loads, key)
}

func (a *loadAggregate) recordChange(sum *total, source *contribution, now time.Time) {
	sum.changed, sum.changedAt = a.version, now
	if source != a.parent {
		sum.changedBelow = a.version
	}
}

// forgetSilent removes the contributions of silent daemons and of a silent parent, and the
// totals of upstreams that have had no load for long.
func (a *loadAggregate) forgetSilent(now time.Time) {
	if now.Sub(a.lastSilenceCheck) < silenceCheckInterval {
		return
	}
	a.lastSilenceCheck = now
	a.version++
	for from, c := range a.children {
		if now.Sub(c.lastReport) > peerTimeout {
			a.removeUnlisted(c, nil, now)
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

// changedTotals returns the totals without the recipient's own part, where they have changed
// since its last answer. Its own changes are included; they have no effect.
func (a *loadAggregate) changedTotals(to *contribution, now time.Time) wire.LoadTotals {
	totals := wire.LoadTotals{Full: to.sentVersion == 0, Daemons: a.parent.daemons - to.daemons, Unavailable: a.unavailableSince(to.sentVersion, now), Prefills: to.takePrefills()}
	for _, c := range a.children {
		totals.Daemons += c.daemons
	}
	totals.Loads = a.others(to)
	return totals
}

// others returns the sum without one contribution, where it has changed since the last answer to
// its sender.
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

func (*loadAggregate) without(sum *total, c *contribution) placement.UpstreamLoad {
	return placement.UpstreamLoad{Upstream: sum.upstream, Load: sum.load.Minus(c.loads[sum.upstream])}
}
