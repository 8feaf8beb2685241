package member

import (
	"context"
	"time"

	"tamarackchute/internal/wire"
)

const (
	// viewEvery is how often a daemon looks whether a peer knows more.
	viewEvery = 250 * time.Millisecond
	// viewTimeout bounds the question to a peer.
	viewTimeout = time.Second
	// staleAfter is the age of the own reading from which a peer's is taken.
	staleAfter = 1200 * time.Millisecond
)

// peerView learns from a peer what the store can't tell: a daemon that is cut
// off from the store, or starts while it is away, would otherwise serve by an
// outdated configuration, or not at all.
type peerView struct {
	member *Member
}

// String names the service for the supervisor.
func (v *peerView) String() string { return "view of peers" }

// Serve implements suture.Service.
func (v *peerView) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, viewEvery)
		own := v.member.about()
		age := max(staleAfter, own.ReadAge) - viewEvery
		if own.ReadAge < staleAfter {
			age = 0 // only a newer configuration is of interest
		}
		if peer := v.member.peers.Freshest(own.Config, age); peer != "" {
			v.ask(ctx, peer)
		}
	}
	return ctx.Err()
}

func (v *peerView) ask(ctx context.Context, peer string) {
	m := v.member
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	answer, err := wire.Ask(ctx, m.wireConfig(), peer, wire.ViewRequest{})
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
	if own := m.readers[0].age(); own > staleAfter && reply.Age < own {
		m.log.Info("upstreams from a peer", "peer", peer, "age_ms", reply.Age.Milliseconds(), "own_age_ms", own.Milliseconds())
		m.upstreams.adopt(reply.Upstreams)
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

// adopt takes a peer's entries in place of the own ones. Nothing is removed by
// them: what is missing may have lapsed while the peer couldn't read either.
func (f *upstreamFeed) adopt(raw map[string][]byte) {
	entries := make([]Entry, 0, len(raw))
	for id, value := range raw {
		entries = append(entries, Entry{Key: id, Value: value})
	}
	f.apply(entries)
}
