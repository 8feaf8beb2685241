package member

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
	"tamarackchute/transit"
	"tamarackchute/usage"
)

const (
	// loadInterval is how often changed loads are sent to the peers of a small site: about the
	// time of one prefill, so that a slot is seldom assigned twice.
	loadInterval = 5 * time.Millisecond
	// minReportInterval is the minimum time between two reports of a large site's daemon: it
	// combines the changes that a request makes at once.
	minReportInterval = 2 * time.Millisecond
	// heartbeatInterval is how often a state is sent when nothing changes, and how often silent
	// peers are looked for.
	heartbeatInterval = 200 * time.Millisecond
	// largeHeartbeatInterval is the same in a large site, where heartbeats carry no loads: two
	// may be lost before a daemon counts as silent.
	largeHeartbeatInterval = 320 * time.Millisecond
	// addressesPeriod is the number of heartbeats of which one carries peer addresses.
	addressesPeriod = 10
	// observationsPeriod is the number of heartbeats of which one carries the observations of
	// the engines.
	observationsPeriod = 3
	// peerTimeout is the silence after which a peer counts as down: callers are no longer sent
	// there, and its load is forgotten.
	peerTimeout = time.Second
	// forgetPeerAfter is how long a peer that is down stays known after its last mention by
	// another daemon, the store or the settings.
	forgetPeerAfter = 60 * time.Second
)

// Peers exchanges states with the other daemons. It is a suture.Service.
type Peers struct {
	self    wire.MemberAddress
	cfg     wire.Config
	tracker *placement.Tracker
	log     *slog.Logger
	// summary returns this daemon's summary, view its data for a peer; onUpdate is called after
	// each update from a peer.
	summary  func() Summary
	view     func(wire.ViewRequest) wire.ViewReply
	onUpdate func()
	// onPathLost is called for a pool to which a peer has lost its path; nil does nothing.
	onPathLost func(pool string)
	links      *suture.Supervisor
	// beat tells when this process last stood still.
	beat *beat
	// rejoinedAt is when a peer was last heard that had been silent for too long.
	rejoinedAt time.Time
	// transit tells how late the states of peers are.
	transit transit.Meter

	mu          sync.Mutex
	peers       map[string]*peer // by peer address
	incarnation uint64
	seq         uint64
	// unavailable holds the engines that this daemon has reported as unavailable.
	unavailable map[placement.Key]unavailableEngine
	// onPeerList is called with the position, digest and age of a peer's list.
	onPeerList func(at Position, digest uint64, age time.Duration)
	// configProof returns this daemon's proof that its configuration is current, onConfigProof
	// processes a peer's.
	configProof   func(wire.ConfigProofRequest) wire.ConfigProofReply
	onConfigProof func(from string, proof wire.ConfigProofReply)
	// onConfigNamed is called with the version of another daemon's configuration.
	onConfigNamed func(version uint64, by string)
	// onClock is called with another daemon's time of day, onForget when one falls silent, and
	// onUsage with its counts; nil if usage isn't reported. usageReply returns this daemon's.
	// onUsageAck is called for the recipient of this daemon's counts.
	onClock    func(peer string, clock time.Time)
	onForget   func(peer string)
	onUsage    func([]usage.Count)
	usageReply func(wire.UsageRequest) wire.UsageReply
	onUsageAck func(from string, ack wire.UsageAck)
	// onQuarantineReport processes another daemon's report and says whether to pass it on.
	// quarantineFingerprint identifies what this daemon knows of requests that crash upstreams, and
	// onQuarantineFingerprint is called with a neighbour's.
	// onRestart is called for a daemon whose process has started again.
	onQuarantineReport      func(wire.QuarantineReport) bool
	onRestart               func(instance string)
	quarantineFingerprint   func() uint64
	onQuarantineFingerprint func(address string, fingerprint uint64)
	// onUpstreamLimits processes the limits that a neighbour knows.
	onUpstreamLimits func(wire.UpstreamLimits)
	// onStreamVersions processes the versions at which another daemon's streams began;
	// streamVersion returns what this daemon knows of one, if anything.
	onStreamVersions func(from string, m wire.StreamVersions)
	streamVersion    func(wire.StreamVersionRequest) []wire.StreamVersions
	// leaving reports whether this process is about to stop.
	leaving func() bool
	// streamBook returns the streams that this daemon knows, after one of them.
	streamBook func(after uint64) wire.StreamBook
	// onHeard is called for a neighbour that is heard for the first time, or again.
	onHeard func(address string)
	// localDemand returns the demand of this daemon's callers, by pool.
	localDemand func() map[string]wire.MemberDemand
	// heartbeats counts the heartbeats sent.
	heartbeats int
	// reported is what was last reported of this daemon.
	reported reportedSummary
	// mostKnown is the largest number of peers known at a time, heard says that one was heard.
	mostKnown int
	heard     bool
	// fullMesh means that states go to every known peer.
	fullMesh bool
	// aggregate adds up the loads of this daemon's subtree; parent is where it reports them.
	aggregate *loadAggregate
	parent    parentState
	// reportMu is held while a report is made and sent.
	reportMu sync.Mutex
	// wake gets a token when there is an update to send, or the totals are needed.
	wake chan struct{}
	// requestsWaiting reports whether requests wait for a slot here.
	requestsWaiting func() bool
}

