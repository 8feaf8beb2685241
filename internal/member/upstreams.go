package member

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/internal/fleet"
)

// upstreamFeed maintains the list of upstreams from their entries in the store.
type upstreamFeed struct {
	decoder Decoder
	state   *fleet.State
	log     *slog.Logger
	// lapsedGrace is how long an unconfirmed upstream stays listed while the store can be read.
	lapsedGrace time.Duration
	// age returns the time since the last successful read of the store, restored whether the store
	// was ever restored from an older copy.
	age      func() time.Duration
	restored func() bool
	// hasReadSince reports whether a successful read has begun since a time, recoveredAt returns
	// when the store was last reachable again after an outage.
	hasReadSince func(time.Time) bool
	recoveredAt  func() time.Time
	// onEntry is called with each valid entry as it is read, onReplace before the list is replaced as a whole.
	onEntry   func(*fleet.Upstream)
	onReplace func()

	// latestStart is the latest start seen of each ID, rejected the hash of each invalid entry,
	// by key.
	latestStart map[string]time.Time
	rejected    map[string]uint64
	// rejectedCount counts the invalid entries, each once.
	rejectedCount atomic.Int64

	// published describes the list as last published.
	published atomic.Pointer[listState]

	mu   sync.Mutex
	raw  map[string][]byte
	list map[string]*fleet.Upstream
	// changed means that the list differs from the published one.
	changed bool
	// revisions are those of the newest entries.
	revisions map[string]uint64
	// unconfirmed holds the upstreams that may be gone: their entries were removed during an outage
	// of the store, or haven't been written since it was restored.
	unconfirmed map[string]*doubt
}

// listState describes a list of upstreams for peers.
type listState struct {
	// digest identifies the content, to compare it with a peer's.
	digest uint64
	// unconfirmed means that some of the upstreams may be gone.
	unconfirmed bool
}

// doubt is the state of an unconfirmed upstream.
type doubt struct {
	// since is when the time to write began, extensions how often it began anew.
	since      time.Time
	extensions int
}

// maxExtensions limits how often the time to write begins anew because the store was away. A store
// that refuses some of the reads looks as if it was away each time.
const maxExtensions = 3

func newUpstreamFeed(decoder Decoder, state *fleet.State, lapsedGrace time.Duration, log *slog.Logger) *upstreamFeed {
	return &upstreamFeed{
		decoder: decoder, state: state, log: log, lapsedGrace: lapsedGrace,
		raw: make(map[string][]byte), list: make(map[string]*fleet.Upstream), unconfirmed: make(map[string]*doubt),
		revisions:   make(map[string]uint64),
		latestStart: make(map[string]time.Time), rejected: make(map[string]uint64),
		restored:     func() bool { return false },
		hasReadSince: func(time.Time) bool { return true },
		recoveredAt:  func() time.Time { return time.Time{} },
		onEntry:      func(*fleet.Upstream) {},
		onReplace:    func() {},
	}
}

// current returns the state of the published list, without waiting for a read that is being
// processed.
func (f *upstreamFeed) current() listState {
	if s := f.published.Load(); s != nil {
		return *s
	}
	return listState{}
}

// reset processes the newest entries of all upstreams, read from a store that has lost nothing
// since the last read. If it lost something before, an unknown entry may be left from the copy.
func (f *upstreamFeed) reset(entries []Entry) {
	f.onReplace()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		if f.list[e.Key] != nil || !f.restored() {
			f.put(e)
		} else {
			f.note(e)
		}
	}
	f.removeAllBut(entries)
	f.publish()
}

// apply processes changes in order. Each confirms that its upstream wrote in the store's current
// era.
func (f *upstreamFeed) apply(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		if f.put(e) {
			delete(f.unconfirmed, e.Key)
		}
	}
	f.publish()
}

// resetRestored processes the newest entries of a store that was restored from an older copy since
// the last read, or at any time before the first read. An entry of the copy doesn't show that its
// upstream still exists: until it writes, each upstream is unconfirmed. One that only the copy has
// is ignored, unless nothing else is known.
func (f *upstreamFeed) resetRestored(entries []Entry) {
	f.onReplace()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beginEra()
	f.putUnconfirmed(entries)
	f.log.Info("upstreams unconfirmed until they write", "entries", len(entries), "unconfirmed", len(f.unconfirmed))
	f.publish()
}

