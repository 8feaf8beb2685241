package member

import (
	"context"
	"log/slog"
	"time"

	"tamarackchute/internal/boottime"
	"tamarackchute/internal/daemonstatus"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/relay"
	"tamarackchute/internal/wire"
	"tamarackchute/upstreamlimit"
)

// limitsInterval is how often limits in force are repeated to the neighbours, and the daemons among
// which they are divided are updated.
const limitsInterval = 200 * time.Millisecond

// limitExchange shares the limits that upstreams name with the other daemons. It is a suture.Service.
type limitExchange struct {
	book    *upstreamlimit.Book
	limiter *upstreamlimit.Limiter
	peers   *Peers
	state   *fleet.State
	summary func() Summary
	log     *slog.Logger
}

func newLimitExchange(m *Member) *limitExchange {
	book := upstreamlimit.NewBook(nil)
	x := &limitExchange{
		book: book, limiter: upstreamlimit.NewLimiter(book, m.self.Peers, true),
		peers: m.peers, state: m.state, summary: m.summary, log: m.log,
	}
	m.peers.onUpstreamLimits = x.merge
	return x
}

// forRelay returns what the relay needs.
func (x *limitExchange) forRelay() *relay.Limits {
	return &relay.Limits{Book: x.book, Limiter: x.limiter, OnNews: x.broadcast}
}

// String implements fmt.Stringer; the supervisor logs it.
func (x *limitExchange) String() string { return "upstreams' limits" }

// Serve implements suture.Service.
func (x *limitExchange) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		x.limiter.SetMembers(x.peers.limitMembers(x.summary()))
		x.broadcast()
		x.book.Retain(x.isListed)
		x.limiter.Retain()
		sleep(ctx, limitsInterval)
	}
	return ctx.Err()
}

func (x *limitExchange) isListed(u upstreamlimit.Upstream) bool {
	listed := x.state.Snapshot().Upstreams[u.ID]
	return listed != nil && listed.Started.UnixMilli() == u.Started
}

// broadcast sends all known limits to the neighbours.
func (x *limitExchange) broadcast() {
	if reports := x.book.Reports(); len(reports) > 0 {
		x.peers.broadcast(wire.LimitsOf(reports, x.peers.incarnation, boottime.Now()))
	}
}

// merge processes the limits that a neighbour knows, and passes on what is new.
func (x *limitExchange) merge(m wire.UpstreamLimits) {
	changed := false
	late := x.peers.late(m.Incarnation, m.SentAt)
	for _, l := range m.Limits {
		if !x.book.Merge(l.Report().Older(late)) {
			continue
		}
		changed = true
		perSecond, limited := x.book.Limit(l.Report().Upstream)
		x.log.Info("upstream limit heard", "upstream", l.ID, "limited", limited, "per_second", perSecond, "late_ms", late.Milliseconds())
	}
	if changed {
		x.broadcast()
		x.peers.onUpdate()
	}
}

// addStatus adds the limit of an upstream, and whether this daemon may send requests to it.
func (x *limitExchange) addStatus(s *daemonstatus.Upstream, u *fleet.Upstream) {
	key := upstreamlimit.Upstream{ID: u.ID, Started: u.Started.UnixMilli()}
	perSecond, limited := x.book.Limit(key)
	if !limited {
		return
	}
	holds := x.limiter.Holds(key)
	s.LimitPerSecond, s.SharesLimit = &perSecond, &holds
}

// limitMembers returns the daemons among which limits are divided: those that serve callers, as far
// as their state is received, and all known ones of a large site. A daemon without a path to any
// upstream can't use a share, and counts only if all are without one.
func (p *Peers) limitMembers(own Summary) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var able, members []string
	add := func(address string, s Summary) {
		members = append(members, address)
		if !s.PathLost {
			able = append(able, address)
		}
	}
	if own.Serving {
		add(p.self.Peers, own)
	}
	for address, other := range p.peers {
		if !p.fullMesh || other.up && other.summary.Serving {
			add(address, other.recentSummary())
		}
	}
	if len(able) == 0 {
		return members
	}
	return able
}

// recentSummary returns the peer's summary, the zero value if it is outdated.
func (p *peer) recentSummary() Summary {
	if !p.hasState() {
		return Summary{}
	}
	return p.summary
}
