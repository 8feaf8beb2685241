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

// upstreamFeed keeps the list of upstreams.
type upstreamFeed struct {
	formats Decoder
	state   *fleet.State
	log     *slog.Logger
	// returnWithin is how long after an outage a lapsed entry may come back.
	returnWithin time.Duration
	age          func() time.Duration

	// newest are the latest starts seen of each ID, refusals the entries left out, by key.
	newest   map[string]time.Time
	refusals map[string]uint64
	// left counts the entries left out, each once.
	left atomic.Int64

	// digest tells whether two daemons have the same list.
	digest atomic.Uint64

	mu   sync.Mutex
	raw  map[string][]byte
	list map[string]*fleet.Upstream
	// revisions are those of the newest entries.
	revisions map[string]uint64
	// doubted are upstreams whose entries went while the store was away, with
	// the time at which they count as gone.
	doubted map[string]time.Time
}

func newUpstreamFeed(formats Decoder, state *fleet.State, returnWithin time.Duration, log *slog.Logger) *upstreamFeed {
	return &upstreamFeed{
		formats: formats, state: state, log: log, returnWithin: returnWithin,
		raw: make(map[string][]byte), list: make(map[string]*fleet.Upstream), doubted: make(map[string]time.Time),
		revisions: make(map[string]uint64),
		newest:    make(map[string]time.Time), refusals: make(map[string]uint64),
	}
}

// reset takes the newest entries of all upstreams.
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
	f.finish(changed)
}

// apply takes changes in their order.
func (f *upstreamFeed) apply(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, e := range entries {
		changed = f.put(e) || changed
	}
	f.finish(changed)
}

func (f *upstreamFeed) put(e Entry) bool {
	if e.Value == nil {
		return f.remove(e.Key)
	}
	u, err := f.formats.Upstream(e)
	if err != nil {
		return f.leaveOut(e, err)
	}
	delete(f.refusals, e.Key)
	if u.Started.Before(f.newest[u.ID]) {
		f.log.Info("entry of a former start left out", "upstream", u.ID, "started", u.Started, "newest", f.newest[u.ID])
		return false
	}
	if f.older(u) {
		f.log.Info("older entry left out", "upstream", u.ID, "revision", u.Revision, "newest", f.revisions[u.ID])
		return false
	}
	f.noteStart(u)
	f.raw[e.Key] = e.Value
	delete(f.doubted, e.Key)
	f.revisions[e.Key] = u.Revision
	old := f.list[e.Key]
	if old != nil && old.SaysSame(u) {
		return false
	}
	f.list[e.Key] = u
	f.log.Info("upstream", "upstream", u.ID, "started", u.Started, "pool", u.Pool, "address", u.Address, "data_centre", u.DataCentre,
		"role", u.Role, "slots", u.Slots, "leaving", u.Leaving, "new", old == nil)
	return true
}

// older reports whether an entry was written before the known one of the same start.
func (f *upstreamFeed) older(u *fleet.Upstream) bool {
	known := f.list[u.ID]
	return known != nil && !u.Started.IsZero() && u.Started.Equal(known.Started) && u.Revision < f.revisions[u.ID]
}

// resetCopy takes the newest entries of a store that has come back from an older copy. What
// is known is newer: it stays until servers write again, which each does about once a
// second. One that the copy lacks counts for as long as one whose entry lapsed in an outage,
// and one that only the copy has doesn't count before it writes: it may have gone.
func (f *upstreamFeed) resetCopy(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	changed := false
	for _, e := range entries {
		listed[e.Key] = e.Value != nil
		if f.list[e.Key] == nil {
			f.log.Info("upstream of an older copy waits for its entry", "upstream", e.Key)
			continue
		}
		changed = f.put(e) || changed
	}
	for id := range f.list {
		if !listed[id] {
			f.doubt(id)
		}
	}
	f.finish(changed)
}

// leaveOut takes an entry for none: whoever wrote it, it vouches for no server, and the
// one that it stands in place of may have gone. It is counted and logged once.
func (f *upstreamFeed) leaveOut(e Entry, err error) bool {
	content := xxhash.Sum64(e.Value)
	if seen, again := f.refusals[e.Key]; !again || seen != content {
		f.refusals[e.Key] = content
		f.left.Add(1)
		f.log.Warn("upstream's entry left out", "upstream", e.Key, "bytes", len(e.Value), "err", err)
	}
	if f.list[e.Key] == nil {
		return false
	}
	f.drop(e.Key)
	return true
}

// refused returns the number of entries left out.
func (f *upstreamFeed) refused() int64 { return f.left.Load() }

// maxStarts bounds the starts remembered of servers that are gone.
const maxStarts = 10_000

func (f *upstreamFeed) noteStart(u *fleet.Upstream) {
	if u.Started.IsZero() {
		return
	}
	if len(f.newest) >= maxStarts {
		maps.DeleteFunc(f.newest, func(id string, _ time.Time) bool { return f.list[id] == nil })
	}
	f.newest[u.ID] = u.Started
}

// remove takes an upstream out, or doubts it for a while if the store was away.
func (f *upstreamFeed) remove(id string) bool {
	if f.list[id] == nil {
		return false
	}
	if f.age() > outageAfter {
		f.doubt(id)
		return false
	}
	if _, doubted := f.doubted[id]; doubted {
		return false
	}
	f.drop(id)
	return true
}

// doubts reports whether any upstream is doubted.
func (f *upstreamFeed) doubts() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.doubted) > 0
}

// doubt lets an upstream count as gone unless it writes again soon.
func (f *upstreamFeed) doubt(id string) {
	if _, already := f.doubted[id]; already {
		return
	}
	f.doubted[id] = time.Now().Add(f.returnWithin)
	f.log.Info("upstream doubted", "upstream", id)
}

func (f *upstreamFeed) drop(id string) {
	delete(f.list, id)
	delete(f.raw, id)
	delete(f.revisions, id)
	delete(f.doubted, id)
	f.log.Info("upstream gone", "upstream", id)
}

func (f *upstreamFeed) finish(changed bool) {
	now := time.Now()
	for id, until := range f.doubted {
		if now.After(until) {
			f.drop(id)
			changed = true
		}
	}
	if changed {
		f.digest.Store(digestOf(f.list))
		f.state.SetUpstreams(maps.Clone(f.list))
	}
}

func digestOf(list map[string]*fleet.Upstream) uint64 {
	h := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(list)) {
		u := list[id]
		_, _ = fmt.Fprintf(h, "%s %d %s %s %s %t\n", u.ID, u.Started.UnixMilli(), u.Pool, u.Address, u.Role, u.Leaving) // a hash never fails
	}
	return h.Sum64()
}

// expire drops the upstreams whose doubt has lasted long enough. It is called
// from time to time: no change may come that would.
func (f *upstreamFeed) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finish(false)
}

// entries returns what was read, for a peer that can't reach the store. Doubted
// entries are left out: the peer could not doubt them in turn, and never hears of
// their removal, which lies before the position that it goes on reading from.
func (f *upstreamFeed) entries() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := maps.Clone(f.raw)
	for id := range f.doubted {
		delete(entries, id)
	}
	return entries
}