// Summary is what a daemon reports of itself besides its load.
type Summary struct {
	// Serving means that it accepts callers, Config is the version of its configuration, ConfigBytes the
	// size.
	Serving     bool
	Config      uint64
	ConfigBytes int
	// ListPosition, ListDigest, ListSize and ListAge describe the list of upstreams.
	ListPosition Position
	ListDigest   uint64
	// ListSize is the number of upstreams in it.
	ListSize int
	ListAge  time.Duration
	// LostPools are the pools to whose upstreams it has lost its path; PathLost means that it has none
	// to any upstream.
	LostPools []string
	PathLost  bool
	// KeysStale means that it can't use the API keys of its configuration now, Overdue that it runs no
	// requests by its configuration, as a newer one is in force elsewhere.
	KeysStale, Overdue bool
}

// peer is another daemon as it was last reported.
type peer struct {
	wire.MemberAddress
	// outgoingLink carries states to the peer, if any are sent.
	outgoingLink
	incarnation uint64
	seq         uint64
	summary     Summary
	demands     map[string]wire.MemberDemand
	// lastReceived is when its last state or load update came, lastUpdate when its summary was
	// last updated, by a state or with the totals, and lastNamed when its address was last added
	// or confirmed.
	lastReceived, lastUpdate time.Time
	lastNamed                time.Time
	up                       bool
	// viewFailedAt is when a request for its view last failed.
	viewFailedAt time.Time
	// fullMesh is the value in its last state.
	fullMesh bool
}

func newPeers(self wire.MemberAddress, cfg wire.Config, tracker *placement.Tracker, log *slog.Logger) *Peers {
	p := &Peers{
		self: self, cfg: cfg, tracker: tracker, log: log,
		links:       suture.New("peers' links", suture.Spec{FailureBackoff: time.Second}),
		peers:       make(map[string]*peer),
		unavailable: make(map[placement.Key]unavailableEngine),
		aggregate:   newLoadAggregate(),
		beat:        newBeat(),
		incarnation: rand.Uint64(),
		fullMesh:    true, // a site without peers is a full mesh
		wake:        make(chan struct{}, 1),

		quarantineFingerprint:   func() uint64 { return 0 },
		onQuarantineFingerprint: func(string, uint64) {},
		onConfigNamed:           func(uint64, string) {},
	}
	tracker.OnChange(p.wakeReporter)
	return p
}

