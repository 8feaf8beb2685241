package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// Member is an upstream in the list that Sync gets.
type Member struct {
	ID, DataCentre string
	// Started distinguishes successive starts under the same ID.
	Started time.Time
	// Pool is the pool of requests that the upstream serves. Engines of one pool are alike.
	Pool  string
	Role  upstream.Role
	Slots int
	// KVTokens is the size of an engine's KV memory.
	KVTokens int
	// TransferMillisPerToken is the time to transfer the KV cache of a token between two
	// engines of one data centre, in milliseconds.
	TransferMillisPerToken float64
	// Draining is set if the upstream takes no new work.
	Draining bool
}

// Tracker tracks the work in flight at each upstream, of this daemon and of its peers, and
// what has been learned about the upstreams. It is safe for concurrent use.
type Tracker struct {
	now func() time.Time

	mu     sync.Mutex
	byID   map[string]*trackedUpstream
	byKey  map[Key]*trackedUpstream
	models map[string]*enginemodel.Model
	// backoffs are the ends of the backoffs that upstreams have asked for, also of those that aren't
	// listed at the moment.
	backoffs map[start]time.Time
	// limitWait returns how long no request may be sent to an upstream because of a limit; nil if
	// there are no limits.
	limitWait func(id string, started time.Time) time.Duration
	// newEnginesEmpty is set if engines that appear from now on have an empty cache.
	newEnginesEmpty bool
	// prefillEvents are the events since the last call of PrefillEvents, for the peers.
	prefillEvents []PrefillEvent
	// dirty lists the upstreams whose local load may have changed since the last call of
	// LocalLoads. onChange is called when the first one is added.
	dirty    []*trackedUpstream
	onChange func()
	// pools are the upstreams that aren't draining, by pool. search is reused for each
	// decision.
	pools  map[string]*enginePool
	search search
}

// trackedUpstream is the state kept for one upstream.
type trackedUpstream struct {
	Member
	model *enginemodel.Model
	local Load
	// reported is the local load as last reported to the peers; dirty is set if local may
	// differ from it.
	reported Load
	dirty    bool
	peers    map[string]Load
	// others is the sum of the peers' loads.
	others Load
	// hash is the hash of the ID.
	hash uint64
	// searchIndex is the engine's index in the current search, or -1.
	searchIndex int
	cache       *cacheEstimate
	// cacheKnown is set if the contents of the engine's cache are known.
	cacheKnown bool
	// prefillQueue is the pending prefill work, linkQueue the pending KV transfers.
	prefillQueue, linkQueue backlog
	// recentPrefill is the prefill work sent recently, recentTransfers the KV transfers.
	recentPrefill, recentTransfers recentWork
	prefillSlowdown                float64
	latency                        float64 // smoothed latency of plain calls, in milliseconds
	health                         health
	probes                         int
	// heardAt is when the upstream last sent something to this daemon.
	heardAt time.Time
	// unavailableUntil is the time until which the upstream takes no work, for example
	// because it changes its role.
	unavailableUntil time.Time
	// refusals counts refusals in a row, up to maxRefusals.
	refusals int
}

// replacedCooldown is how long an upstream is skipped after another one has taken over its
// address: its entry in the list of upstreams lapses after three heartbeats.
const replacedCooldown = 4 * time.Second

// refusalCooldown is how long a daemon skips an upstream per refusal in a row, counted up
// to maxRefusals.
const (
	refusalCooldown = 60 * time.Millisecond
	maxRefusals     = 8
)

// NewTracker returns an empty tracker. now is the clock; nil means time.Now.
func NewTracker(now func() time.Time) *Tracker {
	if now == nil {
		now = time.Now
	}
	return &Tracker{
		now: now, byID: make(map[string]*trackedUpstream), byKey: make(map[Key]*trackedUpstream),
		models: make(map[string]*enginemodel.Model), backoffs: make(map[start]time.Time),
	}
}

// SetLimits sets the function that says how long no request may be sent to an upstream because of a
// limit that it has named. It must be set before the first decision and must not call the tracker.
// An upstream that may get none now isn't chosen, but counts as available otherwise.
func (tr *Tracker) SetLimits(wait func(id string, started time.Time) time.Duration) {
	tr.limitWait = wait
}

