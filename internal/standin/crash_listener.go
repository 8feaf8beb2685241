package standin

import (
	"net"
	"sync"
	"time"
)

// crashListener is a listener that can crash and restart. Between the two its address
// refuses connections.
type crashListener struct {
	mu           sync.Mutex
	addr         string
	inner        net.Listener
	conns        map[*trackedConn]struct{}
	up           chan struct{} // closed while the listener is up
	restartTimer *time.Timer
	closed       bool
}

// relistenDelay is the delay before listening is tried again after a failure.
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

// Accept implements net.Listener. It keeps waiting through crashes and fails only after
// Close.
func (l *crashListener) Accept() (net.Conn, error) {
	for {
		ln, up := l.current()
		if ln == nil {
			return nil, net.ErrClosed
		}
		<-up
		conn, err := ln.Accept()
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		if tracked := l.track(conn, ln); tracked != nil {
			return tracked, nil
		}
		_ = conn.Close()
	}
}

func (l *crashListener) current() (net.Listener, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil
	}
	return l.inner, l.up
}

func (l *crashListener) track(conn net.Conn, from net.Listener) *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.inner != from {
		return nil
	}
	c := &trackedConn{Conn: conn, listener: l}
	l.conns[c] = struct{}{}
	return c
}

// crash closes the listener and resets all connections. After down it listens again, unless
// down is negative.
func (l *crashListener) crash(down time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	select {
	case <-l.up:
		l.up = make(chan struct{})
	default:
	}
	_ = l.inner.Close()
	l.resetConns()
	if l.restartTimer != nil {
		l.restartTimer.Stop()
		l.restartTimer = nil
	}
	if down >= 0 {
		l.restartTimer = time.AfterFunc(down, l.relisten)
	}
}

func (l *crashListener) resetConns() {
	for c := range l.conns {
		c.reset()
	}
	clear(l.conns)
}

func (l *crashListener) relisten() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		l.restartTimer = time.AfterFunc(relistenDelay, l.relisten)
		return
	}
	l.inner = ln
	close(l.up)
}

// Close implements net.Listener and resets all connections.
func (l *crashListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	if l.restartTimer != nil {
		l.restartTimer.Stop()
	}
	select {
	case <-l.up:
	default:
		close(l.up)
	}
	l.resetConns()
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *crashListener) Addr() net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner.Addr()
}

// trackedConn is a connection that a crash of its listener resets.
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

// reset closes the connection as the kernel does for a killed process, without sending
// buffered data.
func (c *trackedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
