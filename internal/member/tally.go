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
	silentCheck = 100 * time.Millisecond
	// totalsKept is how long all are told that nobody has work at an upstream: some
	// full answers, in the largest site of several hundred daemons.
	totalsKept = 10 * time.Second
	// maxDepth is the most daemons that stand below each other where loads are added
	// up: one of a data centre, the one that collects there or stands in for it, and
	// the site's. Daemons that know different ones could report in a circle, and each
	// round would count all work again; a report from deeper down ends that.
	maxDepth = 5
)

// tally is what the daemons that report to this one have in flight, what it has
// itself, and what it is told of all others; and the sum of it. The sum is kept up to
// date with each report: adding all up for each answer would cost the square of the
// daemons' number. Word of engines that take no work and of prompts goes the same way,
// to each sender but the one that it came from.
type tally struct {
	mu      sync.Mutex
	reports map[string]*report
	// above is the rest of the site, as the daemon that this one reports to tells it.
	above *report
	sum   map[placement.Key]*total
	// order holds the sums in the order in which they came up: looked through for each
	// answer, a list takes a fraction of the map's time.
	order []*total
	// away are the engines that take no work, whoever said so.
	away map[placement.Key]awayWord
	// version counts the changes of the sum and of what else is told.
	version uint64
	// checked is when silent daemons were last looked for.
	checked time.Time
}

// report is one sender's part of the sum.
type report struct {
	loads map[placement.Key]placement.Load
	heard time.Time
	// told is the tally's version up to which the sender was told the others' part.
	told uint64
	// daemons is how many the report is of, depth how many stand below each other.
	daemons, depth int
	// reads are the others' prompts that the sender wasn't told of yet.
	reads []placement.PrefillEvent
	// demands is what callers ask of those daemons, by pool.
	demands map[string]wire.MemberDemand
}

func newReport() *report { return &report{loads: make(map[placement.Key]placement.Load)} }

// total is the sum of all reports at one upstream.
type total struct {
	of   placement.Key
	load placement.Load
	// reports counts those in it.
	reports int
	// changed is the tally's version of the last change, at its time, below that of the
	// last one that didn't come from above: only those are reported there.
	changed, below uint64
	at             time.Time
}

func newTally() *tally {
	return &tally{
		reports: make(map[string]*report), above: newReport(), sum: make(map[placement.Key]*total),
		away: make(map[placement.Key]awayWord),
	}
}

// take books a report and returns the totals of all others, unless its sender wants no
// answer: what it hasn't been told yet is kept for the next one. ok is false if it comes
// from too deep down: the daemons report in a circle.
func (t *tally) take(m wire.LoadReport, now time.Time) (others wire.LoadTotals, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Depth > maxDepth {
		return wire.LoadTotals{}, false
	}
	t.forgetSilent(now)
	r := t.reports[m.PeerAddress]
	if r == nil {
		r = newReport()
		t.reports[m.PeerAddress] = r
	}
	if m.Full {
		r.told = 0 // its answers may have been lost as well
		r.demands = m.Demands
	}
	r.daemons, r.depth = max(m.Daemons, 1), m.Depth
	t.book(r, m.Loads, m.Full, now)
	t.noteAway(m.Unavailable, now)
	t.passOn(r, m.Prefills)
	if m.NoReply {
		return wire.LoadTotals{}, true
	}
	return t.totals(r, now), true
}

// collects reports whether other daemons than this one report here.
func (t *tally) collects(self string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for from := range t.reports {
		if from != self {
			return true
		}
	}
	return false
}

// takeAbove books what the daemon that this one reports to tells of the others.
func (t *tally) takeAbove(m wire.LoadTotals, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.above.daemons = m.Daemons
	t.book(t.above, m.Loads, m.Full, now)
	t.noteAway(m.Unavailable, now)
	t.passOn(t.above, m.Prefills)
}

// totalsFor returns what has changed at the others since the sender of a report was
// told last.
func (t *tally) totalsFor(sender string, now time.Time) wire.LoadTotals {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.reports[sender]; r != nil {
		return t.totals(r, now)
	}
	return wire.LoadTotals{}
}

// reportAbove returns what to report: all but what was told from above, in full or
// what has changed since the last time.
func (t *tally) reportAbove(self string, full bool, now time.Time) wire.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetSilent(now)
	if full {
		t.above.told = 0
	}
	m := wire.LoadReport{PeerAddress: self, Full: full, Unavailable: t.awaySince(t.above.told, now), Prefills: t.above.takeReads()}
	for _, sum := range t.order {
		if sum.below <= t.above.told {
			continue
		}
		if l := t.without(sum, t.above); !full || l.Load != (placement.Load{}) {
			m.Loads = append(m.Loads, l)
		}
	}
	t.above.told = t.version
	if full {
		m.Demands = t.demands()
	}
	for _, r := range t.reports {
		m.Daemons += r.daemons
		m.Depth = max(m.Depth, r.depth+1)
	}
	return m
}

