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
	// catchUpInterval is how often a daemon that has just started asks its peers for the cache
	// state of engines.
	catchUpInterval = 100 * time.Millisecond
	// queryLocalShareAfter is how long after its start it queries its share of the engines
	// directly: peers, if any, report within a heartbeat or two. queryAllAfter is when it
	// queries all engines that are still unknown.
	queryLocalShareAfter = 400 * time.Millisecond
	queryAllAfter        = 1500 * time.Millisecond
	// giveUpAfter is when the caches of engines that can't be queried are taken to be empty.
	giveUpAfter = 5 * time.Second
	// finalQueryDelay is how long after that a peer is queried once more.
	finalQueryDelay = 3 * time.Second
	// cacheListTimeout limits a query of an engine's cached parts.
	cacheListTimeout = time.Second
)

// catchUp initialises the cache state of the engines from the peers or, if all daemons have
// restarted, from the engines. Without it 3 of 10 responses rather than 8 meet their objective
// for tens of seconds after a restart of all daemons: cached parts are assumed to be missing, and
// the short prefills that result are attributed to the speed of the engines.
type catchUp struct {
	member *Member
	log    *slog.Logger
}

// String implements fmt.Stringer; the supervisor logs it.
func (c *catchUp) String() string { return "catching up" }

// Serve implements suture.Service. It ends once the caches of all engines are known.
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
		if elapsed > queryLocalShareAfter {
			c.fromEngines(ctx, elapsed > queryAllAfter)
		}
		if len(c.member.tracker.UnknownCaches()) == 0 || elapsed > giveUpAfter {
			break
		}
	}
	c.member.tracker.AssumeNewEnginesEmpty()
	c.log.Info("initial cache state complete", "unknown_engines", len(c.member.tracker.UnknownCaches()))
	sleep(ctx, finalQueryDelay)
	c.finalQuery(ctx)
	return suture.ErrDoNotRestart
}

// finalQuery asks a peer for the prefills that happened while this daemon's links were being set
// up: such updates are sent once, and only to connected peers.
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

// fromPeers asks the serving peers, one after the other, for the caches still unknown.
func (c *catchUp) fromPeers(ctx context.Context) {
	for _, peer := range c.member.peers.Serving() {
		unknown := c.member.tracker.UnknownCaches()
		if len(unknown) == 0 {
			return
		}
		c.fromPeer(ctx, peer.Peers, unknown)
	}
}

func (c *catchUp) fromPeer(ctx context.Context, peer string, engines []placement.Key) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	answer, err := wire.Request(ctx, c.member.wireConfig(), peer, wire.SnapshotRequest{Engines: engines})
	if err != nil {
		c.log.Warn("request for a peer's cache state failed", "peer", peer, "err", err)
		return
	}
	reply, ok := answer.(wire.SnapshotReply)
	if !ok {
		return
	}
	c.member.tracker.Restore(peer, reply.Snapshot)
	c.log.Info("cache state received from a peer", "peer", peer, "missing", len(engines), "engines", len(reply.Snapshot.Cached))
}

// fromEngines queries the engines whose caches are still unknown: all of them, or only this
// daemon's share, while the other daemons query theirs and all share the results.
func (c *catchUp) fromEngines(ctx context.Context, all bool) {
	unknown := c.member.tracker.UnknownCaches()
	for _, u := range c.engines() {
		if ctx.Err() == nil && slices.Contains(unknown, placement.KeyOf(u.ID, u.Started)) && (all || c.isLocalShare(u)) {
			c.queryEngine(ctx, u)
		}
	}
}

// isLocalShare reports whether this daemon is the one to query an engine, by rendezvous hashing
// among the serving daemons.
func (c *catchUp) isLocalShare(u *fleet.Upstream) bool {
	score := func(daemon string) uint64 { return xxhash.Sum64String(daemon + " " + u.ID) }
	localScore := score(c.member.self.Peers)
	return !slices.ContainsFunc(c.member.peers.Serving(), func(a wire.MemberAddress) bool { return score(a.Peers) > localScore })
}

func (c *catchUp) queryEngine(ctx context.Context, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	parts, err := c.member.engines.CachedParts(ctx, u)
	if err != nil {
		c.log.Warn("listing an engine's cached parts failed", "engine", u.ID, "err", err)
		return
	}
	c.member.tracker.SetCachedParts(u.ID, parts)
	c.log.Info("engine's cached parts listed", "engine", u.ID, "parts", len(parts))
}
