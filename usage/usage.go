// Package usage counts the requests of each organisation in windows of time, and decides what is
// reported of each window and when. It does no I/O. Counts are kept by daemon and incarnation, so
// that none is added twice; the first entry for a window in the journal is its only report.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Window is the number of a window: window k begins k times its length after the Unix epoch.
type Window int64

// WindowAt returns the window that contains a time.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// End returns when a window ends.
func (w Window) End(length time.Duration) time.Time { return time.Unix(0, int64(w+1)*int64(length)) }

// Count holds the requests that began at one incarnation of a daemon in one window.
type Count struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack    struct{} `msgpack:",as_array"`
	Daemon      string
	Incarnation uint64
	Window      Window
	// Requests are the numbers of requests by organisation. They only grow.
	Requests map[string]uint32
}

// Total returns the number of requests of all organisations. Of two counts of the same
// incarnation and window, the one with the higher total is newer.
func (c *Count) Total() uint64 {
	var sum uint64
	for _, n := range c.Requests {
		sum += uint64(n)
	}
	return sum
}

type countKey struct {
	daemon      string
	incarnation uint64
	window      Window
}

func (c *Count) key() countKey { return countKey{c.Daemon, c.Incarnation, c.Window} }

// Table holds the counts known to a daemon: its own and those that others reported to it. It is
// safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	counts map[countKey]*entry
	// version counts the changes.
	version uint64
}

type entry struct {
	requests map[string]uint32
	total    uint64
	// delivered is the total that the current recipient has confirmed.
	delivered uint64
	// changed is the table's version of the last change.
	changed uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{counts: make(map[countKey]*entry)} }

// Add counts one request of an organisation at a daemon.
func (t *Table) Add(daemon string, incarnation uint64, w Window, organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := countKey{daemon, incarnation, w}
	e := t.counts[key]
	if e == nil {
		e = &entry{requests: make(map[string]uint32)}
		t.counts[key] = e
	}
	e.requests[organisation]++
	e.total++
	t.version++
	e.changed = t.version
}

// Merge takes over the counts that are newer than the ones known.
func (t *Table) Merge(counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range counts {
		c := &counts[i]
		total := c.Total()
		known := t.counts[c.key()]
		if known != nil && known.total >= total {
			continue
		}
		if known == nil {
			known = &entry{}
			t.counts[c.key()] = known
		}
		known.requests, known.total = c.Requests, total
		t.version++
		known.changed = t.version
	}
}

// Undelivered returns the counts that the recipient hasn't confirmed in their present state.
func (t *Table) Undelivered() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list(func(e *entry) bool { return e.total > e.delivered })
}

// Since returns the counts that have changed since a version, and the current version.
func (t *Table) Since(version uint64) ([]Count, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list(func(e *entry) bool { return e.changed > version }), t.version
}

// list returns copies of the counts that wanted accepts. t.mu is held.
func (t *Table) list(wanted func(*entry) bool) []Count {
	var counts []Count
	for key, e := range t.counts {
		if wanted(e) {
			counts = append(counts, Count{Daemon: key.daemon, Incarnation: key.incarnation, Window: key.window, Requests: maps.Clone(e.requests)})
		}
	}
	return counts
}

// Delivered records that the recipient has confirmed counts.
func (t *Table) Delivered(counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range counts {
		if e := t.counts[counts[i].key()]; e != nil {
			e.delivered = max(e.delivered, counts[i].Total())
		}
	}
}

// NewRecipient forgets what the former recipient has confirmed.
func (t *Table) NewRecipient() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.counts {
		e.delivered = 0
	}
}

// Windows returns the windows of which there are counts, in order.
func (t *Table) Windows() []Window {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := make(map[Window]bool)
	for key := range t.counts {
		found[key.window] = true
	}
	return slices.SortedFunc(maps.Keys(found), cmp.Compare)
}

// Sum returns the requests of all daemons in a window, by organisation.
func (t *Table) Sum(w Window) map[string]uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := make(map[string]uint32)
	for key, e := range t.counts {
		if key.window != w {
			continue
		}
		for organisation, n := range e.requests {
			sum[organisation] += n
		}
	}
	return sum
}

// Forget removes the counts of the windows before one.
func (t *Table) Forget(before Window) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.counts, func(key countKey, _ *entry) bool { return key.window < before })
}
