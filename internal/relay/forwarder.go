package relay

import (
	"slices"
	"sync"
	"time"

	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/exchange"
)

// ForwardPeer is a daemon to which requests can be forwarded.
type ForwardPeer struct {
	// Instance is its name, Address where it listens for forwarded requests.
	Instance, Address string
	// Holder is its name among those that hold shares of limits.
	Holder string
	// ConfigVersion is the version of its configuration as last heard, 0 if it isn't known.
	ConfigVersion uint64
}

// forwarder keeps the connections to other daemons and what is known of their answers.
type forwarder struct {
	mu    sync.Mutex
	conns map[string]*exchange.Pool
	avoid map[string]avoidance
	// heard is when each daemon last answered.
	heard map[string]time.Time
	// asked are the daemons that were asked whether they live.
	asked  map[string]lifeCheck
	active int
	bodies *bodylimit.Limit
}

// avoidance is until when a daemon gets no requests: because it has refused one, or because it wasn't
// reached, which its next answer disproves.
type avoidance struct{ refused, unreached time.Time }

func (a avoidance) holds(now time.Time) bool { return now.Before(a.refused) || now.Before(a.unreached) }

func newForwarder(bodies *bodylimit.Limit) *forwarder {
	return &forwarder{
		bodies: bodies, conns: make(map[string]*exchange.Pool), avoid: make(map[string]avoidance), heard: make(map[string]time.Time), asked: make(map[string]lifeCheck),
	}
}

// begin counts a request that is about to be forwarded, and reports whether it may be.
func (f *forwarder) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active >= maxForwarding {
		return false
	}
	f.active++
	return true
}

func (f *forwarder) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active--
}

// usable returns the peers that suit a request and aren't avoided now, in the same order.
func (f *forwarder) usable(peers []ForwardPeer, suits func(ForwardPeer) bool, now time.Time) []ForwardPeer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(peers, func(p ForwardPeer) bool { return !suits(p) || f.avoid[p.Address].holds(now) })
}

// refused keeps requests away from a daemon that has refused one.
func (f *forwarder) refused(p ForwardPeer, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.avoid[p.Address]
	a.refused = time.Now().Add(d)
	f.avoid[p.Address] = a
}

// unreached keeps requests away from a daemon that a request sent at a time hasn't reached, unless it has
// answered another one since: a single connection says less than that, and it may be the only daemon with a
// path.
func (f *forwarder) unreached(p ForwardPeer, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heard[p.Address].After(sentAt) {
		return
	}
	a := f.avoid[p.Address]
	a.unreached = time.Now().Add(avoidUnreachable)
	f.avoid[p.Address] = a
}

// answered records that a daemon has answered a request.
func (f *forwarder) answered(p ForwardPeer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[p.Address] = time.Now()
	f.avoid[p.Address] = avoidance{refused: f.avoid[p.Address].refused}
}

// connsTo returns the connections to a peer.
func (f *forwarder) connsTo(p ForwardPeer) *exchange.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.conns[p.Address]
	if pool == nil {
		pool = exchange.NewPool(p.Address, exchange.Options{DialTimeout: forwardDialTimeout, Bodies: f.bodies})
		f.conns[p.Address] = pool
	}
	return pool
}

// closeUnknown closes the connections to daemons that are no longer known.
func (f *forwarder) closeUnknown(peers func(pool string) []ForwardPeer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns) == 0 {
		return
	}
	known := make(map[string]bool)
	for _, p := range peers("") {
		known[p.Address] = true
	}
	for address, pool := range f.conns {
		if !known[address] {
			pool.Close()
			delete(f.conns, address)
			delete(f.avoid, address)
			delete(f.heard, address)
			delete(f.asked, address)
		}
	}
}