// resetFromPeer processes the list of a peer that has read more of the store, with the upstreams
// that are unconfirmed there. newEra means that the store was restored in between.
func (f *upstreamFeed) resetFromPeer(confirmed, unconfirmed []Entry, newEra bool) {
	f.onReplace()
	f.mu.Lock()
	defer f.mu.Unlock()
	if newEra {
		f.beginEra()
	}
	f.putUnconfirmed(unconfirmed)
	for _, e := range confirmed {
		if f.put(e) {
			delete(f.unconfirmed, e.Key)
		}
	}
	f.removeAllBut(slices.Concat(confirmed, unconfirmed))
	f.publish()
}

// beginEra marks all upstreams as unconfirmed. The time to write again starts anew for all, as what
// they have written in an earlier era may be lost.
func (f *upstreamFeed) beginEra() {
	for id := range f.list {
		f.unconfirmed[id] = &doubt{since: time.Now()}
	}
}

// putUnconfirmed processes entries that don't show that their upstreams still exist. They replace
// only what is certainly older. Those of unknown upstreams are ignored, unless nothing else is
// known.
func (f *upstreamFeed) putUnconfirmed(entries []Entry) {
	empty := len(f.list) == 0
	for _, e := range entries {
		known := f.list[e.Key]
		if known == nil && !empty {
			f.note(e)
			f.log.Info("unconfirmed upstream ignored until it writes", "upstream", e.Key)
			continue
		}
		if known == nil || f.isNewer(e, known) {
			f.put(e)
		}
		if f.list[e.Key] != nil {
			f.markUnconfirmed(e.Key)
		}
	}
}

// note passes an entry on that is ignored.
func (f *upstreamFeed) note(e Entry) {
	if u, err := f.decoder.Upstream(e); err == nil {
		f.onEntry(u)
	}
}

// isNewer reports whether an entry is of a later start, or of a later revision of the same start,
// than the known one.
func (f *upstreamFeed) isNewer(e Entry, known *fleet.Upstream) bool {
	u, err := f.decoder.Upstream(e)
	if err != nil {
		return false
	}
	return u.Started.After(known.Started) || u.Started.Equal(known.Started) && u.Revision > f.revisions[e.Key]
}

// removeAllBut removes the upstreams that a list of entries lacks.
func (f *upstreamFeed) removeAllBut(entries []Entry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = e.Value != nil
	}
	for id := range f.list {
		if !listed[id] {
			f.remove(id)
		}
	}
}

// put processes an entry, and reports whether it is the newest of a listed upstream.
func (f *upstreamFeed) put(e Entry) bool {
	if e.Value == nil {
		f.remove(e.Key)
		return false
	}
	u, err := f.decoder.Upstream(e)
	if err != nil {
		f.reject(e, err)
		return false
	}
	delete(f.rejected, e.Key)
	if u.Started.Before(f.latestStart[u.ID]) {
		f.log.Info("entry of an earlier start ignored", "upstream", u.ID, "started", u.Started, "newest", f.latestStart[u.ID])
		return false
	}
	if f.isOutdated(u) {
		f.log.Info("outdated entry ignored", "upstream", u.ID, "revision", u.Revision, "newest", f.revisions[u.ID])
		return false
	}
	f.recordStart(u)
	f.onEntry(u)
	f.raw[e.Key] = e.Value
	f.revisions[e.Key] = u.Revision
	old := f.list[e.Key]
	if old != nil && old.EqualExceptRevision(u) {
		return true
	}
	f.list[e.Key] = u
	f.changed = true
	f.log.Info("upstream", "upstream", u.ID, "started", u.Started, "pool", u.Pool, "address", u.Address, "data_centre", u.DataCentre,
		"role", u.Role, "slots", u.Slots, "leaving", u.Draining, "new", old == nil)
	return true
}

// isOutdated reports whether an entry was written before the known one of the same start.
func (f *upstreamFeed) isOutdated(u *fleet.Upstream) bool {
	known := f.list[u.ID]
	return known != nil && !u.Started.IsZero() && u.Started.Equal(known.Started) && u.Revision < f.revisions[u.ID]
}

