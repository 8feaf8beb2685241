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
	// lapsedGrace is how long an upstream whose entry lapsed in an outage stays listed.
	lapsedGrace time.Duration
	age         func() time.Duration

	// latestStart is the latest start seen of each ID, rejected the hash of each invalid entry,
	// by key.
	latestStart map[string]time.Time
	rejected    map[string]uint64
	// rejectedCount counts the invalid entries, each once.
	rejectedCount atomic.Int64

	// digest identifies the content of the list, to compare it with a peer's.
	digest atomic.Uint64

	mu   sync.Mutex
	raw  map[string][]byte
	list map[string]*fleet.Upstream
	// revisions are those of the newest entries.
	revisions map[string]uint64
	// lapsed holds the upstreams whose entries were removed during an outage of the store, or
	// are missing in its restored copy, and when they are dropped.
	lapsed map[string]time.Time
}

func newUpstreamFeed(decoder Decoder, state *fleet.State, lapsedGrace time.Duration, log *slog.Logger) *upstreamFeed {
	return &upstreamFeed{
		decoder: decoder, state: state, log: log, lapsedGrace: lapsedGrace,
		raw: make(map[string][]byte), list: make(map[string]*fleet.Upstream), lapsed: make(map[string]time.Time),
		revisions:   make(map[string]uint64),
		latestStart: make(map[string]time.Time), rejected: make(map[string]uint64),
	}
}

// reset processes the newest entries of all upstreams.
func (f *upstreamFeed) reset(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	changed := false
	for _, e := range entries {
		listed[e.Key] = e.Value != nil
		changed = f.put(e) || changed
	}
	for id := range f.list {
		if !listed[id] {
			changed = f.remove(id) || changed
		}
	}
	f.publish(changed)
}

// apply processes changes in order.
func (f *upstreamFeed) apply(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, e := range entries {
		changed = f.put(e) || changed
	}
	f.publish(changed)
}

func (f *upstreamFeed) put(e Entry) bool {
	if e.Value == nil {
		return f.remove(e.Key)
	}
	u, err := f.decoder.Upstream(e)
	if err != nil {
		return f.reject(e, err)
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
	f.raw[e.Key] = e.Value
	delete(f.lapsed, e.Key)
	f.revisions[e.Key] = u.Revision
	old := f.list[e.Key]
	if old != nil && old.EqualExceptRevision(u) {
		return false
	}
	f.list[e.Key] = u
	f.log.Info("upstream", "upstream", u.ID, "started", u.Started, "pool", u.Pool, "address", u.Address, "data_centre", u.DataCentre,
		"role", u.Role, "slots", u.Slots, "leaving", u.Draining, "new", old == nil)
	return true
}

// isOutdated reports whether an entry was written before the known one of the same start.
func (f *upstreamFeed) isOutdated(u *fleet.Upstream) bool {
	known := f.list[u.ID]
	return known != nil && !u.Started.IsZero() && u.Started.Equal(known.Started) && u.Revision < f.revisions[u.ID]
}

// resetRestored processes the newest entries of a store restored from an older copy. The known
// list is newer: it stays until the servers write again, each about once a second. An upstream
// that the copy lacks counts as lapsed; one that only the copy has isn't used before it writes,
// as it may be gone.
func (f *upstreamFeed) resetRestored(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	changed := false
	for _, e := range entries {
		listed[e.Key] = e.Value != nil
		if f.list[e.Key] == nil {
			f.log.Info("upstream known only to the restored copy ignored until it writes", "upstream", e.Key)
			continue
		}
		changed = f.put(e) || changed
	}
	for id := range f.list {
		if !listed[id] {
			f.markLapsed(id)
		}
	}
	f.publish(changed)
}

// reject handles an invalid entry: whoever wrote it, it names no server, and the server of the
// former entry may be gone. Each is counted and logged once.
func (f *upstreamFeed) reject(e Entry, err error) bool {
	content := xxhash.Sum64(e.Value)
	if seen, known := f.rejected[e.Key]; !known || seen != content {
		f.rejected[e.Key] = content
		f.rejectedCount.Add(1)
		f.log.Warn("invalid upstream entry ignored", "upstream", e.Key, "bytes", len(e.Value), "err", err)
	}
	if f.list[e.Key] == nil {
		return false
	}
	f.drop(e.Key)
	return true
}

// rejectedEntries returns the number of invalid entries.
func (f *upstreamFeed) rejectedEntries() int64 { return f.rejectedCount.Load() }

// maxRememberedStarts limits the starts remembered of servers that are gone.
const maxRememberedStarts = 10_000

func (f *upstreamFeed) recordStart(u *fleet.Upstream) {
	if u.Started.IsZero() {
		return
	}
	if len(f.latestStart) >= maxRememberedStarts {
		maps.DeleteFunc(f.latestStart, func(id string, _ time.Time) bool { return f.list[id] == nil })
	}
	f.latestStart[u.ID] = u.Started
}

// remove drops an upstream, or marks it as lapsed after an outage of the store.
func (f *upstreamFeed) remove(id string) bool {
	if f.list[id] == nil {
		return false
	}
	if f.age() > outageThreshold {
		f.markLapsed(id)
		return false
	}
	if _, lapsed := f.lapsed[id]; lapsed {
		return false
	}
	f.drop(id)
	return true
}

// hasLapsed reports whether any upstream is lapsed.
func (f *upstreamFeed) hasLapsed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.lapsed) > 0
}

// markLapsed schedules an upstream to be dropped unless it writes again in time.
func (f *upstreamFeed) markLapsed(id string) {
	if _, already := f.lapsed[id]; already {
		return
	}
	f.lapsed[id] = time.Now().Add(f.lapsedGrace)
	f.log.Info("upstream entry lapsed; upstream kept for now", "upstream", id)
}

func (f *upstreamFeed) drop(id string) {
	delete(f.list, id)
	delete(f.raw, id)
	delete(f.revisions, id)
	delete(f.lapsed, id)
	f.log.Info("upstream removed", "upstream", id)
}

func (f *upstreamFeed) publish(changed bool) {
	now := time.Now()
	for id, until := range f.lapsed {
		if now.After(until) {
			f.drop(id)
			changed = true
		}
	}
	if changed {
		f.digest.Store(listDigest(f.list))
		f.state.SetUpstreams(maps.Clone(f.list))
	}
}

func listDigest(list map[string]*fleet.Upstream) uint64 {
	h := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(list)) {
		u := list[id]
		_, _ = fmt.Fprintf(h, "%s %d %s %s %s %t\n", u.ID, u.Started.UnixMilli(), u.Pool, u.Address, u.Role, u.Draining) // writing to a hash never fails
	}
	return h.Sum64()
}

// expireLapsed drops the upstreams whose grace has ended. It is called periodically, as no
// change may arrive that would do it.
func (f *upstreamFeed) expireLapsed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(false)
}

// entries returns the entries read, for a peer whose list is older. Lapsed ones are left
// out: the peer would neither treat them as lapsed nor receive their removal, which lies before
// the position from which it continues.
func (f *upstreamFeed) entries() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := maps.Clone(f.raw)
	for id := range f.lapsed {
		delete(entries, id)
	}
	return entries
}
