package member

import (
	"context"
	"time"

	"tamarackchute/internal/wire"
)

const (
	// viewEvery is how often a daemon looks whether a peer knows more.
	viewInterval = 100 * time.Millisecond
	// viewTimeout bounds the question to a peer.
	viewTimeout = time.Second
	// youngerBy is how much younger a peer's reading must be to be taken over,
	// transit what is added to its age for the way here: without it two daemons
	// could keep each other's word young.
	minAgeGain       = 100 * time.Millisecond
	transitAllowance = 20 * time.Millisecond
)

// peerView learns from a peer what the own reading doesn't show yet. It spares
// the store most reads; and a daemon that is cut off from the store, or starts
// while it is away, would otherwise serve by an outdated configuration, or not at
// all.
type peerView struct {
	member *Member
}

// String names the service for the supervisor.
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

// largeList is the number of upstreams beyond which a list isn't taken from a
// peer while the store can be read: a change in the store is some hundred bytes, a
// whole list of that size a hundred kilobytes, and all daemons would ask the one
// that has read it first. A site of several hundred daemons was slow to learn of
// changes and to recover for that.
const largeListSize = 400

// source says where a daemon learns what a peer knows and it doesn't.
type listSource struct {
	// whole asks the peer for everything, config for the configuration only.
	full, config bool
	// store reads the list from the store.
	store bool
}

// sourceOf chooses the cheaper way to what a peer knows more.
func chooseSource(local, peer Summary, storeDown bool) listSource {
	if peer.ListSize <= largeListSize || storeDown {
		return listSource{full: true}
	}
	return listSource{config: peer.Config > local.Config, store: true}
}

// look learns from a peer that knows more, if there is one.
func (v *peerView) check(ctx context.Context) {
	m := v.member
	local := m.summary()
	peer, peerSummary := m.peers.Freshest(local)
	if peer == "" {
		return
	}
	source := chooseSource(local, peerSummary, m.readers[0].isDown())
	if source.store {
		m.readers[0].expedite()
	}
	if source.full || source.config {
		v.fetch(ctx, peer, wire.ViewRequest{ConfigOnly: !source.full})
	}
}

func (v *peerView) fetch(ctx context.Context, peer string, request wire.ViewRequest) {
	m := v.member
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := wire.Ask(ctx, m.wireConfig(), peer, request)
	if err != nil {
		m.log.Warn("peer's view not had", "peer", peer, "err", err)
		return
	}
	reply, ok := answer.(wire.ViewReply)
	if !ok {
		return
	}
	if reply.Config != nil {
		v.applyConfig(peer, reply.Config)
	}
	if !request.ConfigOnly {
		v.applyUpstreams(peer, reply, reply.Age+time.Since(sent))
	}
}

func (v *peerView) applyConfig(peer string, document []byte) {
	c, err := v.member.cfg.Decoder.ConfigDocument(document)
	if err != nil {
		v.member.log.Warn("peer's configuration refused", "peer", peer, "err", err)
		return
	}
	if v.member.state.ApplyConfig(c) {
		v.member.log.Info("configuration in force", "version", c.Version, "rules", len(c.Rules.Rules()), "from", peer)
	}
}

// takeUpstreams replaces the list by the peer's if that was read later.
func (v *peerView) applyUpstreams(peer string, reply wire.ViewReply, age time.Duration) {
	m := v.member
	localAge := m.readers[0].age()
	if Position(reply.Position) <= m.readers[0].position() || age >= localAge {
		return
	}
	if !m.cfg.Store.Eras().Observe(Position(reply.Position).Era(), "another daemon") {
		return
	}
	m.log.Info("upstreams from a peer", "peer", peer, "age_ms", age.Milliseconds(), "own_age_ms", localAge.Milliseconds())
	entries := make([]Entry, 0, len(reply.Upstreams))
	for id, value := range reply.Upstreams {
		entries = append(entries, Entry{Key: id, Value: value})
	}
	m.readers[0].applyNewest(entries, Position(reply.Position))
	m.readers[0].adopt(Position(reply.Position), age)
}
