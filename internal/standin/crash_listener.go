package standin

import (
	"net"
	"sync"
	"time"
)

// gate is a listener that can be crashed and revived. Between the two its
// address refuses connections.
type crashListener struct {
	mu           sync.Mutex
	addr         string
	inner        net.Listener
	conns        map[*trackedConn]struct{}
	up           chan struct{} // closed while the gate is up
	restartTimer *time.Timer
	closed       bool
}

// relistenPause is waited before the address is tried again after a failure.
const relistenDelay = 20 * time.Millisecond

func newCrashListener(addr string) (*crashListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	up := make(chan struct{})
	close(up)
	return &crashListener{
		addr:  ln.Addr().String(),
		inner: ln,
		conns: map[*trackedConn]struct{}{},
		up:    up,
	}, nil
}

// Accept implements net.Listener. It lasts through crashes and fails only
// after Close.
func (g *crashListener) Accept() (net.Conn, error) {
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

func (g *crashListener) current() (net.Listener, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, nil
	}
	return g.inner, g.up
}

func (g *crashListener) track(conn net.Conn, from net.Listener) *trackedConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.inner != from {
		return nil
	}
	c := &trackedConn{Conn: conn, listener: g}
	g.conns[c] = struct{}{}
	return c
}

// crash closes the address and breaks all connections. After down the address
// listens again, unless down is negative.
func (g *crashListener) crash(down time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	select {
	case <-g.up:
		g.up = make(chan struct{})
	default:
	}
	_ = g.inner.Close()
	g.resetConns()
	if g.restartTimer != nil {
		g.restartTimer.Stop()
		g.restartTimer = nil
	}
	if down >= 0 {
		g.restartTimer = time.AfterFunc(down, g.relisten)
	}
}

func (g *crashListener) resetConns() {
	for c := range g.conns {
		c.reset()
	}
	clear(g.conns)
}

func (g *crashListener) relisten() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	ln, err := net.Listen("tcp", g.addr)
	if err != nil {
		g.restartTimer = time.AfterFunc(relistenDelay, g.relisten)
		return
	}
	g.inner = ln
	close(g.up)
}

// Close implements net.Listener; it breaks all connections.
func (g *crashListener) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	g.closed = true
	if g.restartTimer != nil {
		g.restartTimer.Stop()
	}
	select {
	case <-g.up:
	default:
		close(g.up)
	}
	g.resetConns()
	return g.inner.Close()
}

// Addr implements net.Listener.
func (g *crashListener) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner.Addr()
}

// gateConn is a connection that its gate knows.
type trackedConn struct {
	net.Conn
	listener *crashListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection as a dying process does, without sending what
// is buffered.
func (c *trackedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
