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
	loadInterval = 5 * time.Millisecond
	// newsEvery is the least time between two reports of a large site's daemon: what a
	// request changes at once goes together.
	minReportInterval = 2 * time.Millisecond
	// beatEvery is how often a daemon is heard from when nothing changes, and how often
	// silence is looked for.
	heartbeatInterval = 200 * time.Millisecond
	// largeBeatEvery is that in a large site, where work isn't told with the beats: two
	// may be lost before a daemon counts as silent.
	largeHeartbeatInterval = 320 * time.Millisecond
	// knownEvery is the number of full states of which one names other daemons.
	addressesPeriod = 10
	// learntEvery is the number of full states of which one tells what was observed of
	// the engines.
	observationsPeriod = 3
	// silentAfter is the silence after which a peer counts as down: no caller is
	// sent there, and its load is forgotten.
	peerTimeout = time.Second
	// forgetAfter is the silence after which no connection to it is tried any
	// more until it is named again.
	forgetPeerAfter = 60 * time.Second
)

// Peers exchanges states with the other daemons. It is a suture.Service.
type Peers struct {
	self     wire.MemberAddress
	cfg      wire.Config
	tracker  *placement.Tracker
	log      *slog.Logger
	summary  func() Summary
	view     func(configOnly bool) wire.ViewReply
	onUpdate func()
	links    *suture.Supervisor

	mu          sync.Mutex
	peers       map[string]*peer // by peer address
	incarnation uint64
	seq         uint64
	// away are engines that this daemon has ordered to change.
	unavailable map[placement.Key]unavailableEngine
	// sameList is told what list a peer has.
	onPeerList func(at Position, digest uint64, age time.Duration)
	// demand measures what callers ask of this daemon.
	localDemand func() map[string]wire.MemberDemand
	// beats counts the states of beats.
	heartbeats int
	// toldAbout is what the peers were told last of this daemon.
	reported reportedSummary
	// full says that states go to every known peer.
	fullMesh bool
	// tally is of the loads that this daemon adds up, collect whom it reports to.
	aggregate *loadAggregate
	parent    parentState
	// reporting is held while a report is made and sent.
	reportMu sync.Mutex
	// news gets a token when there is something to tell, or the totals are needed.
	wake chan struct{}
	// waiting says whether requests wait for a place here.
	requestsWaiting func() bool
}

// About is what a daemon says of itself beside its load.
type Summary struct {
	Serving bool
	Config  uint64
	// ListPosition, ListDigest, ListSize and ReadAge are of the list of upstreams.
	ListPosition Position
	ListDigest   uint64
	// ListSize is the number of its upstreams.
	ListSize int
	ListAge  time.Duration
}

type peer struct {
	wire.MemberAddress
	// outgoing carries states there, if any are sent.
	outgoingLink
	incarnation uint64
	seq         uint64
	summary     Summary
	demands     map[string]wire.MemberDemand
	// heard is when its last state came, told when the last word on what it knows
	// did, as a state or with the totals.
	lastState, lastUpdate time.Time
	lastNamed             time.Time
	up                    bool
	// meshed is what its last state said of that.
	fullMesh bool
}

func newPeers(self wire.MemberAddress, cfg wire.Config, tracker *placement.Tracker, log *slog.Logger) *Peers {
	p := &Peers{
		self: self, cfg: cfg, tracker: tracker, log: log,
		links:       suture.New("peers' links", suture.Spec{FailureBackoff: time.Second}),
		peers:       make(map[string]*peer),
		unavailable: make(map[placement.Key]unavailableEngine),
		aggregate:   newLoadAggregate(),
		incarnation: rand.Uint64(),
		fullMesh:    true, // with nobody to tell, everybody is told
		wake:        make(chan struct{}, 1),
	}
	tracker.OnChange(p.wakeReporter)
	return p
}

// noteNews wakes the one that tells the others. It doesn't block.
func (p *Peers) wakeReporter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// String names the service for the supervisor.
func (p *Peers) String() string { return "peers" }

// Learn adds daemons whose addresses were heard of.
func (p *Peers) Add(addresses ...wire.MemberAddress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addresses {
		p.add(a)
	}
}

