// Package streamversion knows the software version of the upstream that began a stream: it may go on
// only there, as what two versions write doesn't fit together. An unknown version is never guessed.
package streamversion

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxStreams bounds the streams whose version is remembered; the oldest go first.
const maxStreams = 1 << 15

// Stream names a stream: a hash of the ID of the request that began it.
type Stream uint64

// StreamOf returns the name of the stream that a request began.
func StreamOf(requestID string) Stream { return Stream(xxhash.Sum64String(requestID)) }

// Begun is a stream with the pool and the version that began it.
type Begun struct {
	Pool, Version string
	Stream        Stream
}

// Listed is what is known of a pool now.
type Listed struct {
	// Versions are those of its upstreams; they may repeat.
	Versions []string
	// Retention is how long after its begin, or after it was last taken up, a stream may be taken up
	// again. Any version that served in that time may have begun it.
	Retention time.Duration
	// Streams means that rules send streams there.
	Streams bool
}

// Book remembers which versions serve in each pool, and the streams that have begun. It is safe for
// concurrent use.
type Book struct {
	now func() time.Time
	// current reports whether the list of upstreams that Observe gets is recent.
	current func() bool

	mu sync.Mutex
	// started is when the process started, or last lost its knowledge of the past.
	started time.Time
	pools   map[string]*pool
	streams *simplelru.LRU[Stream, record]
	// news is closed when a stream or a pool becomes known.
	news chan struct{}
}

// pool is what is known of a pool's versions.
type pool struct {
	retention time.Duration
	streams   bool
	// listed are those with upstreams in the list; removed says when others were last in it.
	listed  map[string]bool
	removed map[string]departure
	// confirmed means that another process vouches for the time before this one's start.
	confirmed bool
}

// departure is when a version was last listed, and until when its streams may be taken up at least.
type departure struct{ at, until time.Time }

// over reports whether no stream of the version may be taken up any more.
func (d departure) over(now time.Time, retention time.Duration) bool {
	return now.Sub(d.at) > retention && now.After(d.until)
}

type record struct {
	Begun
	at time.Time
	// own means that this process began the stream, disputed that others have told of two versions.
	own, disputed bool
}

// NewBook returns an empty book. now is the clock, time.Now if nil; current says whether the list of
// upstreams is recent.
func NewBook(now func() time.Time, current func() bool) *Book {
	if now == nil {
		now = time.Now
	}
	streams, _ := simplelru.NewLRU[Stream, record](maxStreams, nil)
	return &Book{now: now, current: current, started: now(), pools: make(map[string]*pool), streams: streams, news: make(chan struct{})}
}

// Observe records what the configuration and the list of upstreams say of each pool. It returns the streams that
// this process began in pools which have several versions from now on: others must know of them.
func (b *Book) Observe(pools map[string]Listed) []Begun {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var tell []Begun
	for name, p := range b.pools {
		if _, listed := pools[name]; !listed {
			p.observe(Listed{Retention: p.retention}, now)
		}
	}
	for name, listed := range pools {
		p := b.pool(name)
		mixed := p.mixed(now)
		p.observe(listed, now)
		if !mixed && p.mixed(now) {
			tell = append(tell, b.ownStreams(name, now)...)
		}
	}
	return tell
}

func (b *Book) pool(name string) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{listed: make(map[string]bool), removed: make(map[string]departure)}
		b.pools[name] = p
	}
	return p
}

func (p *pool) observe(listed Listed, now time.Time) {
	longest := max(p.retention, listed.Retention) // streams of an earlier configuration may last longer
	p.retention, p.streams = listed.Retention, listed.Streams
	for v := range p.listed {
		if !slices.Contains(listed.Versions, v) {
			p.removed[v] = departure{now, now.Add(longest)}
			delete(p.listed, v)
		}
	}
	for _, v := range listed.Versions {
		p.listed[v] = true
		delete(p.removed, v)
	}
	maps.DeleteFunc(p.removed, func(_ string, d departure) bool { return d.over(now, p.retention) })
}

// served returns the versions that have served within the pool's retention.
func (p *pool) served(now time.Time) []string {
	served := slices.Collect(maps.Keys(p.listed))
	for v, d := range p.removed {
		if !d.over(now, p.retention) {
			served = append(served, v)
		}
	}
	return served
}

// mixed reports whether several versions have served within the pool's retention.
func (p *pool) mixed(now time.Time) bool {
	if len(p.removed) == 0 {
		return len(p.listed) > 1
	}
	return len(p.served(now)) > 1
}

func (b *Book) ownStreams(pool string, now time.Time) []Begun {
	var all []Begun
	for _, r := range b.streams.Values() {
		if r.own && r.Pool == pool && now.Sub(r.at) <= b.pool(pool).retention {
			all = append(all, r.Begun)
		}
	}
	return all
}

