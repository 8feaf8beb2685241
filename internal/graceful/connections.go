package graceful

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// lingerTimeout bounds the wait for a caller to close a connection that the server
	// has closed for sending.
	lingerTimeout = 250 * time.Millisecond
	// acceptTimeout bounds the wait for the connections that callers have opened before
	// a stop to be accepted.
	acceptTimeout = 150 * time.Millisecond
	// firstRequestTimeout is how long the request of a new connection may be on its way.
	firstRequestTimeout = 150 * time.Millisecond
	pollInterval        = 2 * time.Millisecond
)

// Connections are those of a server. The methods may be called from any goroutine.
type Connections struct {
	log *slog.Logger
	// opaque says that bytes read may belong to no request, as those of a handshake.
	tls bool

	mu        sync.Mutex
	open      map[*conn]struct{}
	listeners []*listener
}

// New returns the connections of a server.
func New(log *slog.Logger) *Connections {
	return &Connections{log: log, open: make(map[*conn]struct{})}
}

// NewTLS returns those of a server that speaks TLS on what Listen returns.
func NewTLS(log *slog.Logger) *Connections {
	c := New(log)
	c.tls = true
	return c
}

// Listen returns a listener whose connections are followed.
func (c *Connections) Listen(l net.Listener) net.Listener {
	followed := &listener{Listener: l, owner: c, stopping: make(chan struct{}), closed: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, followed)
	return followed
}

// Note is the server's ConnState hook.
func (c *Connections) ConnState(of net.Conn, s http.ConnState) {
	for {
		outer, ok := of.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		of = outer.NetConn() // as a TLS connection's
	}
	if one, ok := of.(*conn); ok {
		one.setState(s)
	}
}

// Active returns the number of connections with a request in progress: one that is read
// or answered, or that has arrived at least in part.
func (c *Connections) Active() int {
	n := 0
	for _, one := range c.all() {
		if one.active() {
			n++
		}
	}
	return n
}

// CloseIdle takes no new connections any more, ends those without a request in progress and
// returns the number of the others. Their answers may still be sent.
func (c *Connections) CloseIdle() int {
	first := c.closeListeners()
	all := c.all()
	active := 0
	for _, one := range all {
		if !one.closeIfIdle() {
			active++
		}
	}
	if first {
		c.log.Info("idle connections closed", "closed", len(all)-active, "active", active)
	}
	return active
}

// Wait returns once callers have closed the connections that CloseIdle has ended, or once
// lingerTimeout is over.
func (c *Connections) Wait() {
	until := time.Now().Add(lingerTimeout)
	for c.countClosing() > 0 && time.Now().Before(until) {
		time.Sleep(pollInterval)
	}
	if n := c.countClosing(); n > 0 {
		c.log.Info("callers haven't closed their connections", "connections", n)
	}
}

func (c *Connections) countClosing() int {
	n := 0
	for _, one := range c.all() {
		one.mu.Lock()
		if one.closing && !one.disconnected {
			n++
		}
		one.mu.Unlock()
	}
	return n
}

func (c *Connections) all() []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*conn, 0, len(c.open))
	for one := range c.open {
		all = append(all, one)
	}
	return all
}

func (c *Connections) remove(one *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, one)
}

// closeListeners reports whether there were any.
func (c *Connections) closeListeners() bool {
	c.mu.Lock()
	listeners := c.listeners
	c.listeners = nil
	c.mu.Unlock()
	for _, l := range listeners {
		if err := c.drainBacklog(l); err != nil {
			c.log.Warn("connections may be left unaccepted", "address", l.Addr().String(), "err", err)
		}
		l.stop()
	}
	return len(listeners) > 0
}

// acceptAll returns once the connections that callers have opened before are accepted. They
// are accepted in their order, so all are once one of its own is.
func (c *Connections) drainBacklog(l *listener) error {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	var d net.Dialer
	own, err := d.DialContext(ctx, "tcp", l.Addr().String())
	if err != nil {
		return eris.Wrap(err, "a connection to itself")
	}
	defer func() { _ = own.Close() }() // nothing was sent
	for !c.closeFrom(own.LocalAddr().String()) {
		if ctx.Err() != nil {
			return eris.New("a connection to itself isn't accepted in time")
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// endFrom ends the connection from an address, and reports whether it has been accepted.
func (c *Connections) closeFrom(remote string) bool {
	for _, one := range c.all() {
		if one.RemoteAddr().String() != remote {
			continue
		}
		one.mu.Lock()
		defer one.mu.Unlock()
		one.beginClose()
		return true
	}
	return false
}
