package upstreamlimit

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// handoverDelay is how long a process waits before it uses a share that is new or has grown: who
	// had it before may not know yet that it has lost it.
	handoverDelay = 1500 * time.Millisecond
	// staleAfter is the time since a limit was last named from which its holders are taken to send
	// nothing: they have no requests, or are gone. Then any process may ask whether it is over.
	staleAfter = 3 * time.Second
	// probeSpread is the least range of the random delay before a process asks. With many members it
	// is probeSpreadPerMember for each, so that few ask before the first response tells all.
	probeSpread          = 4 * time.Second
	probeSpreadPerMember = 80 * time.Millisecond
	// unsharedProbeSpread replaces both, for each member, where processes don't tell each other.
	unsharedProbeSpread = 8 * time.Second
)

// Limiter grants the requests of one process to upstreams that have named a limit. It is safe for
// concurrent use.
type Limiter struct {
	book *Book
	now  func() time.Time
	// self names this process; shared says that processes pass on what is in their books.
	self   string
	shared bool
	// draw returns a random duration below a bound.
	draw func(time.Duration) time.Duration

	mu sync.Mutex
	// members are the processes that may be holders, generation counts their changes.
	members    []string
	generation int
	upstreams  map[Upstream]*bucket
}

const (
	// callsOfOrder is the number of requests of an order: to read the state, and to change it.
	callsOfOrder = 2
	// orderShare is the part of a limit that a process without a share may use for orders. The process
	// that gives them is one at a time.
	orderShare = 0.1
)

// bucket holds the requests that may be sent to an upstream now.
type bucket struct {
	share    share
	tokens   float64
	filledAt time.Time
	// perSecond and generation are the limit and the generation of the members that share is for.
	perSecond  float64
	generation int
	// grown replaces share at grownAt; it is zero if share isn't about to grow.
	grown   share
	grownAt time.Time
	// orders are the requests of orders that may be sent. orderedAt is when the current order was
	// admitted, prepaid whether its second request is already counted.
	orders    float64
	orderedAt time.Time
	prepaid   bool
	// namedAt is when the limit was last named, probeAt when a process without a share may send a
	// request.
	namedAt, probeAt time.Time
}

// NewLimiter returns a limiter for the limits in a book. shared says that the processes pass on what
// is in their books. Until SetMembers names the process itself, it has no shares.
func NewLimiter(book *Book, self string, shared bool) *Limiter {
	return &Limiter{book: book, now: book.now, self: self, shared: shared, draw: rand.N[time.Duration], upstreams: make(map[Upstream]*bucket)}
}

// SetMembers sets the names of the processes among which limits are divided, in any order.
func (l *Limiter) SetMembers(members []string) {
	slices.Sort(members)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(members, l.members) {
		l.members = members
		l.generation++
	}
}

