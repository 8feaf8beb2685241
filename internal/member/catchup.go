package member

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/thejerf/suture/v4"

	"tamarackchute/internal/fleet"
	"tamarackchute/internal/wire"
	"tamarackchute/placement"
	"tamarackchute/upstream"
)

const (
	// catchUpEvery is how often a daemon that has just started looks for a peer that
	// knows the engines.
	catchUpEvery = 100 * time.Millisecond
	// askOwn is how long after its start it asks its part of the engines themselves:
	// peers are heard within a beat or two if there are any. askAll is when it asks
	// whichever nobody has told it of.
	askOwn = 400 * time.Millisecond
	askAll = 1500 * time.Millisecond
	// giveUpAfter is when it takes those that can't be asked to keep nothing.
	giveUpAfter = 5 * time.Second
	// askOnceMore is how long after that a peer is asked a last time.
	askOnceMore = 3 * time.Second
	// listTimeout bounds the question to an engine what it keeps.
	listTimeout = time.Second
)

// catchUp learns at the start what is known of the engines: from the peers, or, if all
// have started anew, from the engines. Without it a restart of all daemons was
// followed by tens of seconds in which three answers in ten were in time rather than
// eight: each daemon took parts to be missing that engines kept, and their short
// readings for the engines' speed.
type catchUp struct {
	member *Member
	log    *slog.Logger
}

// String names the service for the supervisor.
func (c *catchUp) String() string { return "catching up" }

// Serve implements suture.Service. It ends once there is nothing more to learn.
func (c *catchUp) Serve(ctx context.Context) error {
	began := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, catchUpEvery)
		if len(c.engines()) == 0 {
			began = time.Now()
			continue
		}
		c.fromPeers(ctx)
		passed := time.Since(began)
		if passed > askOwn {
			c.fromEngines(ctx, passed > askAll)
		}
		if len(c.member.books.UnknownCaches()) == 0 || passed > giveUpAfter {
			break
		}
	}
	c.member.books.AssumeNewEnginesEmpty()
	c.log.Info("caught up", "unknown_engines", len(c.member.books.UnknownCaches()))
	sleep(ctx, askOnceMore)
	c.onceMore(ctx)
	return suture.ErrDoNotRestart
}

// onceMore asks a peer for what was read while this daemon's connections to the others
// were made: such news is told once, and only to those that are there.
func (c *catchUp) onceMore(ctx context.Context) {
	up := c.member.peers.Up()
	if len(up) == 0 || ctx.Err() != nil {
		return
	}
	var all []placement.Key
	for _, u := range c.engines() {
		all = append(all, placement.KeyOf(u.ID, u.Started))
	}
	c.fromPeer(ctx, up[rand.IntN(len(up))].Peers, all)
}

// engines returns the engines of all pools, ordered by ID.
func (c *catchUp) engines() []*fleet.Upstream {
	var list []*fleet.Upstream
	for _, u := range c.member.state.Snapshot().Upstreams {
		if u.Role == upstream.RolePrefill || u.Role == upstream.RoleDecode {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b *fleet.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// fromPeers asks the peers that serve, one after the other, for what is missing.
func (c *catchUp) fromPeers(ctx context.Context) {
	for _, peer := range c.member.peers.Up() {
		missing := c.member.books.UnknownCaches()
		if len(missing) == 0 {
			return
		}
		c.fromPeer(ctx, peer.Peers, missing)
	}
}

func (c *catchUp) fromPeer(ctx context.Context, peer string, missing []placement.Key) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	answer, err := wire.Request(ctx, c.member.wireConfig(), peer, wire.SnapshotRequest{Engines: missing})
	if err != nil {
		c.log.Warn("peer's beliefs not had", "peer", peer, "err", err)
		return
	}
	reply, ok := answer.(wire.SnapshotReply)
	if !ok {
		return
	}
	c.member.books.Restore(peer, reply.Snapshot)
	c.log.Info("beliefs of a peer", "peer", peer, "missing", len(missing), "engines", len(reply.Snapshot.Cached))
}

// fromEngines asks the engines that are still missing what they keep: this daemon's
// part of them, as the other daemons ask the rest and all tell each other, or all.
func (c *catchUp) fromEngines(ctx context.Context, all bool) {
	missing := c.member.books.UnknownCaches()
	for _, u := range c.engines() {
		if ctx.Err() == nil && slices.Contains(missing, placement.KeyOf(u.ID, u.Started)) && (all || c.isMine(u)) {
			c.ask(ctx, u)
		}
	}
}

// isMine reports whether this daemon is the one to ask an engine, by rendezvous
// hashing among those that serve.
func (c *catchUp) isMine(u *fleet.Upstream) bool {
	score := func(daemon string) uint64 { return xxhash.Sum64String(daemon + " " + u.ID) }
	own := score(c.member.self.Peers)
	return !slices.ContainsFunc(c.member.peers.Up(), func(a wire.MemberAddress) bool { return score(a.Peers) > own })
}

func (c *catchUp) ask(ctx context.Context, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	parts, err := c.member.cfg.Engines.Kept(ctx, u)
	if err != nil {
		c.log.Warn("engine didn't say what it keeps", "engine", u.ID, "err", err)
		return
	}
	c.member.books.SetCachedParts(u.ID, parts)
	c.log.Info("engine said what it keeps", "engine", u.ID, "parts", len(parts))
}
