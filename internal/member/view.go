package member

import (
	"context"
	"time"

	"tamarackchute/internal/wire"
)

const (
	// viewEvery is how often a daemon looks whether a peer knows more.
	viewEvery = 100 * time.Millisecond
	// viewTimeout bounds the question to a peer.
	viewTimeout = time.Second
	// youngerBy is how much younger a peer's reading must be to be taken over,
	// transit what is added to its age for the way here: without it two daemons
	// could keep each other's word young.
	youngerBy = 100 * time.Millisecond
	transit   = 20 * time.Millisecond
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
		sleep(ctx, viewEvery)
		v.member.upstreams.expire()
		v.look(ctx)
	}
	return ctx.Err()
}

// largeList is the number of upstreams beyond which a list isn't taken from a
// peer while the store can be read: a change in the store is some hundred bytes, a
// whole list of that size a hundred kilobytes, and all daemons would ask the one
// that has read it first. A site of several hundred daemons was slow to learn of
// changes and to recover for that.
const largeList = 400

// source says where a daemon learns what a peer knows and it doesn't.
type source struct {
	// whole asks the peer for everything, config for the configuration only.
	whole, config bool
	// store reads the list from the store.
	store bool
}

// sourceOf chooses the cheaper way to what a peer knows more.
func sourceOf(own, peer About, storeDown bool) source {
	if peer.ListSize <= largeList || storeDown {
		return source{whole: true}
	}
	return source{config: peer.Config > own.Config, store: true}
}

// look learns from a peer that knows more, if there is one.
func (v *peerView) look(ctx context.Context) {
	m := v.member
	own := m.about()
	peer, about := m.peers.Better(own)
	if peer == "" {
		return
	}
	from := sourceOf(own, about, m.readers[0].isDown())
	if from.store {
		m.readers[0].hurry()
	}
	if from.whole || from.config {
		v.ask(ctx, peer, wire.ViewRequest{ConfigOnly: !from.whole})
	}
}

func (v *peerView) ask(ctx context.Context, peer string, request wire.ViewRequest) {
	m := v.member
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	asked := time.Now()
	answer, err := wire.Request(ctx, m.wireConfig(), peer, request)
	if err != nil {
		m.log.Warn("peer's view not had", "peer", peer, "err", err)
		return
	}
	reply, ok := answer.(wire.ViewReply)
	if !ok {
		return
	}
	if reply.Config != nil {
		v.takeConfig(peer, reply.Config)
	}
	if !request.ConfigOnly {
		v.takeUpstreams(peer, reply, reply.Age+time.Since(asked))
	}
}

func (v *peerView) takeConfig(peer string, document []byte) {
	c, err := v.member.cfg.Formats.ConfigDocument(document)
	if err != nil {
		v.member.log.Warn("peer's configuration refused", "peer", peer, "err", err)
		return
	}
	if v.member.state.ApplyConfig(c) {
		v.member.log.Info("configuration in force", "version", c.Version, "rules", len(c.Rules.Rules()), "from", peer)
	}
}

// takeUpstreams replaces the list by the peer's if that was read later.
func (v *peerView) takeUpstreams(peer string, reply wire.ViewReply, age time.Duration) {
	m := v.member
	own := m.readers[0].age()
	if Position(reply.Position) <= m.readers[0].position() || age >= own {
		return
	}
	if !m.cfg.Store.Eras().Note(Position(reply.Position).Era(), "another daemon") {
		return
	}
	m.log.Info("upstreams from a peer", "peer", peer, "age_ms", age.Milliseconds(), "own_age_ms", own.Milliseconds())
	entries := make([]Entry, 0, len(reply.Upstreams))
	for id, value := range reply.Upstreams {
		entries = append(entries, Entry{Key: id, Value: value})
	}
	m.readers[0].takeNewest(entries, Position(reply.Position))
	m.readers[0].heard(Position(reply.Position), age)
}
