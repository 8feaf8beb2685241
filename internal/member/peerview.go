package member

import (
	"context"
	"time"

	"tamarackchute/internal/wire"
)

const (
	// viewInterval is how often a daemon checks whether a peer has newer data.
	viewInterval = 100 * time.Millisecond
	// viewTimeout limits the time in which a request to a peer makes no progress.
	viewTimeout = time.Second
	// expediteInterval is the minimum time between two attempts to make the store's reader fetch a
	// configuration.
	expediteInterval = 500 * time.Millisecond
	// minAgeGain is how much more recent a peer's copy must be to be adopted, transitAllowance
	// is added to its age for the transfer. Without them two daemons could keep refreshing each
	// other's age although neither reads the store.
	minAgeGain       = 100 * time.Millisecond
	transitAllowance = 20 * time.Millisecond
)

// peerView fetches newer data from peers. It saves most reads of the store, and keeps a daemon
// that is cut off from the store, or starts during an outage, from serving with an outdated
// configuration or none.
type peerView struct {
	member *Member
	// request sends a request to a peer.
	request viewRequester
	// expeditedAt is when the reader of the configuration was last expedited.
	expeditedAt time.Time
}

func newPeerView(m *Member) *peerView { return &peerView{member: m, request: m.sendViewRequest} }

// String implements fmt.Stringer; the supervisor logs it.
func (v *peerView) String() string { return "view of peers" }

// Serve implements suture.Service.
func (v *peerView) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, viewInterval)
		v.member.upstreams.expireLapsed()
		v.check(ctx)
	}
	return ctx.Err()
}

// largeListSize is the number of upstreams above which a list is fetched from a peer only while
// the store is down. A change in the store has some hundred bytes, a list of this size a hundred
// kilobytes; with hundreds of daemons all fetching it from the first that has read it, changes
// and recovery are slow.
const largeListSize = 400

// listSource says where to get the data that a peer has and this daemon lacks.
type listSource struct {
	// full fetches everything from the peer, config only the configuration.
	full, config bool
	// store reads the list from the store.
	store bool
}

// chooseSource returns the cheapest source of a peer's newer data.
func chooseSource(local, peer Summary, storeDown bool) listSource {
	if peer.ListSize <= largeListSize || storeDown {
		return listSource{full: true}
	}
	return listSource{config: peer.Config > local.Config, store: true}
}

// check fetches data from a peer that has newer data, if there is one.
func (v *peerView) check(ctx context.Context) {
	m := v.member
	local := m.summary()
	request := wire.ViewRequest{ConfigVersion: local.Config}
	peer, peerSummary := m.peers.Freshest(local)
	for peerSummary.Config > local.Config && readsFromStore(peerSummary, m.readers[configReader].isDown()) {
		v.expediteConfig(time.Now())
		request.ListOnly = true
		local.Config = peerSummary.Config
		peer, peerSummary = m.peers.Freshest(local)
	}
	if peer == "" {
		return
	}
	source := chooseSource(local, peerSummary, m.readers[upstreamReader].isDown())
	if source.store {
		m.readers[upstreamReader].expedite()
	}
	if source.full || source.config {
		request.ConfigOnly = !source.full
		v.fetch(ctx, peer, request)
	}
}

// expediteConfig makes the store's reader fetch the configuration.
func (v *peerView) expediteConfig(now time.Time) {
	if now.Sub(v.expeditedAt) >= expediteInterval {
		v.expeditedAt = now
		v.member.expediteConfig()
	}
}

func (v *peerView) fetch(ctx context.Context, peer string, request wire.ViewRequest) {
	m := v.member
	sent := time.Now()
	reply, err := m.requestView(ctx, v.request, peer, request, viewTimeout)
	if err != nil {
		m.log.Warn("request for a peer's view failed", "peer", peer, "err", err)
		return
	}
	if reply.Config != nil {
		m.acceptFromPeer(peer, reply.Config)
	}
	if !request.ConfigOnly {
		v.applyUpstreams(peer, reply, reply.Age+time.Since(sent))
	}
}

// applyUpstreams replaces the list with the peer's if that was read later.
func (v *peerView) applyUpstreams(peer string, reply wire.ViewReply, age time.Duration) {
	m := v.member
	m.readers[upstreamReader].applying.Lock()
	defer m.readers[upstreamReader].applying.Unlock()
	localAge := m.readers[upstreamReader].age()
	if Position(reply.Position) <= m.readers[upstreamReader].position() || age >= localAge {
		return
	}
	if !m.cfg.Store.Eras().Observe(Position(reply.Position).Era(), "another daemon") {
		return
	}
	m.log.Info("upstreams taken from a peer", "peer", peer, "age_ms", age.Milliseconds(), "own_age_ms", localAge.Milliseconds())
	at := Position(reply.Position)
	newEra := at.Era() > m.readers[upstreamReader].position().Era()
	m.upstreams.resetFromPeer(entriesOf(reply.Upstreams), entriesOf(reply.Unconfirmed), newEra)
	m.readers[upstreamReader].adopt(at, age)
}

func entriesOf(values map[string][]byte) []Entry {
	entries := make([]Entry, 0, len(values))
	for id, value := range values {
		entries = append(entries, Entry{Key: id, Value: value})
	}
	return entries
}
