package placement

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/upstream"
)

// Member is an upstream as the feeds describe it.
type Member struct {
	ID, DataCentre string
	Role           upstream.Role
	Slots          int
	KVTokens       int
}

// Key names an upstream between daemons, in fewer bytes than its ID.
type Key uint32

// KeyOf returns the key of an upstream.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Books keep what is in flight where, of this daemon and of its peers, and what
// was learnt of each upstream. They are safe for use by many goroutines.
type Books struct {
	now func() time.Time

	mu        sync.Mutex
	upstreams map[string]*entry
	keys      map[Key]*entry
	// reads are the prompts read since the last Own, for the peers.
	reads []Read
}

type entry struct {
	Member
	own Load
	// told is what the peers were told last.
	told    Load
	peers   map[string]Load
	cache   *cacheBelief
	pace    pace
	latency float64 // smoothed milliseconds of a plain call
	health  health
	trials  int
	// away is the time until which the engine takes no work, as it changes.
	away time.Time
	// refusals counts those in a row, up to maxRefusals.
	refusals int
}

// replacedFor is how long an upstream is left alone whose address belongs to
// another one: entries lapse after three heartbeats.
const replacedFor = 4 * time.Second

// refusedFor is how long a daemon leaves an upstream alone for each time in a row
// that it has refused, up to maxRefusals.
const (
	refusedFor  = 60 * time.Millisecond
	maxRefusals = 8
)

// Load is a daemon's work at one upstream.
type Load struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// Running counts requests in flight, Long those of them that generate for
	// seconds.
	Running, Long int
	// Sent sums up the prompt tokens ever sent there to be read, Done those that
	// have been read or given up. The difference between two states is what was
	// added, also if states in between are lost; that between the two sums is
	// what the engine still has to read.
	Sent, Done uint32
}

// Plus returns the sum of two daemons' loads.
func (l Load) Plus(o Load) Load {
	return Load{Running: l.Running + o.Running, Long: l.Long + o.Long, Sent: l.Sent + o.Sent, Done: l.Done + o.Done}
}

// Minus takes a load back that Plus has added.
func (l Load) Minus(o Load) Load {
	return Load{Running: l.Running - o.Running, Long: l.Long - o.Long, Sent: l.Sent - o.Sent, Done: l.Done - o.Done}
}

// LoadAt is a load with the upstream's key.
type LoadAt struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	At       Key
	Load     Load
}

// Read says that an engine has read the shared parts of a prompt.
type Read struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	At       Key
	// Last is the last shared part; those before it are kept as well.
	Last Part
}

// NewBooks returns empty books; now is the clock, nil means time.Now.
func NewBooks(now func() time.Time) *Books {
	if now == nil {
		now = time.Now
	}
	return &Books{now: now, upstreams: make(map[string]*entry), keys: make(map[Key]*entry)}
}

// Sync replaces the list of upstreams. What was learnt of those that stay is
// kept.
func (b *Books) Sync(members []Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]*entry, len(members))
	keys := make(map[Key]*entry, len(members))
	for _, m := range members {
		e := b.upstreams[m.ID]
		if e == nil {
			e = newEntry(m)
		}
		if e.Role != m.Role {
			e.pace = newPace(m.Role)
			e.away = time.Time{} // the change that it was away for is done
		}
		e.Member = m
		listed[m.ID] = e
		keys[KeyOf(m.ID)] = e
	}
	b.upstreams, b.keys = listed, keys
}

func newEntry(m Member) *entry {
	e := &entry{Member: m, peers: make(map[string]Load), pace: newPace(m.Role)}
	if m.Role != "" {
		e.cache = newCacheBelief(m.KVTokens)
	}
	return e
}

// running returns the requests in flight of all daemons.
func (e *entry) running() (running, long int) {
	running, long = e.own.Running, e.own.Long
	for _, l := range e.peers {
		running += l.Running
		long += l.Long
	}
	return running, long
}

// unread returns the prompt tokens that all daemons wait for there. Sums wrap
// around alike, so their difference is right.
func (e *entry) unread() float64 {
	unread := int32(e.own.Sent - e.own.Done)
	for _, l := range e.peers {
		unread += int32(l.Sent - l.Done)
	}
	return float64(max(0, unread))
}

// Engines returns the upstreams among some that may take work now.
func (b *Books) Engines(ids []string) []Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	list := make([]Engine, 0, len(ids))
	for _, id := range ids {
		e := b.upstreams[id]
		if e == nil || now.Before(e.away) || e.health.out(now) || (e.health.trial && e.trials > 0) {
			continue
		}
		list = append(list, e.view(b, now))
	}
	return list
}

func (e *entry) view(b *Books, now time.Time) Engine {
	running, long := e.running()
	e.pace.streams = long > 0
	e.pace.bound(now, e.unread())
	v := Engine{
		ID: e.ID, DataCentre: e.DataCentre, Role: e.Role, Slots: e.Slots,
		Running: running, Long: long,
		QueueMillis: e.pace.queue(now), TokensPerMilli: e.pace.effective(), OverheadMillis: e.pace.overhead,
		Trial: e.health.trial, LatencyMillis: e.latency,
	}
	if e.cache != nil {
		v.Cached = func(parts []Part) int {
			b.mu.Lock()
			defer b.mu.Unlock()
			return e.cache.kept(parts)
		}
	}
	return v
}

