package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/thejerf/suture/v4"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

const (
	// collectEvery is how often a daemon of a large site reports its load, and the
	// collector answers with the totals; perDaemon is added for each daemon, so
	// that the collector's traffic doesn't grow with the square of their number.
	collectEvery = 15 * time.Millisecond
	perDaemon    = 300 * time.Microsecond
	// fullEvery is the number of reports of which one is full, to make up for
	// those that were lost.
	fullEvery = 20
	// collectorSilent is the silence after which the next daemon in line is asked
	// to collect, collectorRetry the time after which the first is tried again.
	collectorSilent = 500 * time.Millisecond
	collectorRetry  = 3 * time.Second
	// totalsLogged is the least time between two log lines on the totals.
	totalsLogged = 2 * time.Second
	// totalsFrom names the collector's word in the books.
	totalsFrom = "totals"
)

// In a large site not every daemon can tell every other what it has in flight. All
// tell one, which adds up and tells each what the others have. Any daemon can:
// who does follows from the addresses that all know, and if it falls silent the
// next one in line does. Nothing is lost with it but a moment's knowledge.

// collectors returns the daemons in the order in which they are to collect: those
// with the most capacity first.
func collectors(all []wire.MemberAddress) []wire.MemberAddress {
	line := slices.Clone(all)
	slices.SortFunc(line, func(a, b wire.MemberAddress) int {
		return cmp.Or(
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(a.Peers), xxhash.Sum64String(b.Peers)),
		)
	})
	return line
}

// tally is the collector's side: what each daemon has reported, and the sum of it.
// The sum is kept up to date with each report: adding all up for each answer
// would cost the square of the daemons' number.
type tally struct {
	mu      sync.Mutex
	reports map[string]*report
	sum     map[placement.Key]*total
	// order holds the sum's keys in the order in which they came up.
	order []placement.Key
	// version counts the changes of the sum.
	version uint64
	// checked is when silent daemons were last looked for.
	checked time.Time
}

type report struct {
	loads map[placement.Key]placement.Load
	heard time.Time
	// told is the tally's version up to which the daemon was told the totals.
	told uint64
}

// total is the sum of all daemons' loads at one upstream.
type total struct {
	load    placement.Load
	daemons int
	// changed is the tally's version of the last change, at its time.
	changed uint64
	at      time.Time
}

// take books a report and answers with the totals, and with what the collector
// knows itself.
func (t *tally) take(m wire.LoadReport, own About, reply func(wire.Message), now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports, t.sum = make(map[string]*report), make(map[placement.Key]*total)
	}
	t.forgetSilent(now)
	r := t.reports[m.Peers]
	if r == nil {
		r = &report{loads: make(map[placement.Key]placement.Load)}
		t.reports[m.Peers] = r
	}
	t.version++
	if m.Full {
		t.clear(r, now)
		r.told = 0 // its answers may have been lost as well
	}
	for _, l := range m.Loads {
		t.put(r, l, now)
	}
	r.heard = now
	totals := t.totals(r)
	totals.Config, totals.ReadAge = own.Config, own.ReadAge
	totals.ListPosition, totals.ListDigest, totals.ListSize = uint64(own.ListPosition), own.ListDigest, own.ListSize
	reply(totals)
}

// put takes one load of a report over.
func (t *tally) put(r *report, l placement.LoadAt, now time.Time) {
	sum := t.sum[l.At]
	if sum == nil {
		sum = &total{}
		t.sum[l.At] = sum
		t.order = append(t.order, l.At)
	}
	before, known := r.loads[l.At]
	if !known {
		sum.daemons++
	}
	sum.load = sum.load.Minus(before).Plus(l.Load)
	sum.changed, sum.at = t.version, now
	r.loads[l.At] = l.Load
}

// clear takes a report out of the sum. An upstream where nobody has work any more
// stays in the sum for a while, so that all are told.
func (t *tally) clear(r *report, now time.Time) {
	for at, l := range r.loads {
		sum := t.sum[at]
		sum.load = sum.load.Minus(l)
		sum.daemons--
		sum.changed, sum.at = t.version, now
	}
	clear(r.loads)
}

// forgetSilent drops the daemons that have fallen silent, and the upstreams where
// nobody has had work for long.
func (t *tally) forgetSilent(now time.Time) {
	if now.Sub(t.checked) < silentCheck {
		return
	}
	t.checked = now
	t.version++
	for from, r := range t.reports {
		if now.Sub(r.heard) > silentAfter {
			t.clear(r, now)
			delete(t.reports, from)
		}
	}
	t.order = slices.DeleteFunc(t.order, func(at placement.Key) bool {
		sum := t.sum[at]
		if sum.daemons > 0 || now.Sub(sum.at) < totalsKept {
			return false
		}
		delete(t.sum, at)
		return true
	})
}

