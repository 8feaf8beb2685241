package member

import (
	"context"
	"time"

	"tamarackchute/internal/wire"
)

const (
	// hedgeDelay is how long a daemon that has heard of a newer configuration waits for it to arrive
	// before it asks further peers.
	hedgeDelay = 300 * time.Millisecond
	// hedgeTimeout limits a request to one of them.
	hedgeTimeout = 400 * time.Millisecond
	// avoidFailedPeer is how long a peer isn't asked for its view again that gave none.
	avoidFailedPeer = 3 * time.Second
)

// configHedge asks one peer after the other for a newer configuration that neither the store nor the
// peer asked first has brought. It is a suture.Service.
type configHedge struct {
	member *Member
	// request sends a request to a peer.
	request func(ctx context.Context, peer string, m wire.ViewRequest) (wire.Message, error)
	since   time.Time
}

func newConfigHedge(m *Member) *configHedge {
	return &configHedge{member: m, request: func(ctx context.Context, peer string, request wire.ViewRequest) (wire.Message, error) {
		return wire.Request(ctx, m.wireConfig(), peer, request)
	}}
}

// String implements fmt.Stringer; the supervisor logs it.
func (h *configHedge) String() string { return "configuration from further peers" }

// Serve implements suture.Service.
func (h *configHedge) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, viewInterval)
		h.check(ctx, time.Now())
	}
	return ctx.Err()
}

func (h *configHedge) check(ctx context.Context, now time.Time) {
	peer := h.member.peers.withConfigAfter(h.member.summary().Config)
	switch {
	case peer == "":
		h.since = time.Time{}
	case h.since.IsZero():
		h.since = now
	case now.Sub(h.since) >= hedgeDelay:
		h.fetch(ctx, peer)
	}
}

func (h *configHedge) fetch(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, hedgeTimeout)
	defer cancel()
	answer, err := h.request(ctx, peer, wire.ViewRequest{ConfigOnly: true})
	reply, ok := answer.(wire.ViewReply)
	if err != nil || !ok || reply.Config == nil {
		h.member.peers.avoidView(peer)
		h.member.log.Warn("request for a peer's configuration failed", "peer", peer, "err", err)
		return
	}
	h.member.acceptFromPeer(peer, reply.Config)
}

// acceptFromPeer applies a peer's configuration. A peer whose document can't be decoded isn't asked
// again for a while.
func (m *Member) acceptFromPeer(peer string, document []byte) {
	c, err := m.cfg.Decoder.ConfigDocument(document)
	if err != nil {
		m.peers.avoidView(peer)
	}
	m.configs.accept(c, err, peer)
}

// withConfigAfter returns the address of a peer, chosen at random, with a newer configuration than
// version; "" if there is none.
func (p *Peers) withConfigAfter(version uint64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, other := range p.peers { // the order of the iteration is random
		if other.summary.Config > version && other.givesView() {
			return address
		}
	}
	return ""
}

// givesView reports whether the peer was heard lately and hasn't just failed to give its view.
func (p *peer) givesView() bool {
	return time.Since(p.lastUpdate) <= peerTimeout && time.Since(p.viewFailedAt) > avoidFailedPeer
}

// avoidView records that a peer hasn't given its view.
func (p *Peers) avoidView(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.peers[address]; other != nil {
		other.viewFailedAt = time.Now()
	}
}