// reject handles an invalid entry: whoever wrote it, it names no server, and the server of the
// former entry may be gone. Each is counted and logged once.
func (f *upstreamFeed) reject(e Entry, err error) {
	content := xxhash.Sum64(e.Value)
	if seen, known := f.rejected[e.Key]; !known || seen != content {
		f.rejected[e.Key] = content
		f.rejectedCount.Add(1)
		f.log.Warn("invalid upstream entry ignored", "upstream", e.Key, "bytes", len(e.Value), "err", err)
	}
	if f.list[e.Key] != nil {
		f.drop(e.Key)
	}
}

// rejectedEntries returns the number of invalid entries.
func (f *upstreamFeed) rejectedEntries() int64 { return f.rejectedCount.Load() }

// maxClockDifference is the largest difference between the clocks of this daemon and of an upstream. A
// start further in the future isn't one that later starts follow.
const maxClockDifference = 24 * time.Hour

// maxRememberedStarts limits the starts remembered of servers that are gone.
const maxRememberedStarts = 10_000

func (f *upstreamFeed) recordStart(u *fleet.Upstream) {
	if u.Started.IsZero() || time.Until(u.Started) > maxClockDifference {
		return
	}
	if len(f.latestStart) >= maxRememberedStarts {
		maps.DeleteFunc(f.latestStart, func(id string, _ time.Time) bool { return f.list[id] == nil })
	}
	f.latestStart[u.ID] = u.Started
}

// remove drops an upstream, unless it is unconfirmed or becomes so by an outage of the store.
func (f *upstreamFeed) remove(id string) {
	if f.list[id] == nil {
		return
	}
	if f.unconfirmed[id] != nil {
		return
	}
	if f.age() > outageThreshold {
		f.markUnconfirmed(id)
		f.log.Info("upstream entry lapsed; upstream kept for now", "upstream", id)
		return
	}
	f.drop(id)
}

// markUnconfirmed schedules an upstream to be dropped unless it writes again in time.
func (f *upstreamFeed) markUnconfirmed(id string) {
	if f.unconfirmed[id] == nil {
		f.unconfirmed[id] = &doubt{since: time.Now()}
	}
}

func (f *upstreamFeed) drop(id string) {
	unconfirmed := f.unconfirmed[id] != nil
	delete(f.list, id)
	delete(f.raw, id)
	delete(f.revisions, id)
	delete(f.unconfirmed, id)
	f.changed = true
	f.log.Info("upstream removed", "upstream", id, "unconfirmed", unconfirmed)
}

func (f *upstreamFeed) publish() {
	f.dropExpired()
	state := listState{digest: f.current().digest, unconfirmed: len(f.unconfirmed) > 0}
	if f.changed {
		f.changed = false
		state.digest = listDigest(f.list)
		f.state.SetUpstreams(maps.Clone(f.list))
	}
	f.published.Store(&state)
}

// dropExpired drops the unconfirmed upstreams whose time to write is over, once a read has shown
// that they haven't. The time begins anew after an outage of the store, in which they couldn't.
func (f *upstreamFeed) dropExpired() {
	now, recovered := time.Now(), f.recoveredAt()
	for id, d := range f.unconfirmed {
		if recovered.After(d.since) && d.extensions < maxExtensions {
			d.since = recovered
			d.extensions++
		}
		if until := d.since.Add(f.lapsedGrace); now.After(until) && f.hasReadSince(until) {
			f.drop(id)
		}
	}
}

func listDigest(list map[string]*fleet.Upstream) uint64 {
	h := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(list)) {
		u := list[id]
		_, _ = fmt.Fprintf(h, "%s %d %s %s %s %s %t\n", u.ID, u.Started.UnixMilli(), u.Pool, u.Address, u.Version, u.Role, u.Draining) // writing to a hash never fails
	}
	return h.Sum64()
}

// expireLapsed drops the upstreams whose grace has ended. It is called periodically, as no
// change may arrive that would do it.
func (f *upstreamFeed) expireLapsed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish()
}

// entries returns the entries read, for a peer that has read less of the store. Those of
// unconfirmed upstreams are apart: the peer must treat them as unconfirmed, too.
func (f *upstreamFeed) entries() (confirmed, unconfirmed map[string][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	confirmed, unconfirmed = maps.Clone(f.raw), make(map[string][]byte, len(f.unconfirmed))
	for id := range f.unconfirmed {
		unconfirmed[id] = f.raw[id]
		delete(confirmed, id)
	}
	return confirmed, unconfirmed
}