// waitForLimit returns how long no request may be sent to an upstream because of a limit.
func (tr *Tracker) waitForLimit(e *trackedUpstream) time.Duration {
	if tr.limitWait == nil {
		return 0
	}
	return tr.limitWait(e.ID, e.Started)
}

func (m Member) key() Key { return KeyOf(m.ID, m.Started) }

// KeyOf returns the key of the current start of an upstream.
func (tr *Tracker) KeyOf(id string) Key {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if e := tr.byID[id]; e != nil {
		return e.key()
	}
	return KeyOf(id, time.Time{})
}

// AssumeNewEnginesEmpty makes the tracker assume that engines which appear from now on have
// just started, with an empty cache.
func (tr *Tracker) AssumeNewEnginesEmpty() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.newEnginesEmpty = true
}

// UnknownCaches returns the engines whose cache contents are unknown. Prefill times of
// these are not learned from: cache hits would pass for fast prefill, and engines believed
// to be fast get more work than they can handle. Draining engines are left out.
func (tr *Tracker) UnknownCaches() []Key {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var list []Key
	for key, e := range tr.byKey {
		if e.cache != nil && !e.cacheKnown && !e.Draining {
			list = append(list, key)
		}
	}
	return list
}

// Sync replaces the list of upstreams. The state of those that remain is kept.
func (tr *Tracker) Sync(members []Member) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	byID := make(map[string]*trackedUpstream, len(members))
	byKey := make(map[Key]*trackedUpstream, len(members))
	for _, m := range members {
		e := tr.byID[m.ID]
		if e == nil || !e.Started.Equal(m.Started) {
			// A restarted upstream has lost its state, even under the same ID.
			e = tr.newTracked(m)
		}
		if e.Role != m.Role {
			e.prefillQueue, e.recentPrefill, e.linkQueue, e.recentTransfers = backlog{}, recentWork{}, backlog{}, recentWork{}
			e.unavailableUntil = time.Time{} // the role change that made it unavailable is done
		}
		e.Member = m
		byID[m.ID] = e
		byKey[m.key()] = e
	}
	tr.byID, tr.byKey = byID, byKey
	tr.pools = poolsOf(byID)
}

func (tr *Tracker) newTracked(m Member) *trackedUpstream {
	e := &trackedUpstream{Member: m, peers: make(map[string]Load), hash: xxhash.Sum64String(m.ID), prefillSlowdown: 1, cacheKnown: tr.newEnginesEmpty}
	if m.Role != "" {
		e.model = tr.model(m.Pool)
		e.cache = newCacheEstimate(m.KVTokens)
	}
	if until := tr.backoffs[startOf(m.ID, m.Started)]; tr.now().Before(until) {
		e.health.backOff(until)
	}
	return e
}

// model returns the model of a pool's engines. tr.mu is held.
func (tr *Tracker) model(pool string) *enginemodel.Model {
	m := tr.models[pool]
	if m == nil {
		m = enginemodel.New()
		tr.models[pool] = m
	}
	return m
}

// PrefillMillis returns the predicted prefill time on an engine of a pool, in milliseconds.
func (tr *Tracker) PrefillMillis(pool string, role upstream.Role, p enginemodel.Prompt) float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.model(pool).Parameters().PrefillMillis(role, p)
}

// DecodeShareMillis returns the engine time that a response of a pool takes, in milliseconds: its
// decoding shares an engine with as many others as that has room for.
func (tr *Tracker) DecodeShareMillis(pool string, tokens int) float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	p := tr.pools[pool]
	if p == nil || len(p.all) == 0 {
		return 0
	}
	return tr.model(pool).Parameters().DecodeMillis(tokens) / float64(LongSlots(p.all[0].Slots))
}

// Engines returns those of the given upstreams that may take work now.
func (tr *Tracker) Engines(ids []string) []Engine {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.now()
	list := make([]Engine, 0, len(ids))
	for _, id := range ids {
		if e := tr.byID[id]; e != nil && e.available(now) {
			list = append(list, Engine{})
			e.describe(&list[len(list)-1], now)
			list[len(list)-1].tracker = tr
		}
	}
	return list
}

// available reports whether the upstream may take work now.
func (e *trackedUpstream) available(now time.Time) bool {
	return !now.Before(e.unavailableUntil) && !e.health.ejected(now) && (!e.health.probing || e.probes == 0)
}

