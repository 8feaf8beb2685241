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
	// hedgeTimeout limits the time until one of them begins to respond.
	hedgeTimeout = 400 * time.Millisecond
	// avoidFailedPeer is how long a peer isn't asked for its view again that gave none.
	avoidFailedPeer = 3 * time.Second
)

// configHedge asks one peer after the other for a newer configuration that neither the store nor the
// peer asked first has brought. It is a suture.Service.
type configHedge struct {
	member *Member
	// request sends a request to a peer.
	request viewRequester
	// since is when a newer configuration was first heard of; zero if there is none.
	since time.Time
}

func newConfigHedge(m *Member) *configHedge {
	return &configHedge{member: m, request: m.sendViewRequest}
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
	m := h.member
	peer, size := m.peers.withConfigAfter(m.summary().Config)
	switch {
	case peer == "":
		h.since = time.Time{}
		return
	case h.since.IsZero():
		h.since = now
	}
	awaited := awaitedConfig{known: now.Sub(h.since), received: m.receivedConfig(), size: size, bound: m.cfg.Settings.ConfigBound}
	if awaited.needsPeer() {
		h.fetch(ctx, peer)
	}
}

func (h *configHedge) fetch(ctx context.Context, peer string) {
	m := h.member
	reply, err := m.requestView(ctx, h.request, peer, wire.ViewRequest{ConfigOnly: true, ConfigVersion: m.summary().Config}, hedgeTimeout)
	if err != nil || reply.Config == nil {
		m.peers.avoidView(peer)
		m.log.Warn("request for a peer's configuration failed", "peer", peer, "err", err)
		return
	}
	m.acceptFromPeer(peer, reply.Config)
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
// version, and the configuration's size; "" if there is none.
func (p *Peers) withConfigAfter(version uint64) (address string, size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, other := range p.peers { // the order of the iteration is random
		if other.summary.Config > version && other.givesView() {
			return address, other.summary.ConfigBytes
		}
	}
	return "", 0
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
