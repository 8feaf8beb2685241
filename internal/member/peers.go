package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

const (
	// stateEvery is how often changed loads are told to the peers of a small
	// site: about the time of one prompt's reading, so that a place is seldom
	// given twice.
	stateEvery = 5 * time.Millisecond
	// beatEvery is how often a daemon is heard from when nothing changes.
	beatEvery = 200 * time.Millisecond
	// knownEvery is the number of full states of which one names other daemons.
	knownEvery = 10
	// silentAfter is the silence after which a peer counts as down: no caller is
	// sent there, and its load is forgotten.
	silentAfter = time.Second
	// forgetAfter is the silence after which no connection to it is tried any
	// more until it is named again.
	forgetAfter = 60 * time.Second
)

// Peers exchanges states with the other daemons. It is a suture.Service.
type Peers struct {
	self   wire.MemberAddress
	cfg    wire.Config
	books  *placement.Books
	log    *slog.Logger
	about  func() About
	view   func() wire.ViewReply
	change func()
	links  *suture.Supervisor

	mu          sync.Mutex
	peers       map[string]*peer // by peer address
	incarnation uint64
	seq         uint64
	// away are engines that this daemon has ordered to change.
	away map[placement.Key]time.Time
	// sameList is told what list a peer has.
	sameList func(at Position, digest uint64, age time.Duration)
	// demand measures what callers ask of this daemon.
	demand func() map[string]wire.MemberDemand
	// beats counts full states.
	beats int
	// full says that states go to every known peer.
	full bool
	// tally is of the reports that this daemon collects, collect its own part.
	tally   tally
	collect collection
}

// About is what a daemon says of itself beside its load.
type About struct {
	Serving bool
	Config  uint64
	// ListPosition, ListDigest and ReadAge are of the list of upstreams.
	ListPosition Position
	ListDigest   uint64
	ReadAge      time.Duration
}

type peer struct {
	wire.MemberAddress
	// link is nil unless states are sent there.
	link        *wire.Link
	token       suture.ServiceToken
	incarnation uint64
	seq         uint64
	about       About
	demands     map[string]wire.MemberDemand
	// heard is when its last state came, told when the last word on what it knows
	// did, as a state or with the totals.
	heard, told time.Time
	named       time.Time
	up          bool
}

func newPeers(self wire.MemberAddress, cfg wire.Config, books *placement.Books, log *slog.Logger) *Peers {
	return &Peers{
		self: self, cfg: cfg, books: books, log: log,
		links:       suture.New("peers' links", suture.Spec{FailureBackoff: time.Second}),
		peers:       make(map[string]*peer),
		away:        make(map[placement.Key]time.Time),
		incarnation: rand.Uint64(),
		full:        true, // with nobody to tell, everybody is told
	}
}

// String names the service for the supervisor.
func (p *Peers) String() string { return "peers" }

// Learn adds daemons whose addresses were heard of.
func (p *Peers) Learn(addresses ...wire.MemberAddress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addresses {
		p.learn(a)
	}
}

func (p *Peers) learn(a wire.MemberAddress) *peer {
	if a.Peers == "" || a.Peers == p.self.Peers {
		return nil
	}
	known := p.peers[a.Peers]
	if known == nil {
		known = &peer{MemberAddress: a}
		p.peers[a.Peers] = known
		p.log.Info("peer found", "peer", a.Instance, "address", a.Peers)
		p.relink()
	} else if a.Instance != "" && known.MemberAddress != a {
		known.MemberAddress = a
		p.relink()
	}
	known.named = time.Now()
	return known
}

// relink opens and closes connections after a change of the known peers.
func (p *Peers) relink() {
	addresses := make([]wire.MemberAddress, 0, len(p.peers))
	for _, other := range p.peers {
		addresses = append(addresses, other.MemberAddress)
	}
	wanted := neighbours(p.self, addresses)
	p.full = len(wanted) == len(addresses)
	if !p.full {
		p.relineCollectors(addresses, time.Now())
	}
	for address, other := range p.peers {
		switch {
		case wanted[address] && other.link == nil:
			other.link = wire.NewLink(p.cfg, address, nil, p.log)
			other.token = p.links.Add(other.link)
		case !wanted[address] && other.link != nil:
			p.unlink(other)
		}
	}
}