// lastResort reports whether the upstream takes only requests that no other one takes.
func (e *trackedUpstream) lastResort(now time.Time) bool {
	return !now.Before(e.unavailableUntil) && e.health.lastResort(now)
}

// describe fills in the estimated state of the upstream.
func (e *trackedUpstream) describe(v *Engine, now time.Time) {
	load := e.total()
	*v = Engine{
		ID: e.ID, DataCentre: e.DataCentre, Role: e.Role, Slots: e.Slots,
		Running: load.Running, LongStreams: load.LongStreams, LatePrefills: load.LatePrefills, ReservedKVTokens: load.ReservedKVTokens,
		KVTokens: e.KVTokens, TransferMillisPerToken: e.TransferMillisPerToken,
		PrefillSlowdown: e.prefillSlowdown, DecodeSlowdown: load.decodeSlowdown(), Probing: e.health.probing, LatencyMillis: e.latency,
		Model: untrainedParameters, hash: e.hash, tracked: e, now: now,
	}
	if e.cache == nil {
		return
	}
	v.Model = e.model.Parameters()
	v.PendingPrefillMillis = e.pendingPrefill()
	e.prefillQueue.bound(now, v.PendingPrefillMillis, v.Model.StartMillis(e.Role)+reportDelay)
	v.QueueMillis, v.LinkMillis = e.prefillQueue.millis, e.linkQueue.remaining(now)
}

// untrainedParameters are used for upstreams without a role, for which no model is kept.
var untrainedParameters = enginemodel.New().Parameters()

// MarkUnavailable excludes an engine for the given time, or until it has the given role;
// the role is empty if it doesn't change. The later of two times holds. Reports of a role
// change that is already done are ignored: they would keep a ready engine idle.
func (tr *Tracker) MarkUnavailable(at Key, to upstream.Role, d time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if e := tr.byKey[at]; e != nil && (to == "" || e.Role != to) {
		if until := tr.now().Add(d); until.After(e.unavailableUntil) {
			e.unavailableUntil = until
		}
	}
}

// Unavailable reports whether an upstream takes no work for now: by MarkUnavailable, or
// after it refused or was replaced.
func (tr *Tracker) Unavailable(id string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.byID[id]
	return e != nil && tr.now().Before(e.unavailableUntil)
}

// PoolHealth counts the upstreams of a pool that aren't draining, by their health as seen by this
// daemon.
type PoolHealth struct {
	// Listed counts all, Ejected those that failed and get no requests or only those that no other one
	// takes, and Unreachable the ones among these to which no connection works.
	Listed, Ejected, Unreachable int
}

// PoolHealth returns the health of a pool's upstreams.
func (tr *Tracker) PoolHealth(pool string) PoolHealth { return tr.HealthWithout(pool, nil) }

// HealthWithout is PoolHealth without the upstreams at which a request can't be placed.
func (tr *Tracker) HealthWithout(pool string, unsuited []string) PoolHealth {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var h PoolHealth
	p := tr.pools[pool]
	if p == nil {
		return h
	}
	now := tr.now()
	for _, e := range p.all {
		if slices.Contains(unsuited, e.ID) {
			continue
		}
		h.Listed++
		if !e.health.ejected(now) && !e.health.probing {
			continue
		}
		h.Ejected++
		if e.health.unreached() {
			h.Unreachable++
		}
	}
	return h
}

// UsableUpstreams are those upstreams of a pool that take requests, as seen by this daemon.
type UsableUpstreams struct {
	IDs []string
	// Listed counts those that aren't draining, usable or not.
	Listed int
}

// Usable returns the upstreams of a pool that are neither draining nor ejected.
func (tr *Tracker) Usable(pool string) UsableUpstreams {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var u UsableUpstreams
	p := tr.pools[pool]
	if p == nil {
		return u
	}
	now := tr.now()
	for _, e := range p.all {
		u.Listed++
		if !e.health.ejected(now) && !e.health.probing {
			u.IDs = append(u.IDs, e.ID)
		}
	}
	return u
}

// ReadmitUnreachable ends the ejections of a pool's upstreams to which connections failed: this
// daemon reaches them again.
func (tr *Tracker) ReadmitUnreachable(pool string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	p := tr.pools[pool]
	if p == nil {
		return
	}
	for _, e := range p.all {
		e.health.readmitUnreachable()
	}
}