func (p *Peers) add(a wire.MemberAddress) *peer {
	if a.Peers == "" || a.Peers == p.self.Peers {
		return nil
	}
	known := p.peers[a.Peers]
	if known == nil {
		known = &peer{MemberAddress: a}
		p.peers[a.Peers] = known
		p.log.Info("peer found", "peer", a.Instance, "address", a.Peers)
		p.updateLinks()
	} else if a.Instance != "" && known.MemberAddress != a {
		known.MemberAddress = a
		p.updateLinks()
	}
	known.lastNamed = time.Now()
	return known
}

// Handle implements wire.Handler.
func (p *Peers) Handle(_ string, m wire.Message, reply func(wire.Message)) {
	switch m := m.(type) {
	case wire.MemberState:
		p.applyState(m)
	case wire.MemberLoads:
		p.applyLoads(m)
	case wire.ViewRequest:
		reply(p.view(m.ConfigOnly))
	case wire.BeliefsRequest:
		reply(wire.BeliefsReply{Beliefs: p.tracker.Snapshot(m.Of)})
	case wire.LoadReport:
		p.handleReport(m, reply)
	}
}

func (p *Peers) applyState(m wire.MemberState) {
	p.mu.Lock()
	from := p.add(m.MemberAddress)
	if from == nil {
		p.mu.Unlock()
		return
	}
	for _, a := range m.Known {
		p.add(a)
	}
	if m.Incarnation == from.incarnation && m.Seq <= from.seq {
		p.mu.Unlock()
		return
	}
	// What it told of its work doesn't hold any more if its former process is gone, or
	// if that work comes with the totals from now on.
	forget := m.Incarnation != from.incarnation || (from.fullMesh && !m.Meshed)
	from.fullMesh = m.Meshed
	from.incarnation, from.seq = m.Incarnation, m.Seq
	from.summary = Summary{
		Serving: m.Serving, Config: m.Config,
		ListPosition: Position(m.ListPosition), ListDigest: m.ListDigest, ListSize: m.ListSize, ListAge: m.ReadAge,
	}
	if m.Demands != nil {
		from.demands = m.Demands
	}
	from.lastState = time.Now()
	from.lastUpdate = from.lastState
	recovered := !from.up
	from.up = true
	p.mu.Unlock()
	if recovered {
		p.log.Info("peer heard", "peer", m.Instance, "address", m.Peers, "config", m.Config)
	}
	if forget {
		p.tracker.ForgetPeer(m.Peers)
	}
	p.onPeerList(Position(m.ListPosition), m.ListDigest, m.ReadAge)
	p.applyUnavailable(m.Away)
	p.tracker.ApplyPeerUpdate(m.Peers, m.Loads, m.Reads)
	p.tracker.Merge(m.Peers, m.Learnt)
	p.onUpdate()
}

// takeLoads books what has changed of a peer's work. One whose state hasn't come
// yet is left out: its next state says all.
func (p *Peers) applyLoads(m wire.MemberLoads) {
	p.mu.Lock()
	from := p.byIncarnation(m.Incarnation)
	if from == nil || m.Seq <= from.seq {
		p.mu.Unlock()
		return
	}
	from.seq = m.Seq
	from.lastState = time.Now()
	address := from.Peers
	p.mu.Unlock()
	p.tracker.ApplyPeerUpdate(address, m.Loads, m.Reads)
	p.onUpdate()
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
		if other.up && now.Sub(other.lastState) > peerTimeout {
			other.up = false
			p.tracker.ForgetPeer(address)
			p.log.Warn("peer silent", "peer", other.Instance, "address", address, "silent_ms", now.Sub(other.lastState).Milliseconds())
		}
		if !other.up && now.Sub(other.lastNamed) > forgetPeerAfter {
			p.closeLink(&other.outgoingLink)
			delete(p.peers, address)
			p.updateLinks()
		}
	}
}

// unheard is the number of daemons for each one heard whose loads aren't told
// to this one.
func (p *Peers) unreportedRatio() float64 {
	reporting := 0
	for _, other := range p.peers {
		if other.up {
			reporting++
		}
	}
	if p.fullMesh || reporting == 0 {
		return 0
	}
	return float64(len(p.peers)-reporting) / float64(reporting)
}
