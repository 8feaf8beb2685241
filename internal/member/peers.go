package member

import (
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
	// newsEvery is the least time between two reports of a large site's daemon: what a
	// request changes at once goes together.
	newsEvery = 2 * time.Millisecond
	// beatEvery is how often a daemon is heard from when nothing changes, and how often
	// silence is looked for.
	beatEvery = 200 * time.Millisecond
	// largeBeatEvery is that in a large site, where work isn't told with the beats: two
	// may be lost before a daemon counts as silent.
	largeBeatEvery = 320 * time.Millisecond
	// knownEvery is the number of full states of which one names other daemons.
	knownEvery = 10
	// learntEvery is the number of full states of which one tells what was observed of
	// the engines.
	learntEvery = 3
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
	books  *placement.Tracker
	log    *slog.Logger
	about  func() About
	view   func(configOnly bool) wire.ViewReply
	change func()
	links  *suture.Supervisor

	mu          sync.Mutex
	peers       map[string]*peer // by peer address
	incarnation uint64
	seq         uint64
	// away are engines that this daemon has ordered to change.
	away map[placement.Key]awayEngine
	// sameList is told what list a peer has.
	sameList func(at Position, digest uint64, age time.Duration)
	// demand measures what callers ask of this daemon.
	demand func() map[string]wire.MemberDemand
	// beats counts the states of beats.
	beats int
	// toldAbout is what the peers were told last of this daemon.
	toldAbout toldAbout
	// full says that states go to every known peer.
	full bool
	// tally is of the loads that this daemon adds up, collect whom it reports to.
	tally   *tally
	collect collection
	// reporting is held while a report is made and sent.
	reporting sync.Mutex
	// news gets a token when there is something to tell, or the totals are needed.
	news chan struct{}
	// waiting says whether requests wait for a place here.
	waiting func() bool
}

// About is what a daemon says of itself beside its load.
type About struct {
	Serving bool
	Config  uint64
	// ListPosition, ListDigest, ListSize and ReadAge are of the list of upstreams.
	ListPosition Position
	ListDigest   uint64
	// ListSize is the number of its upstreams.
	ListSize int
	ReadAge  time.Duration
}

type peer struct {
	wire.MemberAddress
	// outgoing carries states there, if any are sent.
	outgoing
	incarnation uint64
	seq         uint64
	about       About
	demands     map[string]wire.MemberDemand
	// heard is when its last state came, told when the last word on what it knows
	// did, as a state or with the totals.
	heard, told time.Time
	named       time.Time
	up          bool
	// meshed is what its last state said of that.
	meshed bool
}

func newPeers(self wire.MemberAddress, cfg wire.Config, books *placement.Tracker, log *slog.Logger) *Peers {
	p := &Peers{
		self: self, cfg: cfg, books: books, log: log,
		links:       suture.New("peers' links", suture.Spec{FailureBackoff: time.Second}),
		peers:       make(map[string]*peer),
		away:        make(map[placement.Key]awayEngine),
		tally:       newTally(),
		incarnation: rand.Uint64(),
		full:        true, // with nobody to tell, everybody is told
		news:        make(chan struct{}, 1),
	}
	books.OnChange(p.noteNews)
	return p
}

// noteNews wakes the one that tells the others. It doesn't block.
func (p *Peers) noteNews() {
	select {
	case p.news <- struct{}{}:
	default:
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

// Handle implements wire.Handler.
func (p *Peers) Handle(_ string, m wire.Message, reply func(wire.Message)) {
	switch m := m.(type) {
	case wire.MemberState:
		p.take(m)
	case wire.MemberLoads:
		p.takeLoads(m)
	case wire.ViewRequest:
		reply(p.view(m.ConfigOnly))
	case wire.SnapshotRequest:
		reply(wire.SnapshotReply{Snapshot: p.books.Snapshot(m.Engines)})
	case wire.LoadReport:
		p.answerReport(m, reply)
	}
}

func (p *Peers) take(m wire.MemberState) {
	p.mu.Lock()
	from := p.learn(m.MemberAddress)
	if from == nil {
		p.mu.Unlock()
		return
	}
	for _, a := range m.KnownPeers {
		p.learn(a)
	}
	if m.Incarnation == from.incarnation && m.Seq <= from.seq {
		p.mu.Unlock()
		return
	}
	// What it told of its work doesn't hold any more if its former process is gone, or
	// if that work comes with the totals from now on.
	forget := m.Incarnation != from.incarnation || (from.meshed && !m.FullMesh)
	from.meshed = m.FullMesh
	from.incarnation, from.seq = m.Incarnation, m.Seq
	from.about = About{
		Serving: m.Serving, Config: m.Config,
		ListPosition: Position(m.ListPosition), ListDigest: m.ListDigest, ListSize: m.ListSize, ReadAge: m.ListAge,
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
	if forget {
		p.books.ForgetPeer(m.Peers)
	}
	p.sameList(Position(m.ListPosition), m.ListDigest, m.ListAge)
	p.noteAway(m.Unavailable)
	p.books.ApplyPeerUpdate(m.Peers, m.Loads, m.Prefills)
	p.books.Merge(m.Peers, m.Observations)
	p.change()
}

// takeLoads books what has changed of a peer's work. One whose state hasn't come
// yet is left out: its next state says all.
func (p *Peers) takeLoads(m wire.MemberLoads) {
	p.mu.Lock()
	from := p.byIncarnation(m.Incarnation)
	if from == nil || m.Seq <= from.seq {
		p.mu.Unlock()
		return
	}
	from.seq = m.Seq
	from.heard = time.Now()
	address := from.Peers
	p.mu.Unlock()
	p.books.ApplyPeerUpdate(address, m.Loads, m.Prefills)
	p.change()
}

func (p *Peers) byIncarnation(incarnation uint64) *peer {
	for _, other := range p.peers {
		if other.incarnation == incarnation && other.up {
			return other
		}
	}
	return nil
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
			p.shut(&other.outgoing)
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