// wakeReporter triggers a report. It doesn't block.
func (p *Peers) wakeReporter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// String implements fmt.Stringer; the supervisor logs it.
func (p *Peers) String() string { return "peers" }

// Add adds daemons by their addresses.
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
		p.mostKnown = max(p.mostKnown, len(p.peers))
		p.log.Info("peer discovered", "peer", a.Instance, "address", a.Peers)
		p.updateLinks()
	} else if a.Instance != "" && known.MemberAddress != a {
		known.MemberAddress = a
		p.updateLinks()
	}
	known.lastNamed = time.Now()
	return known
}

// Handle implements wire.Handler.
func (p *Peers) Handle(from string, m wire.Message, reply func(wire.Message)) {
	switch m := m.(type) {
	case wire.MemberState:
		p.applyState(m)
	case wire.MemberLoads:
		p.applyLoads(m)
	case wire.ViewRequest:
		reply(p.view(m))
	case wire.SnapshotRequest:
		reply(wire.SnapshotReply{Snapshot: p.tracker.Snapshot(m.Engines)})
	case wire.LoadReport:
		p.handleReport(m, reply)
	case wire.ConfigProofRequest:
		reply(p.configProof(m))
	case wire.QuarantineReport:
		if p.onQuarantineReport != nil && p.onQuarantineReport(m) {
			p.broadcast(m)
		}
	case wire.UpstreamLimits:
		if p.onUpstreamLimits != nil {
			p.onUpstreamLimits(m)
		}
	case wire.StreamVersions:
		if p.onStreamVersions != nil {
			p.onStreamVersions(from, m)
		}
	case wire.StreamVersionRequest:
		p.replyStreamVersion(m, reply)
	case wire.StreamBookRequest:
		if p.streamBook != nil {
			reply(p.streamBook(m.After))
		}
	case wire.UsageReport:
		if p.onUsage != nil {
			p.onUsage(m.Counts)
			reply(wire.UsageAck{Seq: m.Seq})
		}
	case wire.UsageRequest:
		if p.usageReply != nil {
			reply(p.usageReply(m))
		}
	}
}

// lateLogged is the delay from which a late state is logged.
const lateLogged = peerTimeout

// late returns how late a peer's message is; 0 if it doesn't name when it was sent.
func (p *Peers) late(incarnation uint64, sentAt time.Duration) time.Duration {
	if sentAt == 0 {
		return 0
	}
	return p.transit.Late(incarnation, sentAt, p.beat.elapsed())
}

// settleAge makes the ages and times in a state count from now instead of from when it was sent.
func (p *Peers) settleAge(m *wire.MemberState) {
	late := p.late(m.Incarnation, m.SentAt)
	m.ListAge += late
	if m.Clock != 0 {
		m.Clock += late.Nanoseconds()
	}
	for i := range m.Unavailable {
		m.Unavailable[i].Remaining -= late
	}
	if late >= lateLogged {
		p.log.Warn("late state of a peer", "peer", m.Instance, "late_ms", late.Milliseconds(), "list_age_ms", m.ListAge.Milliseconds())
	}
}

