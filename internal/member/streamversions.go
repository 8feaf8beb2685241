package member

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/internal/fleet"
	"tamarackchute/internal/notify"
	"tamarackchute/internal/wire"
	"tamarackchute/rules/pathset"
	"tamarackchute/streamversion"
)

const (
	// streamVersionsInterval is how long streams are collected before other daemons are told.
	streamVersionsInterval = 10 * time.Millisecond
	// maxStreamTime is how long a request may last where its rule has no timeout, reconnectTime how long
	// its caller may take to come back after it has ended.
	maxStreamTime = time.Minute
	reconnectTime = 2 * time.Second
)

// streamVersions shares with the other daemons at which software version streams began, where a
// pool's upstreams have several. It implements relay.StreamVersions and is a suture.Service.
type streamVersions struct {
	book   *streamversion.Book
	peers  *Peers
	claims *versionClaims
	// records keeps the streams of this daemon in the store.
	records *streamRecords
	// list returns the reader of the list of upstreams, unconfirmed says that some of them may be gone.
	list        func() *topicReader
	unconfirmed func() bool
	log         *slog.Logger

	mu sync.Mutex
	// untold are streams of which other daemons haven't been told; wake gets a token for the first.
	untold []streamversion.Begun
	wake   chan struct{}
	// unasked are questions that neighbours haven't been asked, batches those that they have, by number.
	unasked   []*question
	batches   map[uint64]batch
	lastBatch uint64
	// answered is signalled at each answer.
	answered notify.Broadcaster
}

var _ suture.Service = (*streamVersions)(nil)

func newStreamVersions(m *Member) *streamVersions {
	x := &streamVersions{peers: m.peers, wake: make(chan struct{}, 1), log: m.log}
	x.list = func() *topicReader { return m.readers[upstreamReader] }
	x.unconfirmed = func() bool { return m.upstreams.current().unconfirmed }
	x.book = streamversion.NewBook(nil, func() bool {
		return m.peers.beat.unbroken(x.list().ownRead()) && knowsVersions(x.list().age(), m.peers.HearsAll)
	})
	x.batches = make(map[uint64]batch)
	x.records = newStreamRecords(m, x.book)
	x.claims = newVersionClaims(m, x.book)
	x.claims.hear = func(s streamversion.AgedStream) { x.tell(x.book.HearLate(s.Begun, s.Age)...) }
	m.peers.onStreamVersions, m.peers.streamVersion = x.hear, x.answer
	m.state.Watch(func(s *fleet.Snapshot) { x.tell(x.book.Observe(listedOf(s))...) })
	return x
}

// listedOf returns what a snapshot says of each pool's versions.
func listedOf(s *fleet.Snapshot) map[string]streamversion.Listed {
	all := make(map[string]streamversion.Listed, len(s.Pools))
	for pool, upstreams := range s.Pools {
		listed := streamversion.Listed{Retention: maxStreamTime}
		for _, u := range upstreams {
			listed.Versions = append(listed.Versions, u.Version)
		}
		all[pool] = listed
	}
	if s.Config == nil {
		return all
	}
	rules := s.Config.Rules.Rules()
	for pool, longest := range longestTimeouts(rules) {
		if listed, ok := all[pool]; ok {
			listed.Retention = longest + reconnectTime
			all[pool] = listed
		}
	}
	for _, r := range rules {
		for _, target := range r.Targets {
			if listed, ok := all[target.Pool]; ok && r.Stream {
				listed.Streams = true
				all[target.Pool] = listed
			}
		}
	}
	return all
}

// longestTimeouts returns the longest timeout of the rules that lead to each pool.
func longestTimeouts(all []pathset.Rule) map[string]time.Duration {
	longest := make(map[string]time.Duration)
	for _, r := range all {
		timeout := r.Timeout
		if timeout == 0 {
			timeout = maxStreamTime
		}
		for _, target := range r.Targets {
			longest[target.Pool] = max(longest[target.Pool], timeout)
		}
	}
	return longest
}