// SendAway keeps requests from an engine for some time, or until it has a role;
// "" for an engine that doesn't change. Of two times the later one holds. Word of
// a change that is done already counts for nothing: it would keep an engine idle
// that is ready.
func (b *Books) SendAway(at Key, to upstream.Role, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.keys[at]; e != nil && (to == "" || e.Role != to) {
		if until := b.now().Add(d); until.After(e.away) {
			e.away = until
		}
	}
}

// Away reports whether an engine is changing.
func (b *Books) Away(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.upstreams[id]
	return e != nil && b.now().Before(e.away)
}

// Work is what an attempt asks of an upstream.
type Work struct {
	// Tokens are the prompt tokens to be read there, 0 if it reads none.
	Tokens int
	// Parts are the prompt's.
	Parts []Part
	// Long says that it generates for seconds.
	Long bool
}

// Ticket is one attempt at one upstream.
type Ticket struct {
	books   *Books
	entry   *entry
	work    Work
	began   time.Time
	reading reading
	trial   bool
	read    bool
	ended   bool
}

// Begin books an attempt at an upstream.
func (b *Books) Begin(id string, w Work) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.upstreams[id]
	if e == nil {
		e = newEntry(Member{ID: id}) // it left just now; its books go nowhere
	}
	t := &Ticket{books: b, entry: e, work: w, began: b.now()}
	e.own.Running++
	if w.Long {
		e.own.Long++
	}
	e.own.Sent += uint32(w.Tokens)
	t.reading = e.pace.add(t.began, float64(w.Tokens))
	if e.health.trial {
		t.trial = true
		e.trials++
	}
	return t
}

// PromptRead notes that the engine has the prompt in its memory: it has read it,
// or fetched it.
func (t *Ticket) PromptRead() {
	t.books.mu.Lock()
	defer t.books.mu.Unlock()
	if t.read || t.entry.cache == nil {
		return
	}
	t.read = true
	t.entry.own.Done += uint32(t.work.Tokens)
	t.entry.pace.learn(t.reading, t.books.now())
	shared := sharedParts(t.work.Parts)
	t.entry.cache.read(t.work.Parts)
	if len(shared) > 0 {
		last := shared[len(shared)-1]
		last.Tokens = sumTokens(shared)
		t.books.reads = append(t.books.reads, Read{At: KeyOf(t.entry.ID), Last: last})
	}
}

// Paused notes a pause between two events of a long stream, as a share of the
// longest that counts as on time.
func (t *Ticket) Paused(share float64) {
	if !t.work.Long {
		return
	}
	t.books.mu.Lock()
	defer t.books.mu.Unlock()
	t.entry.pace.paused(share, t.books.now())
}

// End closes the attempt. Only the first call counts.
func (t *Ticket) End(o Outcome) {
	t.books.mu.Lock()
	defer t.books.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	e := t.entry
	if !t.read {
		e.own.Done += uint32(t.work.Tokens)
	}
	e.own.Running--
	if t.work.Long {
		e.own.Long--
	}
	if t.trial {
		e.trials--
	}
	now := t.books.now()
	if o == Done && e.Role == "" {
		e.latency += learnStep * (toMillis(now.Sub(t.began)) - e.latency)
	}
	e.health.note(o, t.began, now)
	if o == Replaced {
		// This incarnation has ended, or works in another role. Its entry takes
		// seconds to say so.
		e.away = now.Add(replacedFor)
	}
	if o == Refused {
		// Whatever made it refuse lasts longer than the next request takes.
		e.refusals = min(e.refusals+1, maxRefusals)
		if until := now.Add(refusedFor * time.Duration(e.refusals)); until.After(e.away) {
			e.away = until
		}
	} else if o == Done {
		e.refusals = 0
	}
}

// Reads returns the prompts read since the last call.
func (b *Books) Reads() []Read {
	b.mu.Lock()
	defer b.mu.Unlock()
	reads := b.reads
	b.reads = nil
	return reads
}

// Own returns what has changed of this daemon's load since the last call. With
// all, the whole load is returned.
func (b *Books) Own(all bool) []LoadAt {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []LoadAt
	for id, e := range b.upstreams {
		if e.own != e.told || (all && e.own != (Load{})) {
			e.told = e.own
			loads = append(loads, LoadAt{At: KeyOf(id), Load: e.own})
		}
	}
	return loads
}

// NotePeer takes what a peer says of its load at some upstreams.
func (b *Books) NotePeer(peer string, loads []LoadAt, reads []Read) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, l := range loads {
		e := b.keys[l.At]
		if e == nil {
			continue
		}
		before, known := e.peers[peer]
		e.peers[peer] = l.Load
		// A peer that was unknown, or has started anew, has added what it says at
		// an unknown time; only the difference to a known state is news.
		if added := l.Load.Sent - before.Sent; known && added < maxAdded {
			e.pace.add(now, float64(added))
		}
	}
	for _, r := range reads {
		if e := b.keys[r.At]; e != nil && e.cache != nil {
			e.cache.read([]Part{r.Last})
		}
	}
}

// maxAdded is the most prompt tokens that a peer can have added between two
// states; a greater difference means that its count began anew.
const maxAdded = 1 << 20

// ForgetPeer drops the load of a peer that has fallen silent.
func (b *Books) ForgetPeer(peer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.upstreams {
		delete(e.peers, peer)
	}
}

// sharedParts returns the parts of a prompt that other requests may share: all
// but the last.
func sharedParts(parts []Part) []Part {
	return parts[:max(0, len(parts)-1)]
}

func sumTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}
