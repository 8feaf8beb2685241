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
	// stateEvery is how often changed loads are told to the peers: about the
	// time of one prompt's reading, so that a place is seldom given twice.
	stateEvery = 5 * time.Millisecond
	// stateFanout is the number of peers up to which stateEvery holds; with
	// more of them states go out more seldom, so that a daemon's traffic stays
	// the same.
	stateFanout = 8
	// beatEvery is how often a daemon is heard from when nothing changes.
	beatEvery = 200 * time.Millisecond
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
}

// About is what a daemon says of itself beside its load.
type About struct {
	Serving bool
	Config  uint64
	ReadAge time.Duration
}

type peer struct {
	wire.MemberAddress
	link        *wire.Link
	token       suture.ServiceToken
	incarnation uint64
	seq         uint64
	serving     bool
	config      uint64
	readAge     time.Duration
	heard       time.Time
	named       time.Time
	up          bool
}

func newPeers(self wire.MemberAddress, cfg wire.Config, books *placement.Books, log *slog.Logger) *Peers {
	return &Peers{
		self: self, cfg: cfg, books: books, log: log,
		links:       suture.New("peers' links", suture.Spec{FailureBackoff: time.Second}),
		peers:       make(map[string]*peer),
		incarnation: rand.Uint64(),
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
		known.link = wire.NewLink(p.cfg, a.Peers, nil, p.log)
		known.token = p.links.Add(known.link)
		p.peers[a.Peers] = known
		p.log.Info("peer found", "peer", a.Instance, "address", a.Peers)
	}
	if a.Instance != "" {
		known.MemberAddress = a
	}
	known.named = time.Now()
	return known
}

// Handle implements wire.Handler.
func (p *Peers) Handle(_ string, m wire.Message, reply func(wire.Message)) {
	switch m := m.(type) {
	case wire.MemberState:
		p.take(m)
	case wire.ViewRequest:
		reply(p.view())
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
	from.serving, from.config, from.readAge = m.Serving, m.Config, m.ReadAge
	from.heard = time.Now()
	regained := !from.up
	from.up = true
	p.mu.Unlock()
	if regained {
		p.log.Info("peer heard", "peer", m.Instance, "address", m.Peers, "config", m.Config)
	}
	if anew {
		p.books.ForgetPeer(m.Peers) // its former process's requests are gone
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
			if now.Sub(lastLoad) < p.loadInterval() {
				continue
			}
			if s := p.state(false); len(s.Loads) > 0 {
				lastLoad = now
				p.send(s)
			}
		}
	}
}

// loadInterval grows with the number of peers.
func (p *Peers) loadInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return stateEvery * time.Duration(1+len(p.peers)/stateFanout)
}

// state returns the state to be told. A full one carries the loads even if they
// haven't changed, and the addresses of other daemons.
func (p *Peers) state(full bool) wire.MemberState {
	loads, reads := p.books.Own(full)
	about := p.about()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	s := wire.MemberState{
		MemberAddress: p.self, Incarnation: p.incarnation, Seq: p.seq,
		Serving: about.Serving, Config: about.Config, ReadAge: about.ReadAge,
		Loads: loads, Reads: reads,
	}
	if !full {
		return s
	}
	for _, other := range p.peers {
		if other.up {
			s.Known = append(s.Known, other.MemberAddress)
		}
	}
	return s
}

func (p *Peers) send(s wire.MemberState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, to := range p.peers {
		to.link.Send(s)
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
			delete(p.peers, address)
			if err := p.links.Remove(other.token); err != nil {
				p.log.Warn("peer's link not removed", "address", address, "err", err)
			}
		}
	}
}

// Up returns the daemons heard from lately that serve callers.
func (p *Peers) Up() []wire.MemberAddress {
	p.mu.Lock()
	defer p.mu.Unlock()
	var up []wire.MemberAddress
	for _, other := range p.peers {
		if other.up && other.serving {
			up = append(up, other.MemberAddress)
		}
	}
	return up
}

// Freshest returns the peer address of a daemon with a newer configuration than
// a version, or else one whose list of upstreams is younger than an age; "" if
// there is none.
func (p *Peers) Freshest(version uint64, age time.Duration) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, newest, youngest := "", version, age
	for address, other := range p.peers {
		if !other.up {
			continue
		}
		readAge := other.readAge + time.Since(other.heard)
		if other.config > newest || (other.config == newest && readAge < youngest) {
			best, newest, youngest = address, other.config, readAge
		}
	}
	return best
}

// Count returns the number of daemons known to be up, this one included.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, other := range p.peers {
		if other.up {
			n++
		}
	}
	return n
}