const (
	// silentCheck is how often silent daemons are looked for.
	silentCheck = 100 * time.Millisecond
	// totalsKept is how long all are told that nobody has work at an upstream: some
	// full answers, in the largest site of several hundred daemons.
	totalsKept = 10 * time.Second
)

// totals returns what all daemons but one have, where that has changed since the
// daemon's last answer. Its own changes are told as well; they change nothing.
func (t *tally) totals(to *report) wire.LoadTotals {
	totals := wire.LoadTotals{Senders: len(t.reports) - 1}
	for _, at := range t.order {
		if sum := t.sum[at]; sum.changed > to.told {
			totals.Loads = append(totals.Loads, placement.LoadAt{At: at, Load: sum.load.Minus(to.loads[at])})
		}
	}
	to.told = t.version
	return totals
}

// collection is a daemon's side: whom it reports to.
type collection struct {
	line    []wire.MemberAddress
	current int
	link    *wire.Link
	token   suture.ServiceToken
	reports int
	// heard is when the collector answered last, or was chosen; left when the
	// first in line was given up.
	heard, left time.Time
	sent        time.Time
	// senders is the number of daemons in the totals as logged last.
	senders int
	logged  time.Time
}

// report tells the collector this daemon's load, if it is time to.
func (p *Peers) report(now time.Time) {
	p.mu.Lock()
	interval := collectEvery + perDaemon*time.Duration(len(p.peers))
	if now.Sub(p.collect.sent) < interval {
		p.mu.Unlock()
		return
	}
	p.collect.sent = now
	link := p.collector(now)
	p.collect.reports++
	full := p.collect.reports%fullEvery == 1
	p.mu.Unlock()
	loads := p.books.Own(full)
	m := wire.LoadReport{Peers: p.self.Peers, Full: full, Loads: loads}
	if link == nil {
		p.tally.take(m, p.about(), func(answer wire.Message) { p.takeTotals(answer) }, now)
		return
	}
	link.Send(m)
}

// collector returns the link to the daemon that collects, nil if it is this one.
// One that has fallen silent is passed over for a while.
func (p *Peers) collector(now time.Time) *wire.Link {
	c := &p.collect
	switch {
	case len(c.line) == 0:
		return nil
	case c.current > 0 && now.Sub(c.left) > collectorRetry:
		p.useCollector(0, now)
	case c.line[c.current].Peers != p.self.Peers && now.Sub(c.heard) > collectorSilent:
		if c.current == 0 {
			c.left = now
		}
		p.log.Warn("collector of loads silent", "address", c.line[c.current].Peers)
		p.useCollector((c.current+1)%len(c.line), now)
	}
	return c.link
}

func (p *Peers) useCollector(i int, now time.Time) {
	c := &p.collect
	c.current, c.heard, c.reports = i, now, 0
	if c.link != nil {
		if err := p.links.Remove(c.token); err != nil {
			p.log.Warn("collector's link not removed", "err", err)
		}
		c.link = nil
	}
	if address := c.line[i].Peers; address != p.self.Peers {
		c.link = wire.NewLink(p.cfg, address, p.takeTotals, p.log)
		c.token = p.links.Add(c.link)
	}
}

// relineCollectors follows a change of the known daemons.
func (p *Peers) relineCollectors(all []wire.MemberAddress, now time.Time) {
	c := &p.collect
	before := ""
	if len(c.line) > 0 {
		before = c.line[c.current].Peers
	}
	c.line = collectors(append(all, p.self))
	c.current = min(c.current, len(c.line)-1)
	if c.line[c.current].Peers != before {
		p.useCollector(c.current, now)
	}
}

// Collects reports whether this daemon collects the loads of a large site.
func (p *Peers) Collects() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.collect
	return !p.full && len(c.line) > 0 && c.line[c.current].Peers == p.self.Peers
}

func (p *Peers) takeTotals(m wire.Message) {
	totals, ok := m.(wire.LoadTotals)
	if !ok {
		return
	}
	p.mu.Lock()
	c := &p.collect
	if len(c.line) == 0 {
		p.mu.Unlock()
		return // the site has become small meanwhile
	}
	c.heard = time.Now()
	if from := p.peers[c.line[c.current].Peers]; from != nil {
		from.about.Config, from.about.ReadAge = totals.Config, totals.ReadAge
		from.about.ListPosition, from.about.ListDigest, from.about.ListSize = Position(totals.ListPosition), totals.ListDigest, totals.ListSize
		from.told = time.Now()
	}
	if totals.Senders != c.senders && time.Since(c.logged) > totalsLogged {
		c.senders, c.logged = totals.Senders, time.Now()
		p.log.Info("totals of loads", "collector", c.line[c.current].Peers, "senders", totals.Senders)
	}
	p.mu.Unlock()
	p.sameList(Position(totals.ListPosition), totals.ListDigest, totals.ReadAge)
	p.books.NotePeer(totalsFrom, totals.Loads, nil)
	p.change()
}