func (p *Peers) unlink(other *peer) {
	if other.link == nil {
		return
	}
	if err := p.links.Remove(other.token); err != nil {
		p.log.Warn("peer's link not removed", "address", other.Peers, "err", err)
	}
	other.link = nil
}

// Handle implements wire.Handler.
func (p *Peers) Handle(_ string, m wire.Message, reply func(wire.Message)) {
	switch m := m.(type) {
	case wire.MemberState:
		p.take(m)
	case wire.ViewRequest:
		reply(p.view())
	case wire.LoadReport:
		p.tally.take(m, p.about(), reply, time.Now())
	}
}

func (p *Peers) take(m wire.MemberState) {
	p.mu.Lock()
	from := p.learn(m.MemberAddress)
	if from == nil {
		p.mu.Unlock()
		return
	}
	for _, a := range m.Known {
		p.learn(a)
	}
	if m.Incarnation == from.incarnation && m.Seq <= from.seq {
		p.mu.Unlock()
		return
	}
	anew := m.Incarnation != from.incarnation
	from.incarnation, from.seq = m.Incarnation, m.Seq
	from.about = About{
		Serving: m.Serving, Config: m.Config,
		ListPosition: Position(m.ListPosition), ListDigest: m.ListDigest, ReadAge: m.ReadAge,
	}
	if m.Demands != nil {
		from.demands = m.Demands
	}
	from.heard = time.Now()
	from.told = from.heard
	regained := !from.up
	from.up = true
	p.mu.Unlock()
	if regained {
		p.log.Info("peer heard", "peer", m.Instance, "address", m.Peers, "config", m.Config)
	}
	if anew {
		p.books.ForgetPeer(m.Peers) // its former process's requests are gone
	}
	p.sameList(Position(m.ListPosition), m.ListDigest, m.ReadAge)
	for _, a := range m.Away {
		p.books.SendAway(a.At, a.Left)
	}
	p.books.NotePeer(m.Peers, m.Loads, m.Reads)
	p.change()
}

// Serve implements suture.Service.
func (p *Peers) Serve(ctx context.Context) error {
	done := p.links.ServeBackground(ctx)
	defer func() { <-done }()
	ticker := time.NewTicker(stateEvery)
	defer ticker.Stop()
	var lastBeat, lastLoad time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if now.Sub(lastBeat) >= beatEvery {
				lastBeat, lastLoad = now, now
				p.checkSilence(now)
				p.send(p.state(true))
				continue
			}
			if !p.meshed() {
				p.report(now)
				continue
			}
			if now.Sub(lastLoad) < stateEvery {
				continue
			}
			if s := p.state(false); len(s.Loads) > 0 {
				lastLoad = now
				p.send(s)
			}
		}
	}
}

// meshed reports whether every daemon tells every other its state.
func (p *Peers) meshed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full
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
		from.about.ListPosition, from.about.ListDigest = Position(totals.ListPosition), totals.ListDigest
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

// state returns the state to be told. A full one carries the loads even if they
// haven't changed, and the addresses of other daemons.
func (p *Peers) state(full bool) wire.MemberState {
	reads := p.books.Reads()
	var loads []placement.LoadAt
	if p.meshed() {
		loads = p.books.Own(full)
	}
	about := p.about()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	s := wire.MemberState{
		MemberAddress: p.self, Incarnation: p.incarnation, Seq: p.seq,
		Serving: about.Serving, Config: about.Config, ReadAge: about.ReadAge,
		ListPosition: uint64(about.ListPosition), ListDigest: about.ListDigest,
		Loads: loads, Reads: reads,
	}
	s.Away = p.awayNow()
	if !full {
		return s
	}
	s.Demands = p.demand()
	if p.beats++; p.beats%knownEvery != 1 {
		return s
	}
	for _, other := range p.peers {
		if other.up {
			s.Known = append(s.Known, other.MemberAddress)
		}
	}
	return s
}

