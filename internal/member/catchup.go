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
	catchUpInterval = 100 * time.Millisecond
	// askOwn is how long after its start it asks its part of the engines themselves:
	// peers are heard within a beat or two if there are any. askAll is when it asks
	// whichever nobody has told it of.
	queryOwnShareAfter = 400 * time.Millisecond
	queryAllAfter      = 1500 * time.Millisecond
	// giveUpAfter is when it takes those that can't be asked to keep nothing.
	giveUpAfter = 5 * time.Second
	// askOnceMore is how long after that a peer is asked a last time.
	finalQueryDelay = 3 * time.Second
	// listTimeout bounds the question to an engine what it keeps.
	cacheListTimeout = time.Second
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
	start := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, catchUpInterval)
		if len(c.engines()) == 0 {
			start = time.Now()
			continue
		}
		c.fromPeers(ctx)
		elapsed := time.Since(start)
		if elapsed > queryOwnShareAfter {
			c.fromEngines(ctx, elapsed > queryAllAfter)
		}
		if len(c.member.tracker.UnknownCaches()) == 0 || elapsed > giveUpAfter {
			break
		}
	}
	c.member.tracker.AssumeNewEnginesEmpty()
	c.log.Info("caught up", "unknown_engines", len(c.member.tracker.UnknownCaches()))
	sleep(ctx, finalQueryDelay)
	c.finalQuery(ctx)
	return suture.ErrDoNotRestart
}

// onceMore asks a peer for what was read while this daemon's connections to the others
// were made: such news is told once, and only to those that are there.
func (c *catchUp) finalQuery(ctx context.Context) {
	serving := c.member.peers.Serving()
	if len(serving) == 0 || ctx.Err() != nil {
		return
	}
	var all []placement.Key
	for _, u := range c.engines() {
		all = append(all, placement.KeyOf(u.ID, u.Started))
	}
	c.fromPeer(ctx, serving[rand.IntN(len(serving))].Peers, all)
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
	for _, peer := range c.member.peers.Serving() {
		missing := c.member.tracker.UnknownCaches()
		if len(missing) == 0 {
			return
		}
		c.fromPeer(ctx, peer.Peers, missing)
	}
}

func (c *catchUp) fromPeer(ctx context.Context, peer string, missing []placement.Key) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	answer, err := wire.Ask(ctx, c.member.wireConfig(), peer, wire.BeliefsRequest{Of: missing})
	if err != nil {
		c.log.Warn("peer's beliefs not had", "peer", peer, "err", err)
		return
	}
	reply, ok := answer.(wire.BeliefsReply)
	if !ok {
		return
	}
	c.member.tracker.Restore(peer, reply.Beliefs)
	c.log.Info("beliefs of a peer", "peer", peer, "missing", len(missing), "engines", len(reply.Beliefs.Cached))
}

// fromEngines asks the engines that are still missing what they keep: this daemon's
// part of them, as the other daemons ask the rest and all tell each other, or all.
func (c *catchUp) fromEngines(ctx context.Context, all bool) {
	missing := c.member.tracker.UnknownCaches()
	for _, u := range c.engines() {
		if ctx.Err() == nil && slices.Contains(missing, placement.KeyOf(u.ID, u.Started)) && (all || c.isOwnShare(u)) {
			c.queryEngine(ctx, u)
		}
	}
}

// isMine reports whether this daemon is the one to ask an engine, by rendezvous
// hashing among those that serve.
func (c *catchUp) isOwnShare(u *fleet.Upstream) bool {
	score := func(daemon string) uint64 { return xxhash.Sum64String(daemon + " " + u.ID) }
	local := score(c.member.self.Peers)
	return !slices.ContainsFunc(c.member.peers.Serving(), func(a wire.MemberAddress) bool { return score(a.Peers) > local })
}

func (c *catchUp) queryEngine(ctx context.Context, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	parts, err := c.member.cfg.Engines.CachedParts(ctx, u)
	if err != nil {
		c.log.Warn("engine didn't say what it keeps", "engine", u.ID, "err", err)
		return
	}
	c.member.tracker.SetCachedParts(u.ID, parts)
	c.log.Info("engine said what it keeps", "engine", u.ID, "parts", len(parts))
}