// knowsVersions reports whether this daemon would know if a pool had another version than those in its
// list of upstreams: by the list, or by those that use that version, who tell. Daemons that have been
// silent for too long are forgotten, and no longer missed.
func knowsVersions(listAge time.Duration, hearsAll func() bool) bool {
	return listAge < maxListAge || listAge < forgetPeerAfter && hearsAll()
}

// String implements fmt.Stringer; the supervisor logs it.
func (x *streamVersions) String() string { return "streams' versions" }

// Serve implements suture.Service.
func (x *streamVersions) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-x.wake:
			sleep(ctx, streamVersionsInterval)
			x.flush()
			x.askAll()
		}
	}
}

// Begin implements relay.StreamVersions.
func (x *streamVersions) Begin(pool, request, version string) {
	s := streamversion.Begun{Pool: pool, Version: version, Stream: streamversion.StreamOf(request)}
	if x.book.Begin(s) {
		x.tell(s)
	}
}

func (x *streamVersions) tell(streams ...streamversion.Begun) {
	if len(streams) == 0 {
		return
	}
	x.mu.Lock()
	x.untold = append(x.untold, streams...)
	x.mu.Unlock()
	x.records.add(streams)
	x.wakeUp()
}

// wakeUp makes Serve send what has been collected. It doesn't block.
func (x *streamVersions) wakeUp() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// flush tells the neighbours of the collected streams, in one message for each pool and version.
func (x *streamVersions) flush() {
	x.mu.Lock()
	streams := x.untold
	x.untold = nil
	x.mu.Unlock()
	type group struct{ pool, version string }
	groups := make(map[group][]uint64)
	for _, s := range streams {
		g := group{s.Pool, s.Version}
		groups[g] = append(groups[g], uint64(s.Stream))
	}
	for g, names := range groups {
		x.peers.broadcast(wire.StreamVersions{Pool: g.pool, Version: g.version, Streams: names})
	}
}

// hear records what another daemon tells.
func (x *streamVersions) hear(from string, m wire.StreamVersions) {
	for _, s := range m.Streams {
		x.tell(x.book.Hear(streamversion.Begun{Pool: m.Pool, Version: m.Version, Stream: streamversion.Stream(s)})...)
	}
	x.recordAnswer(from, m)
}

// answer returns what this daemon knows of streams; the last message ends the answer.
func (x *streamVersions) answer(m wire.StreamVersionRequest) []wire.StreamVersions {
	known := make(map[string][]uint64)
	for _, s := range m.Streams {
		if version, told := x.book.Told(m.Pool, streamversion.Stream(s)); told {
			known[version] = append(known[version], s)
		}
	}
	var replies []wire.StreamVersions
	for version, streams := range known {
		replies = append(replies, wire.StreamVersions{Pool: m.Pool, Version: version, Streams: streams})
	}
	last := wire.StreamVersions{Pool: m.Pool, Question: m.Question}
	if version, sole := x.book.Sole(m.Pool); sole {
		last.Version, last.Sole = version, true
	}
	return append(replies, last)
}

// replyStreamVersion replies what this daemon knows of streams.
func (p *Peers) replyStreamVersion(m wire.StreamVersionRequest, reply func(wire.Message)) {
	if p.streamVersion == nil {
		return
	}
	for _, known := range p.streamVersion(m) {
		reply(known)
	}
}

// see records an entry of an upstream as it is read.
func (x *streamVersions) see(u *fleet.Upstream) { x.tell(x.book.See(u.Pool, u.Version)...) }

// listReplaced records that the list of upstreams is about to be replaced without the entries written since it was
// last known to be current: what came and went meanwhile isn't known, unless others would have told.
func (x *streamVersions) listReplaced() {
	list := x.list()
	age := list.age()
	if !list.hasRead() || age <= maxListAge || x.peers.heardThroughout(time.Now().Add(-age)) {
		return
	}
	x.log.Warn("versions may have come and gone unseen", "list_age_ms", age.Milliseconds())
	x.book.LosePast()
}
