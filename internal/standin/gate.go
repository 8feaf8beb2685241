package standin

import (
	"net"
	"sync"
	"time"
)

// gate is a listener that can be crashed and revived. Between the two its
// address refuses connections.
type gate struct {
	mu     sync.Mutex
	addr   string
	inner  net.Listener
	conns  map[*gateConn]struct{}
	up     chan struct{} // closed while the gate is up
	revive *time.Timer
	shut   bool
}

// relistenPause is waited before the address is tried again after a failure.
const relistenPause = 20 * time.Millisecond

func openGate(addr string) (*gate, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	up := make(chan struct{})
	close(up)
	return &gate{
		addr:  ln.Addr().String(),
		inner: ln,
		conns: map[*gateConn]struct{}{},
		up:    up,
	}, nil
}

// Accept implements net.Listener. It lasts through crashes and fails only
// after Close.
func (g *gate) Accept() (net.Conn, error) {
	for {
		ln, up := g.current()
		if ln == nil {
			return nil, net.ErrClosed
		}
		<-up
		conn, err := ln.Accept()
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		if tracked := g.track(conn, ln); tracked != nil {
			return tracked, nil
		}
		_ = conn.Close()
	}
}

func (g *gate) current() (net.Listener, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return nil, nil
	}
	return g.inner, g.up
}

func (g *gate) track(conn net.Conn, from net.Listener) *gateConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut || g.inner != from {
		return nil
	}
	c := &gateConn{Conn: conn, gate: g}
	g.conns[c] = struct{}{}
	return c
}

// crash closes the address and breaks all connections. After down the address
// listens again, unless down is negative.
func (g *gate) crash(down time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return
	}
	select {
	case <-g.up:
		g.up = make(chan struct{})
	default:
	}
	_ = g.inner.Close()
	g.breakAll()
	if g.revive != nil {
		g.revive.Stop()
		g.revive = nil
	}
	if down >= 0 {
		g.revive = time.AfterFunc(down, g.relisten)
	}
}

func (g *gate) breakAll() {
	for c := range g.conns {
		c.reset()
	}
	clear(g.conns)
}

func (g *gate) relisten() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return
	}
	ln, err := net.Listen("tcp", g.addr)
	if err != nil {
		g.revive = time.AfterFunc(relistenPause, g.relisten)
		return
	}
	g.inner = ln
	close(g.up)
}

// Close implements net.Listener; it breaks all connections.
func (g *gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return nil
	}
	g.shut = true
	if g.revive != nil {
		g.revive.Stop()
	}
	select {
	case <-g.up:
	default:
		close(g.up)
	}
	g.breakAll()
	return g.inner.Close()
}

// Addr implements net.Listener.
func (g *gate) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner.Addr()
}

// gateConn is a connection that its gate knows.
type gateConn struct {
	net.Conn
	gate *gate
}

// Close implements net.Conn.
func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection as a dying process does, without sending what
// is buffered.
func (c *gateConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