// SendAway keeps the requests of all daemons from an engine for some time.
func (p *Peers) SendAway(id string, d time.Duration) {
	at := placement.KeyOf(id)
	p.books.SendAway(at, d)
	p.mu.Lock()
	told := time.Until(p.away[at]) > d/2
	p.away[at] = time.Now().Add(d)
	p.mu.Unlock()
	if !told {
		p.send(p.state(true))
	}
}

func (p *Peers) awayNow() []wire.AwayEngine {
	var list []wire.AwayEngine
	for at, until := range p.away {
		left := time.Until(until)
		if left <= 0 {
			delete(p.away, at)
			continue
		}
		list = append(list, wire.AwayEngine{At: at, Left: left})
	}
	return list
}

// Demand returns what callers ask of a pool at all daemons. For those that aren't
// heard the average of the others stands in.
func (p *Peers) Demand(pool string) wire.MemberDemand {
	own := p.demand()[pool]
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum wire.MemberDemand
	for _, other := range p.peers {
		if other.up {
			sum.Tokens += other.demands[pool].Tokens
			sum.Short += other.demands[pool].Short
		}
	}
	scale := 1 + p.unheard()
	return wire.MemberDemand{Tokens: own.Tokens + scale*sum.Tokens, Short: own.Short + scale*sum.Short}
}

// Rank returns the number of serving daemons heard whose address comes before
// this one's.
func (p *Peers) Rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	rank := 0
	for address, other := range p.peers {
		if other.up && other.about.Serving && address < p.self.Peers {
			rank++
		}
	}
	return rank
}

func (p *Peers) send(s wire.MemberState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, to := range p.peers {
		if to.link != nil {
			to.link.Send(s)
		}
	}
}

// checkSilence marks peers as down that haven't been heard from.
func (p *Peers) checkSilence(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, other := range p.peers {
		if other.up && now.Sub(other.heard) > silentAfter {
			other.up = false
			p.books.ForgetPeer(address)
			p.log.Warn("peer silent", "peer", other.Instance, "address", address, "silent_ms", now.Sub(other.heard).Milliseconds())
		}
		if !other.up && now.Sub(other.named) > forgetAfter {
			p.unlink(other)
			delete(p.peers, address)
			p.relink()
		}
	}
}

// unheard is the number of daemons for each one heard whose loads aren't told
// to this one.
func (p *Peers) unheard() float64 {
	heard := 0
	for _, other := range p.peers {
		if other.up {
			heard++
		}
	}
	if p.full || heard == 0 {
		return 0
	}
	return float64(len(p.peers)-heard) / float64(heard)
}

// Up returns the daemons heard from lately that serve callers.
func (p *Peers) Up() []wire.MemberAddress {
	p.mu.Lock()
	defer p.mu.Unlock()
	var up []wire.MemberAddress
	for _, other := range p.peers {
		if other.up && other.about.Serving {
			up = append(up, other.MemberAddress)
		}
	}
	return up
}

// Better returns the peer address of a daemon with a newer configuration than
// this one's, or else one with another list of upstreams that was read later; ""
// if there is none.
func (p *Peers) Better(own About) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, newest, youngest := "", own.Config, own.ReadAge-youngerBy
	for address, other := range p.peers {
		if time.Since(other.told) > silentAfter {
			continue
		}
		a := other.about
		age := a.ReadAge + time.Since(other.told)
		newerList := a.ListPosition > own.ListPosition && a.ListDigest != own.ListDigest && age < youngest
		if a.Config > newest || (a.Config == newest && newerList) {
			best, newest = address, a.Config
			if newerList {
				youngest = age
			}
		}
	}
	return best
}

// Known returns the number of daemons that are or lately were part of the
// system, this one included.
func (p *Peers) Known() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.peers)
}