// Begin records that a stream has begun at an upstream of this process's choice, and reports whether
// other processes must know: where versions differ, or may have before this process's start.
func (b *Book) Begin(s Begun) (tell bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.streams.Add(s.Stream, record{Begun: s, at: now, own: true})
	p := b.pool(s.Pool)
	return p.mixed(now) || !b.knowsPast(p, now)
}

// knowsPast reports whether the versions are known that served before this process's start.
func (b *Book) knowsPast(p *pool, now time.Time) bool {
	return p.confirmed || now.Sub(b.started) > p.retention
}

// Hear records a stream of which another process has told. What this process has begun itself stands; other
// words that differ make the version unknown. It returns streams as Observe does.
func (b *Book) Hear(s Begun) []Begun { return b.HearLate(s, 0) }

// HearLate is Hear for a stream that began, or was last taken up, some time ago.
func (b *Book) HearLate(s Begun, age time.Duration) []Begun {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	retention := b.pool(s.Pool).retention
	if retention > 0 && age > retention {
		return nil
	}
	defer b.notify()
	at := now.Add(-age)
	tell := b.see(s.Pool, s.Version, at, now)
	r, ok := b.streams.Get(s.Stream)
	switch fresh := ok && r.Pool == s.Pool && (retention == 0 || now.Sub(r.at) <= retention); {
	case fresh && r.own:
	case fresh && r.Version != s.Version:
		r.disputed = true
		b.streams.Add(s.Stream, r)
	case fresh && r.disputed, fresh && r.at.After(at):
	default:
		b.streams.Add(s.Stream, record{Begun: s, at: at})
	}
	return tell
}

// AgedStream is a stream with the time since it began, or was last taken up.
type AgedStream struct {
	Begun
	Age time.Duration
}

// After returns up to a number of known streams that follow one by their names, of the pools of which other processes
// must know the streams, and whether there are more.
func (b *Book) After(last Stream, most int) (known []AgedStream, more bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	wanted := make(map[string]bool)
	for name, p := range b.pools {
		wanted[name] = p.mixed(now) || !b.knowsPast(p, now)
	}
	for _, r := range b.streams.Values() {
		age := now.Sub(r.at)
		if r.Stream > last && !r.disputed && wanted[r.Pool] && age <= b.pools[r.Pool].retention {
			known = append(known, AgedStream{r.Begun, age})
		}
	}
	slices.SortFunc(known, func(x, y AgedStream) int { return cmp.Compare(x.Stream, y.Stream) })
	if more = len(known) > most; more {
		known = known[:most]
	}
	return known, more
}

// HearSole records that another process knows of no other version that has served in a pool within
// its retention.
func (b *Book) HearSole(pool, version string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(pool)
	if served := p.served(b.now()); len(served) == 1 && served[0] == version {
		p.confirmed = true
		b.notify()
	}
}

// Streaming returns the versions of the listed upstreams of each pool that has streams.
func (b *Book) Streaming() map[string][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string][]string, len(b.pools))
	for name, p := range b.pools {
		if p.streams {
			all[name] = slices.Collect(maps.Keys(p.listed))
		}
	}
	return all
}

// Retention returns how long streams of a pool may be taken up again, zero if the pool is unknown.
func (b *Book) Retention(pool string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[pool]; p != nil {
		return p.retention
	}
	return 0
}

// LongestRetention returns the longest retention of all pools.
func (b *Book) LongestRetention() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var longest time.Duration
	for _, p := range b.pools {
		longest = max(longest, p.retention)
	}
	return longest
}

// IsMixed reports whether several versions have served in a pool within its retention.
func (b *Book) IsMixed(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool(pool).mixed(b.now())
}

// LacksPast reports whether the version of a pool's streams is unknown only for the time before this
// process's start.
func (b *Book) LacksPast(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, p := b.now(), b.pool(pool)
	return len(p.served(now)) == 1 && !b.knowsPast(p, now)
}

// Version returns the version that began a stream, and whether it is known: from the begin itself, or
// because no other version can have begun it.
func (b *Book) Version(pool string, s Stream) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if version, verdict := b.told(pool, s, now); verdict != untold {
		return version, verdict == Known
	}
	return b.sole(pool, now)
}

// Sole returns the version of a pool in which no other one has served within its retention, as
// far as this process can know.
func (b *Book) Sole(pool string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sole(pool, b.now())
}

func (b *Book) sole(name string, now time.Time) (string, bool) {
	p := b.pool(name)
	served := p.served(now)
	if len(served) != 1 || !b.knowsPast(p, now) || !b.current() {
		return "", false
	}
	return served[0], true
}

// Changed returns a channel that is closed when a stream or a pool becomes known.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.news
}

func (b *Book) notify() {
	close(b.news)
	b.news = make(chan struct{})
}
