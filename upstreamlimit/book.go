package upstreamlimit

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Upstream identifies an incarnation of an upstream. What an earlier one has named doesn't bind it.
type Upstream struct {
	ID string
	// Started is its start in Unix milliseconds; 0 if unknown.
	Started int64
}

// Statement is what a response says of its upstream's limit.
type Statement struct {
	// Limited says that the response names a limit, PerSecond the requests a second.
	Limited   bool
	PerSecond float64
	// SentAt is when the request was sent; zero if that isn't known. The response was made after
	// it and before ReceivedAt.
	SentAt, ReceivedAt time.Time
}

// retention is how long the end of a limit is remembered, and a limit of an upstream that isn't
// listed. It is longer than a process may take to hear of it.
const retention = time.Minute

// record holds the latest statements of an upstream.
type record struct {
	perSecond float64
	// namedSentAt and namedAt are the times of the latest response that names a limit.
	namedSentAt, namedAt time.Time
	// deniedAt is when the latest request was sent whose response names no limit.
	deniedAt time.Time
	// listedAt is when the upstream was last known to be listed.
	listedAt time.Time
}

// inForce reports whether a limit holds: it ends with a response without one, to a request that was
// sent after the limit had been named. Others may have been made before.
func (r *record) inForce() bool { return !r.namedAt.IsZero() && !r.deniedAt.After(r.namedAt) }

// Book holds the limits that upstreams have named. It is safe for concurrent use.
type Book struct {
	now func() time.Time
	// size is the number of records: without any, requests cost no lock.
	size atomic.Int64

	mu      sync.Mutex
	records map[Upstream]*record
}

// NewBook returns an empty book. now is the clock; nil means time.Now.
func NewBook(now func() time.Time) *Book {
	if now == nil {
		now = time.Now
	}
	return &Book{now: now, records: make(map[Upstream]*record)}
}

// Observe records a statement, and reports whether other processes should hear of it at once: the
// limit in force has changed, or was confirmed after a while.
func (b *Book) Observe(u Upstream, s Statement) (news bool) {
	if !s.Limited && b.size.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Limited {
		return b.change(u, func(r *record) { r.name(s.PerSecond, s.SentAt, s.ReceivedAt) })
	}
	if b.records[u] == nil || s.SentAt.IsZero() {
		return false
	}
	return b.change(u, func(r *record) { r.deny(s.SentAt) })
}

// name records a response that names a limit. One to a request sent before the limit ended, as far
// as is known, may have been made before that. Of two responses that may have been made in either
// order, the lower limit counts.
func (r *record) name(perSecond float64, sentAt, receivedAt time.Time) {
	overlaps := !sentAt.After(r.namedAt)
	switch {
	case !r.deniedAt.IsZero() && !sentAt.After(r.deniedAt):
	case !r.inForce(), !overlaps:
		r.perSecond, r.namedSentAt, r.namedAt = perSecond, sentAt, receivedAt
	default:
		r.perSecond = min(r.perSecond, perSecond)
		if receivedAt.After(r.namedAt) {
			r.namedSentAt, r.namedAt = sentAt, receivedAt
		}
	}
}

func (r *record) deny(sentAt time.Time) {
	if sentAt.After(r.deniedAt) {
		r.deniedAt = sentAt
	}
}

// confirmAfter is the age of a statement from which its confirmation is news.
const confirmAfter = staleAfter / 2

// change applies f to the record of an upstream, and reports whether that was news. b.mu is held.
func (b *Book) change(u Upstream, f func(*record)) bool {
	r := b.records[u]
	if r == nil {
		r = &record{listedAt: b.now()}
		b.records[u] = r
		b.size.Store(int64(len(b.records)))
	}
	before := *r
	f(r)
	if !r.inForce() || !before.inForce() {
		return r.inForce() != before.inForce()
	}
	return r.perSecond != before.perSecond || r.namedAt.Sub(before.namedAt) >= confirmAfter
}

// Limit returns the limit in force of an upstream, in requests a second.
func (b *Book) Limit(u Upstream) (perSecond float64, limited bool) {
	l, limited := b.limit(u)
	return l.perSecond, limited
}

// limit is a limit in force and when it was last named.
type limit struct {
	perSecond float64
	namedAt   time.Time
}

func (b *Book) limit(u Upstream) (l limit, limited bool) {
	if b.size.Load() == 0 {
		return limit{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[u]
	if r == nil || !r.inForce() {
		return limit{}, false
	}
	return limit{r.perSecond, r.namedAt}, true
}

// Report is a record as it is sent to another process. Times are given as ages, as the processes'
// clocks differ.
type Report struct {
	Upstream  Upstream
	PerSecond float64
	// NamedSentAge and NamedAge are the ages of the latest response that names a limit, of its request
	// and its arrival.
	NamedSentAge, NamedAge time.Duration
	// Denied says that a response named none, DeniedAge how long ago its request was sent.
	Denied    bool
	DeniedAge time.Duration
}

// Older returns the report as it is after some more time.
func (r Report) Older(by time.Duration) Report {
	r.NamedSentAge += by
	r.NamedAge += by
	r.DeniedAge += by
	return r
}

// Reports returns all records, ordered by upstream.
func (b *Book) Reports() []Report {
	if b.size.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	all := make([]Report, 0, len(b.records))
	for u, r := range b.records {
		if r.namedAt.IsZero() {
			continue
		}
		report := Report{Upstream: u, PerSecond: r.perSecond, NamedSentAge: now.Sub(r.namedSentAt), NamedAge: now.Sub(r.namedAt)}
		if !r.deniedAt.IsZero() {
			report.Denied, report.DeniedAge = true, now.Sub(r.deniedAt)
		}
		all = append(all, report)
	}
	slices.SortFunc(all, func(a, b Report) int {
		if a.Upstream.ID != b.Upstream.ID {
			return compare(a.Upstream.ID, b.Upstream.ID)
		}
		return compare(a.Upstream.Started, b.Upstream.Started)
	})
	return all
}

// maxTransit is an upper estimate of the time that a report takes. An end is taken to be older by
// that, or it could seem to follow a limit that was named just after it.
const maxTransit = 100 * time.Millisecond

// Merge records another process's report, and returns whether it was news, as Observe does.
func (b *Book) Merge(report Report) (news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	return b.change(report.Upstream, func(r *record) {
		if report.Denied {
			r.deny(now.Add(-report.DeniedAge - maxTransit))
		}
		r.name(report.PerSecond, now.Add(-report.NamedSentAge), now.Add(-report.NamedAge))
	})
}

// Retain drops the records of upstreams that haven't been listed for some time, and of limits that
// ended long ago.
func (b *Book) Retain(listed func(Upstream) bool) {
	if b.size.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for u, r := range b.records {
		if listed(u) {
			r.listedAt = now
		}
		ended := !r.inForce() && now.Sub(r.deniedAt) > retention
		if ended || now.Sub(r.listedAt) > retention {
			delete(b.records, u)
		}
	}
	b.size.Store(int64(len(b.records)))
}
