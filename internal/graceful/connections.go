package graceful

import (
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// lingerTimeout is how long after a response to wait for its caller to close a connection
	// whose sending side the server has closed.
	lingerTimeout = 250 * time.Millisecond
	// acceptTimeout is how long to wait for a call of Accept to return when its listener stops.
	acceptTimeout = 500 * time.Millisecond
	// handshakeTime is the time for handshakes in progress to be completed when a listener stops: a
	// round trip to callers far away.
	handshakeTime = 50 * time.Millisecond
	// firstRequestTimeout is how long after the listeners' close a connection without a request
	// counts as active. Callers abandon an attempt that isn't read within a second.
	firstRequestTimeout = time.Second
	// unusedTimeout is how long a connection may wait for its first request.
	unusedTimeout = 90 * time.Second
	pollInterval  = 2 * time.Millisecond

	// AcceptReserve is how long before the end of a server its listeners must be closed, so that
	// each accepted connection has time for its first request and the response.
	AcceptReserve = acceptTimeout + firstRequestTimeout
)

// Connections tracks the connections of a server. It is safe for concurrent use.
type Connections struct {
	log *slog.Logger
	// tls means that bytes read needn't belong to a request, but may be of a handshake.
	tls bool
	// listenersClosed is when the listeners were closed.
	listenersClosed atomic.Pointer[time.Time]
	// waitLimit is how long after that requests delay the stop; 0 means no limit.
	waitLimit time.Duration

	mu        sync.Mutex
	open      map[*conn]struct{}
	listeners []*listener
	limits    Limits
	// ending counts the open connections that are being closed.
	ending int
	// evictAfter is when connections to close for others are sought again.
	evictAfter time.Time
	// refused counts the connections that were refused since refusalLogged.
	refused       int
	refusalLogged time.Time
}

// New returns the tracker for a server.
func New(log *slog.Logger) *Connections {
	return &Connections{log: log, open: make(map[*conn]struct{})}
}

// NewTLS returns the tracker for a server that uses TLS on the listener from Listen.
func NewTLS(log *slog.Logger) *Connections {
	c := New(log)
	c.tls = true
	return c
}

// LimitWait limits how long after the listeners' close requests in progress count as active. It
// suits addresses whose requests are short, so that one that never ends doesn't delay the stop of
// the process. Call it before Listen.
func (c *Connections) LimitWait(d time.Duration) { c.waitLimit = d }

// delaysStop reports whether requests in progress count as active.
func (c *Connections) delaysStop() bool {
	if c.waitLimit == 0 {
		return true
	}
	closed := c.listenersClosed.Load()
	return closed != nil && time.Since(*closed) < c.waitLimit
}

// Listen returns a listener whose connections are tracked.
func (c *Connections) Listen(l net.Listener) net.Listener {
	tracked := newListener(l, c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, tracked)
	return tracked
}

// ConnState must be set as the ConnState hook of the server.
func (c *Connections) ConnState(nc net.Conn, s http.ConnState) {
	if tracked, ok := innermost(nc).(*conn); ok {
		tracked.setState(s)
	}
}

// innermost returns the connection below others, for example below one of TLS.
func innermost(nc net.Conn) net.Conn {
	for {
		outer, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nc
		}
		nc = outer.NetConn()
	}
}

// Active returns the number of connections with a request in progress, which includes
// requests that have arrived only in part.
func (c *Connections) Active() int {
	if !c.delaysStop() {
		return 0
	}
	n := 0
	for _, tracked := range c.all() {
		if tracked.active() {
			n++
		}
	}
	return n
}

// StopAccepting closes the listeners once the connections that callers have already opened are
// accepted. Those stay open until CloseIdle.
func (c *Connections) StopAccepting() {
	if c.closeListeners() {
		c.log.Info("listeners closed", "connections", len(c.all()), "active", c.Active())
	}
}

// CloseIdle stops accepting connections, closes those without a request in progress and
// returns the number of the others, which can still send their responses.
func (c *Connections) CloseIdle() int {
	c.closeListeners()
	active, closed := 0, 0
	for _, tracked := range c.all() {
		closing, began := tracked.closeIfIdle()
		if !closing {
			active++
		}
		if began {
			closed++
		}
	}
	if closed > 0 {
		c.log.Info("idle connections closed", "closed", closed, "active", active)
	}
	if !c.delaysStop() {
		return 0
	}
	return active
}

// Wait returns once no request is in progress and no response can be lost any more, at the latest
// after lingerTimeout.
func (c *Connections) Wait() { All{c}.Wait() }

func (c *Connections) mayLoseResponses() bool {
	now := time.Now()
	return slices.ContainsFunc(c.all(), func(tracked *conn) bool { return tracked.mayLoseResponse(now) })
}

func (c *Connections) all() []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*conn, 0, len(c.open))
	for tracked := range c.open {
		all = append(all, tracked)
	}
	return all
}

func (c *Connections) remove(tracked *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.open[tracked]; open && tracked.countedEnding {
		c.ending--
	}
	delete(c.open, tracked)
}

// closeListeners closes all listeners and reports whether there were any.
func (c *Connections) closeListeners() bool {
	c.mu.Lock()
	listeners := c.listeners
	c.listeners = nil
	c.mu.Unlock()
	var wg conc.WaitGroup
	for _, l := range listeners {
		wg.Go(l.stop)
	}
	wg.Wait()
	if len(listeners) > 0 {
		now := time.Now()
		c.listenersClosed.Store(&now)
	}
	return len(listeners) > 0
}

// All are the connections of all servers of a process, which stop together.
type All []*Connections

// Active returns the number of connections with a request in progress.
func (a All) Active() int {
	n := 0
	for _, c := range a {
		n += c.Active()
	}
	return n
}

// StopAccepting closes all listeners.
func (a All) StopAccepting() {
	var wg conc.WaitGroup
	for _, c := range a {
		wg.Go(c.StopAccepting)
	}
	wg.Wait()
}

// CloseIdle closes the connections without a request in progress and returns the number of the
// others.
func (a All) CloseIdle() int {
	n := 0
	for _, c := range a {
		n += c.CloseIdle()
	}
	return n
}

// Wait returns once no request is in progress and no response can be lost any more, at the latest
// after lingerTimeout.
func (a All) Wait() {
	deadline := time.Now().Add(lingerTimeout)
	for a.unfinished() && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

func (a All) unfinished() bool {
	return a.Active() > 0 || slices.ContainsFunc(a, (*Connections).mayLoseResponses)
}