// Wait returns how long no request may be sent to an upstream, as far as is known now: 0 if one may
// be sent.
func (l *Limiter) Wait(u Upstream) time.Duration {
	limit, limited := l.book.limit(u)
	if !limited {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	return l.fill(u, limit, now).wait(now)
}

// Holds reports whether this process has a share of an upstream's limit.
func (l *Limiter) Holds(u Upstream) bool {
	limit, limited := l.book.limit(u)
	if !limited {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.fill(u, limit, l.now())
	return b.share.perSecond > 0 || b.grown.perSecond > 0
}

// Holders returns the names of the processes that have a share of an upstream's limit.
func (l *Limiter) Holders(u Upstream) []string {
	limit, limited := l.book.limit(u)
	if !limited {
		return nil
	}
	l.mu.Lock()
	members := l.members
	l.mu.Unlock()
	var holders []string
	for _, m := range members {
		if shareOf(limit.perSecond, u, m, members).perSecond > 0 {
			holders = append(holders, m)
		}
	}
	return holders
}

// Take reports whether a request may be sent to an upstream now, and counts it if so.
func (l *Limiter) Take(u Upstream) bool {
	limit, limited := l.book.limit(u)
	if !limited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	return l.take(l.fill(u, limit, now), now)
}

// take is Take for a limited upstream's bucket. l.mu is held.
func (l *Limiter) take(b *bucket, now time.Time) bool {
	if b.wait(now) > 0 {
		return false
	}
	if b.share.perSecond == 0 {
		b.probeAt = now.Add(l.probeDelay())
	} else {
		b.tokens--
	}
	return true
}

// TakeOrder reports whether the first request of an order may be sent to an upstream now, and counts the
// order's requests if so. Orders come before other requests: without one, an upstream may have no use at
// all. One that hardly allows requests has none either way, but if no others reach it, only an order can
// find that this is over: there its first request is one like any other.
func (l *Limiter) TakeOrder(u Upstream) bool {
	limit, limited := l.book.limit(u)
	if !limited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b := l.fill(u, limit, now)
	if limit.perSecond < minPerSecond {
		b.prepaid = l.take(b, now)
		if b.prepaid && b.share.perSecond > 0 {
			b.tokens--
		}
	} else {
		b.prepaid = l.takeForOrder(b, callsOfOrder)
	}
	b.orderedAt = now
	return b.prepaid
}

// TakeOrdered reports whether the second request of an order may be sent. The response to the first one
// may have named a limit, or named again one that hardly allows requests.
func (l *Limiter) TakeOrdered(u Upstream) bool {
	limit, limited := l.book.limit(u)
	if !limited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.fill(u, limit, l.now())
	prepaid, unusable := b.prepaid, limit.perSecond < minPerSecond
	b.prepaid = false
	switch {
	case unusable && !limit.namedAt.Before(b.orderedAt):
		return false
	case prepaid:
		return true
	default:
		return !unusable && l.takeForOrder(b, 1)
	}
}

// takeForOrder counts requests of an order if there is room for them. l.mu is held.
func (l *Limiter) takeForOrder(b *bucket, requests float64) bool {
	if b.orders < requests || !slices.Contains(l.members, l.self) {
		return false
	}
	b.orders -= requests
	if b.share.perSecond > 0 {
		b.tokens -= requests // other requests wait for as long
	}
	return true
}

// fill returns the bucket of an upstream, brought up to date. l.mu is held.
func (l *Limiter) fill(u Upstream, limit limit, now time.Time) *bucket {
	b := l.upstreams[u]
	if b == nil {
		b = &bucket{filledAt: now, generation: -1, orders: callsOfOrder}
		l.upstreams[u] = b
	}
	b.tokens = min(b.share.burst, b.tokens+b.share.perSecond*now.Sub(b.filledAt).Seconds())
	b.orders = min(callsOfOrder, b.orders+orderShare*max(limit.perSecond, minPerSecond)*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	b.growIfDue(now)
	if b.perSecond != limit.perSecond || b.generation != l.generation {
		b.perSecond, b.generation = limit.perSecond, l.generation
		b.setShare(shareOf(limit.perSecond, u, l.self, l.members), now)
	}
	if !b.namedAt.Equal(limit.namedAt) {
		b.namedAt = limit.namedAt
		b.probeAt = limit.namedAt.Add(l.probeDelay())
	}
	return b
}

// probeDelay draws the time until this process may send a request without a share. l.mu is held.
func (l *Limiter) probeDelay() time.Duration {
	members := time.Duration(len(l.members))
	if l.shared {
		return staleAfter + l.draw(max(probeSpread, members*probeSpreadPerMember))
	}
	spread := max(1, members) * unsharedProbeSpread
	return staleAfter + spread + l.draw(spread)
}

// setShare makes a smaller share hold at once, and a larger one after handoverDelay.
func (b *bucket) setShare(s share, now time.Time) {
	switch {
	case s.perSecond <= b.share.perSecond:
		b.share, b.grown = s, share{}
		b.tokens = min(b.tokens, s.burst)
	default:
		b.grown, b.grownAt = s, now.Add(handoverDelay)
	}
}

func (b *bucket) growIfDue(now time.Time) {
	if b.grown.perSecond == 0 || now.Before(b.grownAt) {
		return
	}
	if b.share.perSecond == 0 {
		b.tokens = 1 // the first response soon tells whether the limit still holds
	}
	b.share, b.grown = b.grown, share{}
}

// wait returns how long no request may be sent. The bucket must be up to date.
func (b *bucket) wait(now time.Time) time.Duration {
	switch {
	case b.share.perSecond > 0:
		return time.Duration(max(0, 1-b.tokens) / b.share.perSecond * float64(time.Second))
	case b.grown.perSecond > 0:
		return max(0, b.grownAt.Sub(now))
	default:
		return max(0, b.probeAt.Sub(now))
	}
}

// Retain drops what is kept for upstreams without a limit.
func (l *Limiter) Retain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for u := range l.upstreams {
		if _, limited := l.book.Limit(u); !limited {
			delete(l.upstreams, u)
		}
	}
}
