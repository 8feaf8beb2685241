package placement

import (
	"sync"
	"time"

	"tamarackchute/upstream"
)

// The rates assumed of an engine until it has shown its own, in prompt tokens a
// millisecond: engines that generate read at about half the speed.
const (
	assumedPrefillRate = 400.0
	assumedDecodeRate  = 180.0
	// rateStep is the weight of one reading in the learnt rate.
	rateStep = 0.1
	// minReadTokens is the shortest reading that says something about the rate.
	minReadTokens = 512
)

// Member is an upstream as the feeds describe it.
type Member struct {
	ID, DataCentre string
	Role           upstream.Role
	Slots          int
	KVTokens       int
}

// Books keep what is in flight where, of this daemon and of its peers, and what
// was learnt of each upstream. They are safe for use by many goroutines.
type Books struct {
	now func() time.Time

	mu        sync.Mutex
	upstreams map[string]*entry
	// reads are the prompts read since the last Load, for the peers.
	reads []Read
	dirty bool
}

type entry struct {
	Member
	running int
	pending float64
	peers   map[string]Load
	cache   *cacheBelief
	rate    float64
	latency float64 // smoothed milliseconds of a plain call
	health  health
	trials  int
}

// Load is a daemon's work in flight at one upstream.
type Load struct {
	Running int     `msgpack:"r"`
	Pending float64 `msgpack:"p"`
}

// Read says that an engine has read a prompt.
type Read struct {
	Engine string `msgpack:"e"`
	Parts  []Part `msgpack:"p"`
}

// NewBooks returns empty books; now is the clock, nil means time.Now.
func NewBooks(now func() time.Time) *Books {
	if now == nil {
		now = time.Now
	}
	return &Books{now: now, upstreams: make(map[string]*entry)}
}

// Sync replaces the list of upstreams. What was learnt of those that stay is
// kept.
func (b *Books) Sync(members []Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]*entry, len(members))
	for _, m := range members {
		e := b.upstreams[m.ID]
		if e == nil {
			e = newEntry(m)
		}
		if e.Role != m.Role {
			e.rate = assumedRate(m.Role)
		}
		e.Member = m
		listed[m.ID] = e
	}
	b.upstreams = listed
}

func newEntry(m Member) *entry {
	e := &entry{Member: m, peers: make(map[string]Load), rate: assumedRate(m.Role)}
	if m.Role != "" {
		e.cache = newCacheBelief(m.KVTokens)
	}
	return e
}

func assumedRate(r upstream.Role) float64 {
	if r == upstream.RoleDecode {
		return assumedDecodeRate
	}
	return assumedPrefillRate
}

func (e *entry) totals() Load {
	t := Load{Running: e.running, Pending: e.pending}
	for _, l := range e.peers {
		t.Running += l.Running
		t.Pending += l.Pending
	}
	return t
}

// Engines returns the engines among some upstreams that may take work now.
func (b *Books) Engines(ids []string) []Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	list := make([]Engine, 0, len(ids))
	for _, id := range ids {
		e := b.upstreams[id]
		if e == nil || e.health.out(now) || (e.health.trial && e.trials > 0) {
			continue
		}
		total := e.totals()
		view := Engine{
			ID: e.ID, DataCentre: e.DataCentre, Role: e.Role, Slots: e.Slots,
			Running: total.Running, Own: e.running,
			PendingTokens: total.Pending, TokensPerMilli: e.rate,
			Trial: e.health.trial, LatencyMillis: e.latency,
		}
		if e.cache != nil {
			view.Cached = e.cached(b)
		}
		list = append(list, view)
	}
	return list
}

// cached returns the engine's lookup, which takes the lock for itself.
func (e *entry) cached(b *Books) func([]Part) int {
	return func(parts []Part) int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return e.cache.kept(parts)
	}
}

// Ticket is one attempt at one upstream.
type Ticket struct {
	books   *Books
	entry   *entry
	began   time.Time
	tokens  float64
	parts   []Part
	trial   bool
	reading bool
	ended   bool
}

// Begin books an attempt at an upstream; tokens are the prompt tokens that it
// will have to read there.
func (b *Books) Begin(id string, tokens int, parts []Part) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.upstreams[id]
	if e == nil {
		e = newEntry(Member{ID: id}) // it left just now; its books go nowhere
	}
	t := &Ticket{books: b, entry: e, began: b.now(), tokens: float64(tokens), parts: parts, reading: tokens > 0}
	e.running++
	e.pending += t.tokens
	if e.health.trial {
		t.trial = true
		e.trials++
	}
	b.dirty = true
	return t
}

// PromptRead notes that the engine has read the prompt.
func (t *Ticket) PromptRead() {
	t.books.mu.Lock()
	defer t.books.mu.Unlock()
	if !t.reading {
		return
	}
	t.stopReading()
	if t.entry.cache != nil {
		t.entry.cache.read(t.parts)
		t.books.reads = append(t.books.reads, Read{Engine: t.entry.ID, Parts: t.parts})
	}
	t.learnRate()
}

func (t *Ticket) stopReading() {
	t.reading = false
	t.entry.pending = max(0, t.entry.pending-t.tokens)
	t.books.dirty = true
}

// learnRate takes a reading that had the engine's prompts to itself as a sample
// of its rate.
func (t *Ticket) learnRate() {
	elapsed := float64(t.books.now().Sub(t.began)) / float64(time.Millisecond)
	if t.tokens < minReadTokens || elapsed <= 0 || t.entry.totals().Pending > 0 {
		return
	}
	t.entry.rate += rateStep * (t.tokens/elapsed - t.entry.rate)
}

// End closes the attempt. Only the first call counts.
func (t *Ticket) End(o Outcome) {
	t.books.mu.Lock()
	defer t.books.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	if t.reading {
		t.stopReading()
	}
	e := t.entry
	e.running--
	if t.trial {
		e.trials--
	}
	now := t.books.now()
	if o == Done && e.Role == "" {
		e.latency += rateStep * (float64(now.Sub(t.began))/float64(time.Millisecond) - e.latency)
	}
	e.health.note(o, t.began, now)
	t.books.dirty = true
}

// Own returns this daemon's load by upstream and the prompts read since the last
// call; ok is false if nothing has changed since.
func (b *Books) Own() (loads map[string]Load, reads []Read, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.dirty && len(b.reads) == 0 {
		return nil, nil, false
	}
	reads, b.reads, b.dirty = b.reads, nil, false
	return b.ownLoads(), reads, true
}

func (b *Books) ownLoads() map[string]Load {
	loads := make(map[string]Load)
	for id, e := range b.upstreams {
		if e.running > 0 || e.pending > 0 {
			loads[id] = Load{Running: e.running, Pending: e.pending}
		}
	}
	return loads
}

// SetPeer replaces what is known of a peer's load. A nil map forgets the peer.
func (b *Books) SetPeer(peer string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.upstreams {
		if l, ok := loads[id]; ok {
			e.peers[peer] = l
		} else {
			delete(e.peers, peer)
		}
	}
}

// NoteReads takes the prompts that a peer's requests had read.
func (b *Books) NoteReads(reads []Read) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reads {
		if e := b.upstreams[r.Engine]; e != nil && e.cache != nil {
			e.cache.read(r.Parts)
		}
	}
}

// Loads returns this daemon's load by upstream.
func (b *Books) Loads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ownLoads()
}
