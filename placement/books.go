package placement

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// Member is an upstream as the feeds describe it.
type Member struct {
	ID, DataCentre string
	// Started tells the starts under one ID apart.
	Started time.Time
	// Pool is whose requests it serves: engines of one pool are alike.
	Pool  string
	Role  upstream.Role
	Slots int
	// KVTokens is the size of an engine's KV memory.
	KVTokens int
	// MoveMillisPerToken is the time to move a token's KV cache between two engines
	// of one data centre, in milliseconds.
	TransferMillisPerToken float64
	// Leaving says that it takes no new work.
	Draining bool
}

// Books keep what is in flight where, of this daemon and of its peers, and what
// was learnt of each upstream. They are safe for use by many goroutines.
type Tracker struct {
	now func() time.Time

	mu        sync.Mutex
	upstreams map[string]*entry
	keys      map[Key]*entry
	models    map[string]*enginemodel.Model
	// informed says that what new engines keep is known: nothing. See Inform.
	informed bool
	// reads are the prompts sent and read since the last Reads, for the peers.
	reads []PrefillEvent
	// touched are those with work of this daemon that may have changed since the last Own,
	// changed is called for the first of them.
	touched []*entry
	changed func()
	// pools are the engines of each pool, search is used again for each decision.
	pools  map[string]*roster
	search search
}

type entry struct {
	Member
	model *enginemodel.Model
	own   Load
	// told is what the peers were told last, touched says that own may differ.
	told    Load
	touched bool
	peers   map[string]Load
	// others is the sum of what the peers have there.
	others Load
	// hash is that of the ID.
	hash uint64
	// place is where the engine stands in the search under way, -1 if it doesn't.
	place int
	cache *cacheBelief
	// listed says that it is known what the engine keeps.
	listed bool
	// queue is the reading that waits there, link the KV caches to be fetched.
	queue, link backlog
	// lately is the reading sent there, moved the moving.
	lately, moved recently
	slowness      float64
	latency       float64 // smoothed milliseconds of a plain call
	health        health
	trials        int
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

// NewBooks returns empty books; now is the clock, nil means time.Now.
func NewTracker(now func() time.Time) *Tracker {
	if now == nil {
		now = time.Now
	}
	return &Tracker{
		now: now, upstreams: make(map[string]*entry), keys: make(map[Key]*entry),
		models: make(map[string]*enginemodel.Model),
	}
}

func (m Member) key() Key { return KeyOf(m.ID, m.Started) }

// KeyOf returns the key of the present start of an upstream, by its ID.
func (b *Tracker) KeyOf(id string) Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.upstreams[id]; e != nil {
		return e.key()
	}
	return KeyOf(id, time.Time{})
}

// Inform says that an engine that appears from now on has just started, and keeps
// nothing.
func (b *Tracker) AssumeNewEnginesEmpty() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.informed = true
}

// Unlisted returns the engines of which it isn't known what they keep. What their
// readings take says nothing meanwhile: a prompt that was kept already would pass for a
// fast one, and engines believed to be fast get more than they can read.
func (b *Tracker) UnknownCaches() []Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Key
	for key, e := range b.keys {
		if e.cache != nil && !e.listed {
			list = append(list, key)
		}
	}
	return list
}

// Sync replaces the list of upstreams. What was learnt of those that stay is
// kept.
func (b *Tracker) Sync(members []Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]*entry, len(members))
	keys := make(map[Key]*entry, len(members))
	for _, m := range members {
		e := b.upstreams[m.ID]
		if e == nil || !e.Started.Equal(m.Started) {
			// A new start holds and knows nothing of before, also under the same ID.
			e = b.newEntry(m)
		}
		if e.Role != m.Role {
			e.queue, e.lately, e.link, e.moved = backlog{}, recently{}, backlog{}, recently{}
			e.away = time.Time{} // the change that it was away for is done
		}
		e.Member = m
		listed[m.ID] = e
		keys[m.key()] = e
	}
	b.upstreams, b.keys = listed, keys
	b.pools = rosters(listed)
}

func (b *Tracker) newEntry(m Member) *entry {
	e := &entry{Member: m, peers: make(map[string]Load), hash: xxhash.Sum64String(m.ID), slowness: 1, listed: b.informed}
	if m.Role != "" {
		e.model = b.model(m.Pool)
		e.cache = newCacheBelief(m.KVTokens)
	}
	return e
}

// model returns what was learnt of a pool's engines. b.mu is held.
func (b *Tracker) model(pool string) *enginemodel.Model {
	m := b.models[pool]
	if m == nil {
		m = enginemodel.New()
		b.models[pool] = m
	}
	return m
}

// Reading returns the time that an engine of a pool takes to read a prompt, in
// milliseconds.
func (b *Tracker) PrefillMillis(pool string, role upstream.Role, p enginemodel.Prompt) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model(pool).Parameters().PrefillMillis(role, p)
}

// Engines returns the upstreams among some that may take work now.
func (b *Tracker) Engines(ids []string) []Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	list := make([]Engine, 0, len(ids))
	for _, id := range ids {
		if e := b.upstreams[id]; e != nil && e.usable(now) {
			list = append(list, Engine{})
			e.describe(&list[len(list)-1], now)
			list[len(list)-1].books = b
		}
	}
	return list
}

// usable reports whether an upstream may take work now.
func (e *entry) usable(now time.Time) bool {
	return !now.Before(e.away) && !e.health.out(now) && (!e.health.trial || e.trials == 0)
}

// describe fills in what is believed of an upstream.
func (e *entry) describe(v *Engine, now time.Time) {
	load := e.total()
	*v = Engine{
		ID: e.ID, DataCentre: e.DataCentre, Role: e.Role, Slots: e.Slots,
		Running: load.Running, LongStreams: load.LongStreams, LatePrefills: load.LatePrefills, ReservedKVTokens: load.ReservedKVTokens,
		KVTokens: e.KVTokens, TransferMillisPerToken: e.TransferMillisPerToken,
		PrefillSlowdown: e.slowness, DecodeSlowdown: load.paceFactor(), Probing: e.health.trial, LatencyMillis: e.latency,
		Model: nothingKnown, hash: e.hash, entry: e, now: now,
	}
	if e.cache == nil {
		return
	}
	v.Model = e.model.Parameters()
	v.PendingPrefillMillis = e.unread()
	e.queue.bound(now, v.PendingPrefillMillis, v.Model.StartMillis(e.Role)+toldAfter)
	v.QueueMillis, v.LinkMillis = e.queue.millis, e.link.left(now)
}

// nothingKnown stands for what isn't followed of servers without a role.
var nothingKnown = enginemodel.New().Parameters()

// SendAway keeps requests from an engine for some time, or until it has a role;
// "" for an engine that doesn't change. Of two times the later one holds. Word of
// a change that is done already counts for nothing: it would keep an engine idle
// that is ready.
func (b *Tracker) MarkUnavailable(at Key, to upstream.Role, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.keys[at]; e != nil && (to == "" || e.Role != to) {
		if until := b.now().Add(d); until.After(e.away) {
			e.away = until
		}
	}
}

// Away reports whether an engine is changing.
func (b *Tracker) Unavailable(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.upstreams[id]
	return e != nil && b.now().Before(e.away)
}