// demands adds up what callers ask of all that report. t.mu is held.
func (t *tally) demands() map[string]wire.MemberDemand {
	sum := make(map[string]wire.MemberDemand)
	for _, r := range t.reports {
		for pool, d := range r.demands {
			sum[pool] = sum[pool].Add(d)
		}
	}
	return sum
}

// demand returns what callers ask of a pool at all daemons that report here.
func (t *tally) demand(pool string) wire.MemberDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.demands()[pool]
}

// book takes a report's loads into the sum. If it is full, what it doesn't list is
// taken out of it.
func (t *tally) book(r *report, loads []placement.UpstreamLoad, full bool, now time.Time) {
	t.version++
	r.heard = now
	if full {
		t.takeOutUnlisted(r, loads, now)
	}
	for _, l := range loads {
		t.put(r, l, now)
	}
}

func (t *tally) takeOutUnlisted(r *report, loads []placement.UpstreamLoad, now time.Time) {
	listed := make(map[placement.Key]bool, len(loads))
	for _, l := range loads {
		listed[l.Upstream] = true
	}
	for at := range r.loads {
		if !listed[at] {
			t.takeOut(r, at, now)
		}
	}
}

// put takes one load of a report over.
func (t *tally) put(r *report, l placement.UpstreamLoad, now time.Time) {
	before, known := r.loads[l.Upstream]
	if known && before == l.Load {
		return
	}
	sum := t.sum[l.Upstream]
	if sum == nil {
		sum = &total{of: l.Upstream}
		t.sum[l.Upstream] = sum
		t.order = append(t.order, sum)
	}
	if !known {
		sum.reports++
	}
	sum.load = sum.load.Minus(before).Plus(l.Load)
	t.noteChange(sum, r, now)
	r.loads[l.Upstream] = l.Load
}

// takeOut takes a load out of a report. An upstream where nobody has work any more
// stays in the sum for a while, so that all are told.
func (t *tally) takeOut(r *report, at placement.Key, now time.Time) {
	sum := t.sum[at]
	sum.load = sum.load.Minus(r.loads[at])
	sum.reports--
	t.noteChange(sum, r, now)
	delete(r.loads, at)
}

func (t *tally) noteChange(sum *total, by *report, now time.Time) {
	sum.changed, sum.at = t.version, now
	if by != t.above {
		sum.below = t.version
	}
}

// forgetSilent drops the daemons that have fallen silent, what was told from above if
// nothing comes from there any more, and the upstreams where nobody has had work for
// long.
func (t *tally) forgetSilent(now time.Time) {
	if now.Sub(t.checked) < silentCheck {
		return
	}
	t.checked = now
	t.version++
	for from, r := range t.reports {
		if now.Sub(r.heard) > silentAfter {
			t.takeOutUnlisted(r, nil, now)
			delete(t.reports, from)
		}
	}
	if now.Sub(t.above.heard) > silentAfter {
		t.takeOutUnlisted(t.above, nil, now)
		t.above.daemons = 0
	}
	t.order = slices.DeleteFunc(t.order, func(sum *total) bool {
		if sum.reports > 0 || now.Sub(sum.at) < totalsKept {
			return false
		}
		delete(t.sum, sum.of)
		return true
	})
}

// totals returns what all have but the sender of a report, where that has changed
// since its last answer. Its own changes are told as well; they change nothing.
func (t *tally) totals(to *report, now time.Time) wire.LoadTotals {
	totals := wire.LoadTotals{Full: to.told == 0, Daemons: t.above.daemons - to.daemons, Unavailable: t.awaySince(to.told, now), Prefills: to.takeReads()}
	for _, r := range t.reports {
		totals.Daemons += r.daemons
	}
	totals.Loads = t.others(to)
	return totals
}

// others returns the sum without one report, where it has changed since that one's
// sender was told.
func (t *tally) others(but *report) []placement.UpstreamLoad {
	var loads []placement.UpstreamLoad
	for _, sum := range t.order {
		if sum.changed > but.told {
			loads = append(loads, t.without(sum, but))
		}
	}
	but.told = t.version
	return loads
}

func (*tally) without(sum *total, r *report) placement.UpstreamLoad {
	return placement.UpstreamLoad{Upstream: sum.of, Load: sum.load.Minus(r.loads[sum.of])}
}