func (p *Peers) applyState(m wire.MemberState) {
	p.settleAge(&m)
	p.mu.Lock()
	from := p.add(m.MemberAddress)
	if from == nil {
		p.mu.Unlock()
		return
	}
	for _, a := range m.KnownPeers {
		p.add(a)
	}
	if m.Incarnation == from.incarnation && m.Seq <= from.seq {
		p.mu.Unlock()
		return
	}
	// Its reported load is outdated if its process has restarted, or if from now on the load is
	// part of the totals.
	restarted := from.incarnation != 0 && m.Incarnation != from.incarnation
	forget := m.Incarnation != from.incarnation || (from.fullMesh && !m.FullMesh)
	from.fullMesh = m.FullMesh
	from.incarnation, from.seq = m.Incarnation, m.Seq
	lost := newlyLost(from.summary.LostPools, m.LostPools)
	from.summary = Summary{
		Serving: m.Serving, LostPools: m.LostPools, PathLost: m.PathLost, KeysStale: m.KeysStale, Overdue: m.Overdue, Config: m.ConfigVersion, ConfigBytes: m.ConfigBytes,
		ListPosition: Position(m.ListPosition), ListDigest: m.ListDigest, ListSize: m.ListSize, ListAge: m.ListAge,
	}
	if m.Demands != nil {
		from.demands = m.Demands
	}
	now := time.Now()
	if !from.lastReceived.IsZero() && now.Sub(from.lastReceived) > peerTimeout {
		p.rejoinedAt = now
	}
	from.lastReceived, from.lastUpdate = now, now
	recovered := !from.up
	from.up, p.heard = true, true
	p.mu.Unlock()
	if p.onClock != nil && m.Clock != 0 {
		p.onClock(m.Peers, time.Unix(0, m.Clock))
	}
	if recovered {
		p.log.Info("peer heard", "peer", m.Instance, "address", m.Peers, "config", m.ConfigVersion)
	}
	if forget {
		p.tracker.ForgetPeer(m.Peers)
	}
	if restarted && p.onRestart != nil {
		p.onRestart(m.Instance)
	}
	if (recovered || restarted) && p.onHeard != nil && m.Peers != p.self.Peers {
		p.onHeard(m.Peers)
	}
	if p.onPathLost != nil {
		for _, pool := range lost {
			p.onPathLost(pool)
		}
	}
	p.onQuarantineFingerprint(m.Peers, m.Quarantine)
	p.onConfigNamed(m.ConfigVersion, m.Instance)
	p.onPeerList(Position(m.ListPosition), m.ListDigest, m.ListAge)
	p.applyUnavailable(m.Unavailable)
	p.tracker.ApplyPeerUpdate(m.Peers, m.Loads, m.Prefills)
	p.tracker.Merge(m.Peers, m.Observations)
	p.onUpdate()
}

// newlyLost returns the pools that weren't lost before.
func newlyLost(before, now []string) []string {
	return slices.DeleteFunc(slices.Clone(now), func(pool string) bool { return slices.Contains(before, pool) })
}

// applyLoads records changed loads of a peer. It ignores them before the peer's first state,
// which will contain all of them.
func (p *Peers) applyLoads(m wire.MemberLoads) {
	p.mu.Lock()
	from := p.byIncarnation(m.Incarnation)
	if from == nil || m.Seq <= from.seq {
		p.mu.Unlock()
		return
	}
	from.seq = m.Seq
	from.lastReceived = time.Now()
	address := from.Peers
	p.mu.Unlock()
	p.tracker.ApplyPeerUpdate(address, m.Loads, m.Prefills)
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

// checkSilence marks silent peers as down, and removes those that are gone. Peers aren't to blame for a
// silence in which this process stood still.
func (p *Peers) checkSilence(now time.Time) {
	if stood := p.beat.tick(now); stood > 0 {
		p.log.Warn("this process stood still", "stood_still_ms", stood.Milliseconds())
	}
	resumed := p.beat.resumedAt()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, other := range p.peers {
		if other.up && now.Sub(latest(other.lastReceived, resumed)) > peerTimeout {
			other.up = false
			p.tracker.ForgetPeer(address)
			if p.onForget != nil {
				p.onForget(address)
			}
			p.log.Warn("peer silent", "peer", other.Instance, "address", address, "silent_ms", now.Sub(other.lastReceived).Milliseconds())
		}
		if !other.up && now.Sub(other.lastNamed) > forgetPeerAfter {
			p.closeLink(&other.outgoingLink)
			delete(p.peers, address)
			p.updateLinks()
		}
	}
}

// unreportedRatio returns the ratio of the daemons whose state this one doesn't receive to those
// whose state it does.
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

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
